#include "filbertspar/upkeep/src/state.h"

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

std::string EncodeOrderTimes(const std::map<VmName, std::int64_t>& orders) {
  JsonObject object;
  for (const auto& [vm, ordered_ms] : orders) {
    object[vm.Value()] = ordered_ms;
  }
  return ToText(object);
}

absl::StatusOr<std::map<VmName, std::int64_t>> DecodeOrderTimes(
    std::string_view text) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(text);
  if (!object.ok()) {
    return object.status();
  }
  std::map<VmName, std::int64_t> orders;
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
