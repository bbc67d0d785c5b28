#pragma once

#include <cstddef>
#include <limits>

namespace filbertspar {

/// \brief Finds the items that a store rejects, in batches of which it takes
/// all items or none.
///
/// After a rejection the same items are sent again in smaller batches. One that
/// is rejected alone is at fault, unless the store rejects a batch without
/// items too.
struct RejectionSearch {
  /// Items that the next batch may have.
  std::size_t m_max_items = std::numeric_limits<std::size_t>::max();
  /// The store took a batch without items since the last rejection.
  bool m_took_empty_batch = false;
};

enum class RejectionVerdict {
  kSendAgain,
  /// The only item of the batch cannot be stored.
  kDropItem,
};

void HandleBatchStored(RejectionSearch& search, std::size_t items);
RejectionVerdict HandleBatchRejected(RejectionSearch& search,
                                     std::size_t items);

}  // namespace filbertspar
