#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "filbertspar/access/src/key.h"
#include "filbertspar/base/base.h"
#include "filbertspar/catalogue/catalogue.h"

namespace filbertspar {

/// \brief A team's key, found by its digest.
struct TeamCredential {
  KeyDigest m_digest{};
  KeyName m_key;
  TeamName m_team;
  bool m_revoked = false;
};

/// \brief An operator's key, found by its digest.
struct OperatorCredential {
  KeyDigest m_digest{};
  OperatorName m_operator;
  Role m_role = Role::kViewer;
};

/// \brief Who may submit an entry.
struct EntryRule {
  TeamName m_owner;
  std::vector<TeamName> m_allowed;
  bool m_open = false;
  bool m_withdrawn = false;
};

/// \brief Keys and rights of one catalogue version, indexed for checking.
struct Access {
  std::vector<TeamCredential> m_keys;
  std::vector<OperatorCredential> m_operators;
  /// By the first 8 bytes of the digest; the whole digest is then compared in
  /// constant time.
  absl::flat_hash_map<std::uint64_t, std::vector<std::uint32_t>> m_key_index;
  absl::flat_hash_map<std::uint64_t, std::vector<std::uint32_t>>
      m_operator_index;
  absl::flat_hash_map<EntryName, EntryRule> m_entries;
};

/// \brief Who submits and who is charged.
struct Permit {
  TeamName m_team;
  /// Key that was used; empty on an open entry.
  KeyName m_key;
};

/// \brief Index of a valid catalogue. Keys without a well-formed hash match
/// nothing.
Access BuildAccess(const Catalogue& catalogue);

/// \brief Team and name of a presented key. kKeyMissing when it is empty,
/// kKeyUnknown, kKeyRevoked. The message never contains the key.
absl::StatusOr<Permit> CheckKey(const Access& access, std::string_view key);

/// \brief Whether the bearer of the key may submit the entry, and who is
/// charged. An open entry takes any caller and is charged to its owner,
/// whatever key came. Errors of CheckKey, then kEntryUnknown,
/// kEntryNotAllowed, kEntryWithdrawn; callers without a valid key do not learn
/// which keyed entries exist.
absl::StatusOr<Permit> CheckSubmit(const Access& access, std::string_view key,
                                   const EntryName& entry);

/// \brief Operator of a presented key whose role includes the needed one.
/// kOperatorKeyMissing when it is empty or no operator's, kOperatorForbidden
/// when the role is too low.
absl::StatusOr<OperatorName> CheckOperator(const Access& access,
                                           std::string_view key, Role needed);

}  // namespace filbertspar
