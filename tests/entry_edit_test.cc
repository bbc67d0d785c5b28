#include <catch2/catch.hpp>
#include <string>

#include "filbertspar/entry/src/commit.h"
#include "filbertspar/entry/src/edit.h"

namespace filbertspar {
namespace {

Catalogue Sample() {
  Catalogue catalogue;
  catalogue.m_workspaces.push_back({.m_name = WorkspaceName("sales")});
  for (const char* name : {"desk", "clerks"}) {
    catalogue.m_teams.push_back({.m_name = TeamName(name),
                                 .m_workspace = WorkspaceName("sales"),
                                 .m_ceiling = 4});
    catalogue.m_keys.push_back({.m_name = KeyName(std::string(name) + "-1"),
                                .m_team = TeamName(name),
                                .m_hash = std::string(64, name[0])});
  }
  catalogue.m_operators.push_back({.m_name = OperatorName("day"),
                                   .m_role = Role::kAdmin,
                                   .m_hash = std::string(64, 'b')});
  return catalogue;
}

}  // namespace

// Guards against a restored version that brings a revoked key or a removed
// operator back, or keeps keys of a team that is gone.
TEST_CASE("a restored document keeps the credentials in force") {
  const Catalogue earlier = Sample();
  Catalogue current = Sample();
  REQUIRE(RemoveItem(current, "keys", "desk-1").ok());
  current.m_teams.push_back(
      {.m_name = TeamName("new"), .m_workspace = WorkspaceName("sales")});
  current.m_keys.push_back({.m_name = KeyName("new-1"),
                            .m_team = TeamName("new"),
                            .m_hash = std::string(64, 'e')});
  current.m_operators.front().m_name = OperatorName("night");
  current.m_teams.front().m_ceiling = 9;
  RestoreDocument(current, earlier);
  CHECK(current.m_teams.size() == 2);
  CHECK(current.m_teams.front().m_ceiling == 4);
  REQUIRE(current.m_keys.size() == 2);
  CHECK(current.m_keys[0].m_name.Value() == "desk-1");
  CHECK(current.m_keys[0].m_revoked);
  CHECK_FALSE(current.m_keys[1].m_revoked);
  REQUIRE(current.m_operators.size() == 1);
  CHECK(current.m_operators[0].m_name.Value() == "night");
  CHECK(Validate(current).ok());
}

// Guards against a key that gets another team's hash, or an operator without
// one, when a document that was read is written back.
TEST_CASE("hashes are filled in for namesakes of the same team only") {
  const Catalogue current = Sample();
  JsonObject document = ToJson(current);
  for (const char* list : {"keys", "operators"}) {
    for (Json& item : document[list].as_array()) {
      item.as_object().erase("hash");
    }
  }
  JsonObject good = document;
  REQUIRE(FillHashes(current, good).ok());
  CHECK(good == ToJson(current));
  JsonObject moved = document;
  moved["keys"].as_array()[0].as_object()["team"] = "clerks";
  CHECK(CodeOf(FillHashes(current, moved)) == Code::kBadField);
  JsonObject renamed = document;
  renamed["operators"].as_array()[0].as_object()["name"] = "x";
  CHECK(CodeOf(FillHashes(current, renamed)) == Code::kBadField);
}

}  // namespace filbertspar
