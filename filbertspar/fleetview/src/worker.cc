#include "filbertspar/fleetview/src/worker.h"

namespace filbertspar {

std::string_view EndKindName(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLapsed:
      return "lapsed";
    case EndKind::kBroken:
      return "broken";
    case EndKind::kAlone:
      return "alone";
  }
  return "";
}

}  // namespace filbertspar
