#include "filbertspar/fleetview/src/store.h"

namespace filbertspar {

std::string_view StoreResultName(StoreResult result) {
  switch (result) {
    case StoreResult::kDone:
      return "done";
    case StoreResult::kConflict:
      return "conflict";
    case StoreResult::kRefused:
      return "refused";
    case StoreResult::kHistoryGone:
      return "history_gone";
    case StoreResult::kInvalid:
      return "invalid";
    case StoreResult::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace filbertspar
