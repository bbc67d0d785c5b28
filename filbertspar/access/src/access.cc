#include "filbertspar/access/src/access.h"

#include <algorithm>
#include <cstring>

namespace filbertspar {
namespace {

std::uint64_t PrefixOf(const KeyDigest& digest) {
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, digest.data(), sizeof(prefix));
  return prefix;
}

template <typename Credential>
const Credential* FindCredential(
    const std::vector<Credential>& credentials,
    const absl::flat_hash_map<std::uint64_t, std::vector<std::uint32_t>>& index,
    std::string_view key) {
  if (key.size() > kMaxKeyLength) {
    return nullptr;
  }
  const KeyDigest digest = DigestOf(key);
  const auto it = index.find(PrefixOf(digest));
  if (it == index.end()) {
    return nullptr;
  }
  const Credential* found = nullptr;
  for (const std::uint32_t i : it->second) {
    if (EqualDigests(credentials[i].m_digest, digest)) {
      found = &credentials[i];
    }
  }
  return found;
}

}  // namespace

Access BuildAccess(const Catalogue& catalogue) {
  Access access;
  for (const Key& key : catalogue.m_keys) {
    if (const auto digest = DigestFromHex(key.m_hash)) {
      access.m_key_index[PrefixOf(*digest)].push_back(
          static_cast<std::uint32_t>(access.m_keys.size()));
      access.m_keys.push_back({*digest, key.m_name, key.m_team, key.m_revoked});
    }
  }
  for (const Operator& op : catalogue.m_operators) {
    if (const auto digest = DigestFromHex(op.m_hash)) {
      access.m_operator_index[PrefixOf(*digest)].push_back(
          static_cast<std::uint32_t>(access.m_operators.size()));
      access.m_operators.push_back({*digest, op.m_name, op.m_role});
    }
  }
  for (const CatalogueEntry& entry : catalogue.m_entries) {
    EntryRule rule{.m_owner = entry.m_owner,
                   .m_allowed = {},
                   .m_open = entry.m_open,
                   .m_withdrawn = entry.m_withdrawn};
    for (const std::string& team : entry.m_allowed_teams) {
      rule.m_allowed.emplace_back(team);
    }
    access.m_entries.emplace(entry.m_name, std::move(rule));
  }
  return access;
}

absl::StatusOr<Permit> CheckKey(const Access& access, std::string_view key) {
  if (key.empty()) {
    return Error(Code::kKeyMissing, "the request carries no key");
  }
  const TeamCredential* credential =
      FindCredential(access.m_keys, access.m_key_index, key);
  if (credential == nullptr) {
    return Error(Code::kKeyUnknown, "the key is not known");
  }
  if (credential->m_revoked) {
    return Error(Code::kKeyRevoked, "the key is revoked");
  }
  return Permit{credential->m_team, credential->m_key};
}

absl::StatusOr<Permit> CheckSubmit(const Access& access, std::string_view key,
                                   const EntryName& entry) {
  const auto it = access.m_entries.find(entry);
  const EntryRule* rule = it == access.m_entries.end() ? nullptr : &it->second;
  Permit permit;
  if (rule != nullptr && rule->m_open) {
    permit.m_team = rule->m_owner;
  } else {
    absl::StatusOr<Permit> checked = CheckKey(access, key);
    if (!checked.ok()) {
      return checked.status();
    }
    permit = *std::move(checked);
    if (rule == nullptr) {
      return Error(Code::kEntryUnknown, "there is no such entry");
    }
    if (permit.m_team != rule->m_owner &&
        std::find(rule->m_allowed.begin(), rule->m_allowed.end(),
                  permit.m_team) == rule->m_allowed.end()) {
      return Error(Code::kEntryNotAllowed,
                   "the key's team may not submit the entry");
    }
  }
  if (rule->m_withdrawn) {
    return Error(Code::kEntryWithdrawn, "the entry is withdrawn");
  }
  return permit;
}

absl::StatusOr<OperatorName> CheckOperator(const Access& access,
                                           std::string_view key, Role needed) {
  const OperatorCredential* credential =
      FindCredential(access.m_operators, access.m_operator_index, key);
  if (credential == nullptr) {
    return Error(Code::kOperatorKeyMissing,
                 "the request carries no operator's key");
  }
  if (credential->m_role < needed) {
    return Error(Code::kOperatorForbidden,
                 "the operator's role does not allow the call");
  }
  return credential->m_operator;
}

}  // namespace filbertspar
