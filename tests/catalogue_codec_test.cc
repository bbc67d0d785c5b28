#include <catch2/catch.hpp>
#include <string>

#include "filbertspar/catalogue/catalogue.h"

namespace filbertspar {
namespace {

Catalogue Sample() {
  Catalogue catalogue;
  catalogue.m_version = ConfigVersion(3);
  catalogue.m_workspaces.push_back({.m_name = WorkspaceName("sales")});
  catalogue.m_teams.push_back({.m_name = TeamName("desk"),
                               .m_workspace = WorkspaceName("sales"),
                               .m_weight = 2,
                               .m_ceiling = 40});
  catalogue.m_pools.push_back({.m_name = PoolName("quotes")});
  catalogue.m_keys.push_back({.m_name = KeyName("desk-1"),
                              .m_team = TeamName("desk"),
                              .m_hash = std::string(64, 'a')});
  CatalogueEntry entry;
  entry.m_name = EntryName("price-quote");
  entry.m_owner = TeamName("desk");
  entry.m_pool = PoolName("quotes");
  entry.m_class = WorkClass::kUrgent;
  entry.m_blackouts.push_back({.m_start_minute = 60, .m_end_minute = 120});
  catalogue.m_entries.push_back(entry);
  catalogue.m_objectives.push_back({.m_workspace = WorkspaceName("sales")});
  return catalogue;
}

// Guards against a field that the codec drops.
TEST_CASE("the document survives a round trip") {
  const Catalogue catalogue = Sample();
  Catalogue copy;
  REQUIRE(FromJson(ToJson(catalogue), copy).ok());
  CHECK(ToText(ToJson(copy)) == ToText(ToJson(catalogue)));
  CHECK(Validate(copy).ok());
}

// Guards against a misspelt field that is silently ignored.
TEST_CASE("an unknown field is refused by name") {
  JsonObject json = ToJson(Sample());
  json["teems"] = JsonArray();
  Catalogue copy;
  const absl::Status status = FromJson(json, copy);
  CHECK(CodeOf(status) == Code::kBadField);
  CHECK(std::string(status.message()).find("teems") != std::string::npos);
}

// Guards against a document with dangling references being accepted.
TEST_CASE("dangling references and duplicates are invalid") {
  Catalogue no_team = Sample();
  no_team.m_keys[0].m_team = TeamName("nobody");
  CHECK(CodeOf(Validate(no_team)) == Code::kConfigInvalid);
  Catalogue no_pool = Sample();
  no_pool.m_entries[0].m_pool = PoolName("nowhere");
  CHECK(CodeOf(Validate(no_pool)) == Code::kConfigInvalid);
  Catalogue twice = Sample();
  twice.m_teams.push_back(twice.m_teams[0]);
  CHECK(CodeOf(Validate(twice)) == Code::kConfigInvalid);
}

// Guards against a team's key that also opens the administration API.
TEST_CASE("an operator may not share a hash with a team's key") {
  Catalogue shared = Sample();
  shared.m_operators.push_back({.m_name = OperatorName("op"),
                                .m_role = Role::kAdmin,
                                .m_hash = std::string(64, 'a')});
  CHECK(CodeOf(Validate(shared)) == Code::kConfigInvalid);
}

}  // namespace
}  // namespace filbertspar
