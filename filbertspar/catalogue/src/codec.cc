#include "filbertspar/catalogue/src/codec.h"

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr Duration kLongest = std::chrono::hours(24 * 28);

template <typename Item>
JsonArray ListToJson(const std::vector<Item>& items) {
  JsonArray array;
  for (const Item& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

template <typename Item>
absl::Status ReadList(FieldReader& reader, std::string_view field,
                      std::vector<Item>& out) {
  const Json* value = reader.Find(field);
  if (value == nullptr) {
    return absl::OkStatus();
  }
  if (!value->is_array()) {
    reader.Fail(field, "a list of objects");
    return absl::OkStatus();
  }
  for (const Json& json : value->as_array()) {
    if (!json.is_object()) {
      reader.Fail(field, "a list of objects");
      return absl::OkStatus();
    }
    Item item;
    FS_RETURN_IF_ERROR(FromJson(json.as_object(), item));
    out.push_back(std::move(item));
  }
  return absl::OkStatus();
}

template <typename Part>
absl::Status ReadPart(FieldReader& reader, std::string_view field, Part& out) {
  const Json* value = reader.Find(field);
  if (value == nullptr) {
    return absl::OkStatus();
  }
  if (!value->is_object()) {
    reader.Fail(field, "an object");
    return absl::OkStatus();
  }
  return FromJson(value->as_object(), out);
}

void ReadClass(FieldReader& reader, WorkClass& out) {
  std::string text(ToString(out));
  reader.ReadOptional("class", text);
  const std::optional<WorkClass> work_class = WorkClassFromString(text);
  if (!work_class) {
    reader.Fail("class", "urgent, standard or overnight");
    return;
  }
  out = *work_class;
}

boost::json::string Text(std::string_view text) {
  return boost::json::string(text.data(), text.size());
}

}  // namespace

JsonObject ToJson(const Workspace& workspace) {
  return {{"name", workspace.m_name.Value()},
          {"freshness_bound_ms", ToMilliseconds(workspace.m_freshness_bound)}};
}

absl::Status FromJson(const JsonObject& object, Workspace& out) {
  FieldReader reader(object, "workspace");
  reader.Read("name", out.m_name);
  reader.ReadOptional("freshness_bound_ms", out.m_freshness_bound,
                      Milliseconds(500), kLongest);
  return reader.Finish();
}

JsonObject ToJson(const Team& team) {
  return {{"name", team.m_name.Value()},
          {"workspace", team.m_workspace.Value()},
          {"weight", team.m_weight},
          {"ceiling", team.m_ceiling}};
}

absl::Status FromJson(const JsonObject& object, Team& out) {
  FieldReader reader(object, "team");
  reader.Read("name", out.m_name);
  reader.Read("workspace", out.m_workspace);
  reader.ReadOptional("weight", out.m_weight, 1e-6, 1e6);
  reader.Read("ceiling", out.m_ceiling, {0, 1'000'000});
  return reader.Finish();
}

JsonObject ToJson(const Key& key) {
  return {{"name", key.m_name.Value()},
          {"team", key.m_team.Value()},
          {"hash", key.m_hash},
          {"revoked", key.m_revoked}};
}

absl::Status FromJson(const JsonObject& object, Key& out) {
  FieldReader reader(object, "key");
  reader.Read("name", out.m_name);
  reader.Read("team", out.m_team);
  reader.Read("hash", out.m_hash);
  reader.ReadOptional("revoked", out.m_revoked);
  return reader.Finish();
}

JsonObject ToJson(const Operator& op) {
  return {{"name", op.m_name.Value()},
          {"role", Text(ToString(op.m_role))},
          {"hash", op.m_hash}};
}

absl::Status FromJson(const JsonObject& object, Operator& out) {
  FieldReader reader(object, "operator");
  reader.Read("name", out.m_name);
  std::string role;
  reader.Read("role", role);
  reader.Read("hash", out.m_hash);
  FS_RETURN_IF_ERROR(reader.Finish());
  const std::optional<Role> parsed = RoleFromString(role);
  if (!parsed) {
    reader.Fail("role", "viewer, fleet or admin");
    return reader.Finish();
  }
  out.m_role = *parsed;
  return absl::OkStatus();
}

JsonObject ToJson(const Blackout& blackout) {
  return {{"start_minute", blackout.m_start_minute},
          {"end_minute", blackout.m_end_minute},
          {"first_day", blackout.m_first_day},
          {"last_day", blackout.m_last_day}};
}

absl::Status FromJson(const JsonObject& object, Blackout& out) {
  FieldReader reader(object, "blackout");
  reader.Read("start_minute", out.m_start_minute, {0, 1439});
  reader.Read("end_minute", out.m_end_minute, {0, 1440});
  reader.ReadOptional("first_day", out.m_first_day, IntRange{1, 31});
  reader.ReadOptional("last_day", out.m_last_day, IntRange{1, 31});
  return reader.Finish();
}

JsonObject ToJson(const Weights& weights) {
  return {{"buffer", weights.m_buffer},
          {"moves", weights.m_moves},
          {"rollout", weights.m_rollout},
          {"nearness", weights.m_nearness}};
}

absl::Status FromJson(const JsonObject& object, Weights& out) {
  FieldReader reader(object, "weights");
  reader.ReadOptional("buffer", out.m_buffer, 0.0, 1000.0);
  reader.ReadOptional("moves", out.m_moves, 0.0, 1000.0);
  reader.ReadOptional("rollout", out.m_rollout, 0.0, 1000.0);
  reader.ReadOptional("nearness", out.m_nearness, 0.0, 1000.0);
  return reader.Finish();
}

JsonObject ToJson(const DomainBudgets& domains) {
  return {{"rack_max_out", domains.m_rack_max_out},
          {"zone_max_out", domains.m_zone_max_out}};
}

absl::Status FromJson(const JsonObject& object, DomainBudgets& out) {
  FieldReader reader(object, "domains");
  reader.ReadOptional("rack_max_out", out.m_rack_max_out, IntRange{0, 100'000});
  reader.ReadOptional("zone_max_out", out.m_zone_max_out, IntRange{0, 100'000});
  return reader.Finish();
}

JsonObject ToJson(const CatalogueEntry& entry) {
  JsonArray teams;
  for (const std::string& team : entry.m_allowed_teams) {
    teams.push_back(Json(team));
  }
  return {{"name", entry.m_name.Value()},
          {"owner", entry.m_owner.Value()},
          {"allowed_teams", std::move(teams)},
          {"class", Text(ToString(entry.m_class))},
          {"pool", entry.m_pool.Value()},
          {"slots", entry.m_resources.m_slots.Count()},
          {"memory_mb", entry.m_resources.m_memory.Count()},
          {"accelerators", entry.m_resources.m_accelerators.Count()},
          {"run_time_ms", ToMilliseconds(entry.m_run_time)},
          {"max_deadline_ms", ToMilliseconds(entry.m_max_deadline)},
          {"max_queue", entry.m_max_queue},
          {"repeatable", entry.m_repeatable},
          {"checkpointable", entry.m_checkpointable},
          {"open", entry.m_open},
          {"withdrawn", entry.m_withdrawn},
          {"min_available", entry.m_min_available},
          {"blackouts", ListToJson(entry.m_blackouts)}};
}

absl::Status FromJson(const JsonObject& object, CatalogueEntry& out) {
  FieldReader reader(object, "entry");
  reader.Read("name", out.m_name);
  reader.Read("owner", out.m_owner);
  reader.ReadOptional("allowed_teams", out.m_allowed_teams);
  ReadClass(reader, out.m_class);
  reader.Read("pool", out.m_pool);
  reader.ReadOptional("slots", out.m_resources.m_slots, IntRange{1, 1024});
  reader.ReadOptional("memory_mb", out.m_resources.m_memory,
                      IntRange{0, 16'000'000});
  reader.ReadOptional("accelerators", out.m_resources.m_accelerators,
                      IntRange{0, 1024});
  reader.ReadOptional("run_time_ms", out.m_run_time, Milliseconds(1), kLongest);
  reader.ReadOptional("max_deadline_ms", out.m_max_deadline, Milliseconds(1),
                      kLongest);
  reader.ReadOptional("max_queue", out.m_max_queue, IntRange{1, 1'000'000});
  reader.ReadOptional("repeatable", out.m_repeatable);
  reader.ReadOptional("checkpointable", out.m_checkpointable);
  reader.ReadOptional("open", out.m_open);
  reader.ReadOptional("withdrawn", out.m_withdrawn);
  reader.ReadOptional("min_available", out.m_min_available,
                      IntRange{0, 100'000});
  FS_RETURN_IF_ERROR(ReadList(reader, "blackouts", out.m_blackouts));
  return reader.Finish();
}

JsonObject ToJson(const Pool& pool) {
  return {{"name", pool.m_name.Value()},
          {"max_out", pool.m_max_out},
          {"min_size", pool.m_min_size}};
}

absl::Status FromJson(const JsonObject& object, Pool& out) {
  FieldReader reader(object, "pool");
  reader.Read("name", out.m_name);
  reader.ReadOptional("max_out", out.m_max_out, IntRange{0, 100'000});
  reader.ReadOptional("min_size", out.m_min_size, IntRange{0, 100'000});
  return reader.Finish();
}

JsonObject ToJson(const Objective& objective) {
  return {{"workspace", objective.m_workspace.Value()},
          {"class", Text(ToString(objective.m_class))},
          {"target", objective.m_target},
          {"latency_ms", ToMilliseconds(objective.m_latency)}};
}

absl::Status FromJson(const JsonObject& object, Objective& out) {
  FieldReader reader(object, "objective");
  reader.Read("workspace", out.m_workspace);
  ReadClass(reader, out.m_class);
  reader.Read("target", out.m_target, 0.0, 1.0);
  reader.Read("latency_ms", out.m_latency, Milliseconds(1), kLongest);
  return reader.Finish();
}

JsonObject ToJson(const Catalogue& catalogue) {
  return {{"version", catalogue.m_version.Value()},
          {"workspaces", ListToJson(catalogue.m_workspaces)},
          {"teams", ListToJson(catalogue.m_teams)},
          {"keys", ListToJson(catalogue.m_keys)},
          {"operators", ListToJson(catalogue.m_operators)},
          {"entries", ListToJson(catalogue.m_entries)},
          {"pools", ListToJson(catalogue.m_pools)},
          {"objectives", ListToJson(catalogue.m_objectives)},
          {"weights", ToJson(catalogue.m_weights)},
          {"domains", ToJson(catalogue.m_domains)}};
}

absl::Status FromJson(const JsonObject& object, Catalogue& out) {
  FieldReader reader(object, "configuration");
  std::int64_t version = 0;
  reader.ReadOptional("version", version, IntRange{});
  out.m_version = ConfigVersion(static_cast<std::uint64_t>(version));
  FS_RETURN_IF_ERROR(ReadList(reader, "workspaces", out.m_workspaces));
  FS_RETURN_IF_ERROR(ReadList(reader, "teams", out.m_teams));
  FS_RETURN_IF_ERROR(ReadList(reader, "keys", out.m_keys));
  FS_RETURN_IF_ERROR(ReadList(reader, "operators", out.m_operators));
  FS_RETURN_IF_ERROR(ReadList(reader, "entries", out.m_entries));
  FS_RETURN_IF_ERROR(ReadList(reader, "pools", out.m_pools));
  FS_RETURN_IF_ERROR(ReadList(reader, "objectives", out.m_objectives));
  FS_RETURN_IF_ERROR(ReadPart(reader, "weights", out.m_weights));
  FS_RETURN_IF_ERROR(ReadPart(reader, "domains", out.m_domains));
  return reader.Finish();
}

}  // namespace filbertspar
