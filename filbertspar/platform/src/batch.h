#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "filbertspar/platform/src/client.h"

namespace filbertspar {

inline constexpr std::size_t kMaxBatchRows = 50;
inline constexpr Duration kMaxBatchWait = Milliseconds(20);
/// \brief Items that wait for a batch; one more is refused as not written.
inline constexpr std::size_t kMaxBatchItems = 2000;

using BatchItemId = Id<struct BatchItemTag>;

/// \brief Tell whoever added the item what became of it. As for writes, a
/// report of kUnsettled is followed by exactly one final report.
struct ItemReport {
  BatchItemId m_item;
  WriteOutcome m_outcome = WriteOutcome::kUnsettled;
  Code m_code = Code::kOk;
  /// Version written, or the version and attempt found at a conflict.
  RowVersion m_version{};
  std::string m_attempt{};
};
using ItemReports = std::vector<ItemReport>;

namespace internal {

struct BatchItem {
  BatchItemId m_id;
  RowWrite m_row;
  TimePoint m_added{};
  TimePoint m_deadline{};
};

}  // namespace internal

/// \brief Joins single-row writes into writes of several rows. A conflict fails
/// only the items whose rows conflict; the others go into the next batch.
struct WriteBatcher {
  std::uint64_t m_last_item = 0;
  std::vector<internal::BatchItem> m_waiting;
  std::map<OperationId, std::vector<internal::BatchItem>> m_sent;
};

/// \brief Adds a row write. A full batcher reports kNotWritten at once.
BatchItemId AddItem(WriteBatcher& batcher, TimePoint now, RowWrite row,
                    Duration deadline, ItemReports& reports);

/// \brief Sends the batches that are full or have waited long enough.
void FlushBatches(WriteBatcher& batcher, PlatformClient& client, TimePoint now,
                  PlatformEffects& effects, ItemReports& reports);

/// \brief Takes in the report of a write; false when the write is no batch.
bool BatchEnded(WriteBatcher& batcher, TimePoint now, const WriteReport& report,
                ItemReports& reports);

/// \brief When FlushBatches is due next; TimePoint::max() when nothing waits.
TimePoint NextFlush(const WriteBatcher& batcher);

}  // namespace filbertspar
