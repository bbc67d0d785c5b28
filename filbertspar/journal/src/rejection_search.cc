#include "filbertspar/journal/src/rejection_search.h"

#include <algorithm>

namespace filbertspar {

void HandleBatchStored(RejectionSearch& search, std::size_t items) {
  if (items == 0 && search.m_max_items == 0) {
    search.m_took_empty_batch = true;
    search.m_max_items = 1;
    return;
  }
  search.m_took_empty_batch = false;
  constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  search.m_max_items =
      search.m_max_items > kUnlimited / 2 ? kUnlimited : search.m_max_items * 2;
}

RejectionVerdict HandleBatchRejected(RejectionSearch& search,
                                     std::size_t items) {
  if (items == 1 && search.m_took_empty_batch) {
    search.m_took_empty_batch = false;
    return RejectionVerdict::kDropItem;
  }
  search.m_took_empty_batch = false;
  search.m_max_items = items / 2;
  return RejectionVerdict::kSendAgain;
}

}  // namespace filbertspar
