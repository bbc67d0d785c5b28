#include "filbertspar/fleetview/src/orders.h"

namespace filbertspar {

std::string_view OrderResultName(OrderResult result) {
  switch (result) {
    case OrderResult::kAccepted:
      return "accepted";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kOldRun:
      return "old_run";
    case OrderResult::kTooLate:
      return "too_late";
    case OrderResult::kNoRoom:
      return "no_room";
    case OrderResult::kTicketRefused:
      return "ticket_refused";
    case OrderResult::kMalformed:
      return "malformed";
    case OrderResult::kUnhealthy:
      return "unhealthy";
    case OrderResult::kOtherInstance:
      return "other_instance";
    case OrderResult::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace filbertspar
