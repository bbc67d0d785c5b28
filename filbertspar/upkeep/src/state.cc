#include "filbertspar/upkeep/src/state.h"

#include <algorithm>

#include "filbertspar/json/json.h"

namespace filbertspar::upkeep {

std::string EncodeDoneVms(const Wave& wave) {
  JsonArray done;
  for (const auto& [vm, progress] : wave.m_vms) {
    if (progress.m_phase == Phase::kDown || progress.m_phase == Phase::kDone) {
      done.emplace_back(vm.Value());
    }
  }
  return ToText(JsonObject{{"done", std::move(done)}});
}

absl::StatusOr<std::vector<VmName>> DecodeDoneVms(std::string_view text) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(text);
  if (!object.ok()) {
    return object.status();
  }
  FieldReader reader(*object, "wave");
  std::vector<std::string> names;
  reader.Read("done", names);
  FS_RETURN_IF_ERROR(reader.Finish());
  return std::vector<VmName>(names.begin(), names.end());
}

void MergeOrderTimes(OrderTimes& times, const OrderTimes& stored) {
  for (const auto& [vm, ordered_ms] : stored) {
    const auto [found, is_new] = times.try_emplace(vm, ordered_ms);
    found->second = std::max(found->second, ordered_ms);
  }
}

void InheritOrder(State& state, TimePoint now, const VmName& vm, Duration age,
                  Duration max_down_time) {
  // The clock may have been read too early.
  const Duration left = max_down_time - std::max(age, Duration(0));
  if (left > Duration(0)) {
    InheritedOrder& order = state.m_inherited_orders[vm];
    order.m_until = std::max(order.m_until, now + left);
  }
}

void RecordOrderTime(OrderTimes& times, const VmName& vm, std::int64_t now_ms,
                     std::int64_t kept_ms) {
  std::erase_if(times, [now_ms, kept_ms](const auto& entry) {
    return now_ms - entry.second > kept_ms;
  });
  times[vm] = now_ms;
}

std::string EncodeOrderTimes(const OrderTimes& orders) {
  JsonObject object;
  for (const auto& [vm, ordered_ms] : orders) {
    object[vm.Value()] = ordered_ms;
  }
  return ToText(object);
}

absl::StatusOr<OrderTimes> DecodeOrderTimes(std::string_view text) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(text);
  if (!object.ok()) {
    return object.status();
  }
  OrderTimes orders;
  for (const auto& field : *object) {
    if (!field.value().is_int64()) {
      return Error(Code::kBadField, "orders: expected whole numbers");
    }
    orders[VmName(std::string(field.key().data(), field.key().size()))] =
        field.value().as_int64();
  }
  return orders;
}

}  // namespace filbertspar::upkeep
