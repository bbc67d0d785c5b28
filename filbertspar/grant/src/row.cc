#include "filbertspar/grant/src/row.h"

#include "absl/strings/numbers.h"

namespace filbertspar {
namespace {

constexpr std::int64_t kMaxUnits = 1'000'000;

}  // namespace

RowKey GrantRowKey(const TeamName& team) { return {"grant", team.Value()}; }

Json ToJson(const GrantRow& row) {
  JsonObject holders;
  for (const auto& [holder, units] : row.m_holders) {
    holders[holder.Value()] = units;
  }
  return JsonObject{{"ceiling", row.m_ceiling},
                    {"config", row.m_config_version.Value()},
                    {"holders", std::move(holders)}};
}

absl::StatusOr<GrantRow> GrantRowFromJson(const Json& value) {
  if (!value.is_object()) {
    return Error(Code::kPlatformBadAnswer, "grant: expected an object");
  }
  FieldReader reader(value.as_object(), "grant");
  GrantRow row;
  std::int64_t config = 0;
  reader.Read("ceiling", row.m_ceiling, {0, kMaxUnits});
  reader.Read("config", config);
  row.m_config_version = ConfigVersion(static_cast<std::uint64_t>(config));
  const Json* holders = reader.Find("holders");
  if (holders == nullptr || !holders->is_object()) {
    reader.Fail("holders", "an object");
    return reader.Finish();
  }
  FieldReader units_reader(holders->as_object(), "holders");
  for (const auto& pair : holders->as_object()) {
    const std::string name(pair.key().data(), pair.key().size());
    std::int64_t units = 0;
    units_reader.Read(name, units, {1, kMaxUnits});
    row.m_holders[NodeName(name)] = units;
  }
  FS_RETURN_IF_ERROR(units_reader.Finish());
  FS_RETURN_IF_ERROR(reader.Finish());
  return row;
}

std::int64_t TotalHeldUnits(const GrantRow& row) {
  std::int64_t sum = 0;
  for (const auto& [holder, units] : row.m_holders) {
    sum += units;
  }
  return sum;
}

std::int64_t UnitsHeldBy(const GrantRow& row, const NodeName& holder) {
  const auto found = row.m_holders.find(holder);
  return found == row.m_holders.end() ? 0 : found->second;
}

std::pair<VmName, std::uint64_t> SplitNodeName(const NodeName& node) {
  const std::string& name = node.Value();
  const std::size_t hash = name.rfind('#');
  std::uint64_t incarnation = 0;
  if (hash == std::string::npos ||
      !absl::SimpleAtoi(name.substr(hash + 1), &incarnation)) {
    return {VmName(name), 0};
  }
  return {VmName(name.substr(0, hash)), incarnation};
}

}  // namespace filbertspar
