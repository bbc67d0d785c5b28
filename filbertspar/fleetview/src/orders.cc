#include "filbertspar/fleetview/src/orders.h"

namespace filbertspar {

std::string_view OrderResultName(OrderResult result) {
  switch (result) {
    case OrderResult::kAccepted:
      return "accepted";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kStaleRun:
      return "old_run";
    case OrderResult::kDeadlinePassed:
      return "too_late";
    case OrderResult::kNoCapacity:
      return "no_room";
    case OrderResult::kTicketRefused:
      return "ticket_refused";
    case OrderResult::kMalformed:
      return "malformed";
    case OrderResult::kUnhealthy:
      return "unhealthy";
    case OrderResult::kOtherInstance:
      return "other_instance";
    case OrderResult::kNotDelivered:
      return "not_delivered";
    case OrderResult::kUnknown:
      return "unknown";
  }
  return "";
}

OrderResult OrderResultFromNumber(std::uint8_t number) {
  return number < static_cast<std::uint8_t>(OrderResult::kUnknown)
             ? static_cast<OrderResult>(number)
             : OrderResult::kUnknown;
}

}  // namespace filbertspar
