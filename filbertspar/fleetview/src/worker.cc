#include "filbertspar/fleetview/src/worker.h"

namespace filbertspar {

std::string_view RunOutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kGangMemberEnded:
      return "broken";
    case RunOutcome::kGangIncomplete:
      return "alone";
  }
  return "";
}

}  // namespace filbertspar
