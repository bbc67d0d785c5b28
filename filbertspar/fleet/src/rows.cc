#include "filbertspar/fleet/src/rows.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr std::array<std::string_view, kVmStates> kVmStateNames = {
    "in_service", "cordoned",  "draining", "drained",
    "rebooting",  "verifying", "failed"};
constexpr std::array<std::string_view, 4> kPurposeNames = {"none", "maintain",
                                                           "move", "hold"};
constexpr std::array<std::string_view, 4> kBudgetKindNames = {"pool", "rack",
                                                              "zone", "entry"};
constexpr std::array<std::string_view, 4> kWaveStateNames = {
    "running", "paused", "stopped", "done"};

template <typename Enum, std::size_t N>
std::optional<Enum> FromString(const std::array<std::string_view, N>& names,
                               std::string_view text) {
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<Enum>(found - names.begin());
}

template <typename Enum, std::size_t N>
void ReadEnum(FieldReader& reader, std::string_view field,
              const std::array<std::string_view, N>& names, Enum& out) {
  std::string text(names[static_cast<std::size_t>(out)]);
  reader.ReadOptional(field, text);
  if (const auto value = FromString<Enum>(names, text)) {
    out = *value;
  } else {
    reader.Fail(field, "a known name");
  }
}

boost::json::string Text(std::string_view text) {
  return boost::json::string(text.data(), text.size());
}

}  // namespace

std::string_view ToString(VmState state) {
  return kVmStateNames[static_cast<std::size_t>(state)];
}

std::string_view ToString(Purpose purpose) {
  return kPurposeNames[static_cast<std::size_t>(purpose)];
}

std::string_view ToString(BudgetKind kind) {
  return kBudgetKindNames[static_cast<std::size_t>(kind)];
}

std::string_view ToString(WaveState state) {
  return kWaveStateNames[static_cast<std::size_t>(state)];
}

std::optional<VmState> VmStateFromString(std::string_view text) {
  return FromString<VmState>(kVmStateNames, text);
}

std::string BudgetKey(BudgetKind kind, std::string_view name) {
  std::string key(ToString(kind));
  key += ':';
  key += name;
  return key;
}

std::string KeyOf(const BudgetRow& row) {
  return BudgetKey(row.m_kind, row.m_name);
}

JsonObject ToJson(const VmRow& row) {
  return {{"name", row.m_name.Value()},
          {"address", row.m_address},
          {"pool", row.m_pool.Value()},
          {"rack", row.m_rack.Value()},
          {"zone", row.m_zone.Value()},
          {"slots", row.m_capacity.m_slots.Count()},
          {"memory_mb", row.m_capacity.m_memory.Count()},
          {"accelerators", row.m_capacity.m_accelerators.Count()},
          {"connections", row.m_connections},
          {"state", Text(ToString(row.m_state))},
          {"epoch", row.m_epoch},
          {"last_maintained_ms", row.m_last_maintained_ms},
          {"since_ms", row.m_since_ms},
          {"purpose", Text(ToString(row.m_purpose))},
          {"target_pool", row.m_target_pool.Value()},
          {"wave", row.m_wave},
          {"moved_from", row.m_moved_from.Value()},
          {"moved_ms", row.m_moved_ms},
          {"boot", row.m_boot}};
}

absl::Status FromJson(const JsonObject& object, VmRow& out) {
  FieldReader reader(object, "vm");
  reader.Read("name", out.m_name);
  reader.Read("address", out.m_address);
  reader.Read("pool", out.m_pool);
  reader.Read("rack", out.m_rack);
  reader.Read("zone", out.m_zone);
  reader.Read("slots", out.m_capacity.m_slots, IntRange{1, 100'000});
  reader.Read("memory_mb", out.m_capacity.m_memory, IntRange{0, 16'000'000});
  reader.ReadOptional("accelerators", out.m_capacity.m_accelerators,
                      IntRange{0, 1024});
  reader.ReadOptional("connections", out.m_connections, IntRange{1, 1'000'000});
  ReadEnum(reader, "state", kVmStateNames, out.m_state);
  reader.ReadOptional("epoch", out.m_epoch, IntRange{});
  reader.ReadOptional("last_maintained_ms", out.m_last_maintained_ms,
                      IntRange{});
  reader.ReadOptional("since_ms", out.m_since_ms, IntRange{});
  ReadEnum(reader, "purpose", kPurposeNames, out.m_purpose);
  reader.ReadOptional("target_pool", out.m_target_pool);
  reader.ReadOptional("wave", out.m_wave);
  reader.ReadOptional("moved_from", out.m_moved_from);
  reader.ReadOptional("moved_ms", out.m_moved_ms, IntRange{});
  reader.ReadOptional("boot", out.m_boot);
  return reader.Finish();
}

JsonObject ToJson(const BudgetRow& row) {
  JsonArray guards;
  for (const std::string& guard : row.m_guards) {
    guards.push_back(Json(guard));
  }
  return {{"kind", Text(ToString(row.m_kind))},
          {"name", row.m_name},
          {"max_out", row.m_max_out},
          {"min_available", row.m_min_available},
          {"min_size", row.m_min_size},
          {"size", row.m_size},
          {"out", row.m_out},
          {"failed", row.m_failed},
          {"guards", std::move(guards)}};
}

absl::Status FromJson(const JsonObject& object, BudgetRow& out) {
  FieldReader reader(object, "budget");
  ReadEnum(reader, "kind", kBudgetKindNames, out.m_kind);
  reader.Read("name", out.m_name);
  const IntRange count{0, kNoLimit};
  reader.Read("max_out", out.m_max_out, count);
  reader.ReadOptional("min_available", out.m_min_available, count);
  reader.ReadOptional("min_size", out.m_min_size, count);
  reader.Read("size", out.m_size, count);
  reader.Read("out", out.m_out, count);
  reader.ReadOptional("failed", out.m_failed, count);
  reader.ReadOptional("guards", out.m_guards);
  return reader.Finish();
}

JsonObject ToJson(const WaveRow& row) {
  return {{"name", row.m_name},
          {"pool", row.m_pool.Value()},
          {"operator", row.m_operator.Value()},
          {"started_ms", row.m_started_ms},
          {"state", Text(ToString(row.m_state))}};
}

absl::Status FromJson(const JsonObject& object, WaveRow& out) {
  FieldReader reader(object, "wave");
  reader.Read("name", out.m_name);
  reader.ReadOptional("pool", out.m_pool);
  reader.ReadOptional("operator", out.m_operator);
  reader.Read("started_ms", out.m_started_ms, IntRange{});
  ReadEnum(reader, "state", kWaveStateNames, out.m_state);
  return reader.Finish();
}

}  // namespace filbertspar
