#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "filbertspar/access/access.h"

namespace filbertspar {
namespace {

constexpr char kDesk[] = "desk-secret";
constexpr char kOld[] = "old-secret";
constexpr char kYard[] = "yard-secret";
constexpr char kStranger[] = "stranger-secret";
constexpr char kFleetOperator[] = "operator-secret";

Access Sample() {
  Catalogue catalogue;
  const auto add_key = [&](const char* name, const char* team, const char* key,
                           bool revoked) {
    catalogue.m_keys.push_back(
        {KeyName(name), TeamName(team), HashOf(key), revoked});
  };
  add_key("desk-1", "desk", kDesk, false);
  add_key("desk-0", "desk", kOld, true);
  add_key("yard-1", "yard", kYard, false);
  add_key("mill-1", "mill", kStranger, false);
  catalogue.m_operators.push_back(
      {OperatorName("op"), Role::kFleet, HashOf(kFleetOperator)});
  CatalogueEntry entry;
  entry.m_name = EntryName("quote");
  entry.m_owner = TeamName("desk");
  entry.m_allowed_teams = {"yard"};
  catalogue.m_entries.push_back(entry);
  entry.m_name = EntryName("stock");
  entry.m_open = true;
  catalogue.m_entries.push_back(entry);
  entry.m_name = EntryName("gone");
  entry.m_open = false;
  entry.m_withdrawn = true;
  catalogue.m_entries.push_back(entry);
  return BuildAccess(catalogue);
}

Code SubmitCode(const Access& access, std::string_view key, const char* entry) {
  return CodeOf(CheckSubmit(access, key, EntryName(entry)).status());
}

// Guards against a hash that differs from what other tools compute.
TEST_CASE("the hash of a key is its SHA-256 in lower-case hex") {
  CHECK(HashOf("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(DigestFromHex(HashOf("abc")) == DigestOf("abc"));
  CHECK_FALSE(DigestFromHex(std::string(63, 'a')));
  CHECK_FALSE(DigestFromHex(std::string(64, 'g')));
}

// Guards against repeated or short keys.
TEST_CASE("new keys are 64 hex digits and differ") {
  std::set<std::string> keys;
  for (int i = 0; i < 100; ++i) {
    const auto key = NewKey();
    REQUIRE(key.ok());
    CHECK(key->size() == 64);
    CHECK(keys.insert(*key).second);
  }
}

// Guards against a comparison that looks at a part of the digest only.
TEST_CASE("digests that differ in any one bit are unequal") {
  const KeyDigest digest = DigestOf("abc");
  for (std::size_t bit = 0; bit < 8 * digest.size(); ++bit) {
    KeyDigest other = digest;
    other[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
    CHECK_FALSE(EqualDigests(digest, other));
  }
  CHECK(EqualDigests(digest, DigestOf("abc")));
}

// Guards against two digests that share the index prefix being mixed up.
TEST_CASE("keys with the same digest prefix are told apart") {
  Catalogue catalogue;
  std::string twin = HashOf(kDesk);
  twin.back() = twin.back() == '0' ? '1' : '0';
  catalogue.m_keys.push_back({KeyName("twin"), TeamName("yard"), twin, false});
  CHECK(CodeOf(CheckKey(BuildAccess(catalogue), kDesk).status()) ==
        Code::kKeyUnknown);
  catalogue.m_keys.push_back(
      {KeyName("desk-1"), TeamName("desk"), HashOf(kDesk), false});
  CHECK(CheckKey(BuildAccess(catalogue), kDesk)->m_team == TeamName("desk"));
}

// Guards against a missing, unknown or revoked key being accepted or reported
// as one another, and against a message that shows the key.
TEST_CASE("keys give their team or the reason of refusal") {
  const Access access = Sample();
  const auto permit = CheckKey(access, kDesk);
  REQUIRE(permit.ok());
  CHECK(permit->m_team == TeamName("desk"));
  CHECK(permit->m_key == KeyName("desk-1"));
  CHECK(CodeOf(CheckKey(access, "").status()) == Code::kKeyMissing);
  CHECK(CodeOf(CheckKey(access, "guess").status()) == Code::kKeyUnknown);
  CHECK(CodeOf(CheckKey(access, HashOf(kDesk)).status()) == Code::kKeyUnknown);
  CHECK(CodeOf(CheckKey(access, std::string(10'000, 'x')).status()) ==
        Code::kKeyUnknown);
  const absl::Status revoked = CheckKey(access, kOld).status();
  CHECK(CodeOf(revoked) == Code::kKeyRevoked);
  CHECK(revoked.ToString().find(kOld) == std::string::npos);
}

// Guards against work that is accepted for, or charged to, the wrong team.
TEST_CASE("owner and allowed teams submit, open entries charge the owner") {
  const Access access = Sample();
  CHECK(CheckSubmit(access, kDesk, EntryName("quote"))->m_team ==
        TeamName("desk"));
  CHECK(CheckSubmit(access, kYard, EntryName("quote"))->m_team ==
        TeamName("yard"));
  CHECK(SubmitCode(access, kStranger, "quote") == Code::kEntryNotAllowed);
  CHECK(SubmitCode(access, kOld, "quote") == Code::kKeyRevoked);
  CHECK(SubmitCode(access, kFleetOperator, "quote") == Code::kKeyUnknown);
  for (const char* key : {"", kStranger, kOld, "guess"}) {
    const auto open = CheckSubmit(access, key, EntryName("stock"));
    REQUIRE(open.ok());
    CHECK(open->m_team == TeamName("desk"));
    CHECK(open->m_key.Empty());
  }
  CHECK(SubmitCode(access, kDesk, "gone") == Code::kEntryWithdrawn);
  CHECK(SubmitCode(access, kDesk, "none") == Code::kEntryUnknown);
  CHECK(SubmitCode(access, "", "none") == Code::kKeyMissing);
  CHECK(SubmitCode(access, "guess", "gone") == Code::kKeyUnknown);
}

// Guards against a role that may do more than it includes, and against a
// team's key on the administration API.
TEST_CASE("an operator's role includes the ones before it") {
  const Access access = Sample();
  CHECK(CheckOperator(access, kFleetOperator, Role::kViewer).ok());
  CHECK(*CheckOperator(access, kFleetOperator, Role::kFleet) ==
        OperatorName("op"));
  const auto code = [&](std::string_view key, Role role) {
    return CodeOf(CheckOperator(access, key, role).status());
  };
  CHECK(code(kFleetOperator, Role::kAdmin) == Code::kOperatorForbidden);
  CHECK(code(kDesk, Role::kViewer) == Code::kOperatorKeyMissing);
  CHECK(code("", Role::kViewer) == Code::kOperatorKeyMissing);
}

}  // namespace
}  // namespace filbertspar
