#include <algorithm>
#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar::internal {
namespace {

// The share gives a retired index to a new name; the state of the old name
// must not pass to it.
void IndexTeams(Engine& engine) {
  const Catalogue& document = *engine.m_catalogue;
  engine.m_teams.resize(engine.m_share.m_teams.size());
  for (TeamState& team : engine.m_teams) {
    team.m_ceiling = 0;
  }
  for (const Team& team : document.m_teams) {
    const TeamIndex index = *FindTeamIndex(engine.m_share, team.m_name);
    TeamState& state = TeamOf(engine, index);
    if (state.m_name != team.m_name) {
      state = {};
      state.m_name = team.m_name;
    }
    const auto grant = engine.m_grants.find(team.m_name);
    state.m_granted = grant == engine.m_grants.end() ? 0 : grant->second;
    state.m_ceiling = team.m_ceiling;
  }
}

void IndexPools(Engine& engine, TimePoint now) {
  engine.m_pools.resize(engine.m_share.m_pools.size());
  for (std::size_t i = 0; i < engine.m_pools.size(); ++i) {
    const PoolName& name = engine.m_share.m_pools[i].m_name;
    PoolState& state = engine.m_pools[i];
    if (state.m_name != name) {
      const bool dirty = state.m_dirty;
      state = {.m_name = name,
               .m_placement = InternPool(engine.m_placement, name),
               .m_dirty = dirty,
               .m_retry_tokens = engine.m_options.m_retry_start};
      SetCapacity(engine.m_share, now, PoolIndex(i),
                  CapacityInService(engine.m_placement, state.m_placement));
    }
  }
}

EntryIndex NewEntry(Engine& engine) {
  if (engine.m_free_entries.empty()) {
    engine.m_entries.emplace_back();
    return EntryIndex(engine.m_entries.size() - 1);
  }
  const EntryIndex index = engine.m_free_entries.back();
  engine.m_free_entries.pop_back();
  engine.m_entries[index.Value()] = {};
  return index;
}

// Entries that are gone keep their index until FreeEntries.
void IndexEntries(Engine& engine) {
  const Catalogue& document = *engine.m_catalogue;
  for (std::size_t i = 0; i < document.m_entries.size(); ++i) {
    const CatalogueEntry& entry = document.m_entries[i];
    FS_ASSERT(FindPoolIndex(engine.m_share, entry.m_pool),
              "an entry names a pool of the document");
    const auto found = engine.m_entry_by_name.find(entry.m_name.Value());
    const EntryIndex index = found == engine.m_entry_by_name.end()
                                 ? NewEntry(engine)
                                 : found->second;
    engine.m_entry_by_name[entry.m_name.Value()] = index;
    EntryState& state = engine.m_entries[index.Value()];
    state.m_position = i;
    Declare(state.m_estimate, entry.m_resources, entry.m_run_time);
  }
}

void FreeEntries(Engine& engine) {
  const Catalogue& document = *engine.m_catalogue;
  for (auto i = engine.m_entry_by_name.begin();
       i != engine.m_entry_by_name.end();) {
    const auto current = i++;
    const std::size_t position =
        engine.m_entries[current->second.Value()].m_position;
    if (position >= document.m_entries.size() ||
        document.m_entries[position].m_name.Value() != current->first) {
      engine.m_free_entries.push_back(current->second);
      engine.m_entry_by_name.erase(current);
    }
  }
}

bool FitsEntry(const Engine& engine, const Request& request,
               const CatalogueEntry& entry) {
  return engine.m_pools[request.m_pool.Value()].m_name == entry.m_pool &&
         entry.m_class == request.m_class &&
         entry.m_resources == request.m_resources;
}

// Collects the ids first, because an answer changes the table.
std::vector<RequestId> UnstartedRequests(const Engine& engine) {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : engine.m_requests) {
    if (request->m_state == RequestState::kWaiting ||
        request->m_state == RequestState::kClaiming ||
        request->m_state == RequestState::kBackoff) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace

void IndexCatalogue(Engine& engine, TimePoint now) {
  const Catalogue& document = *engine.m_catalogue;
  ++engine.m_epoch;
  ShareConfig config;
  for (const Team& team : document.m_teams) {
    config.m_teams.push_back({.m_name = team.m_name,
                              .m_weight = team.m_weight,
                              .m_ceiling = team.m_ceiling});
  }
  for (const Pool& pool : document.m_pools) {
    config.m_pools.push_back(pool.m_name);
  }
  Configure(engine.m_share, now, config);
  IndexTeams(engine);
  IndexPools(engine, now);
  IndexEntries(engine);
  engine.m_key_by_name.clear();
  for (std::size_t i = 0; i < document.m_keys.size(); ++i) {
    engine.m_key_by_name[document.m_keys[i].m_name.Value()] = i;
  }
  Reserve(engine.m_queue, engine.m_pools.size(), engine.m_teams.size(),
          engine.m_entries.size(), 1);
  for (std::size_t i = 0; i < engine.m_teams.size(); ++i) {
    UnitsChanged(engine, TeamIndex(i));
  }
}

const CatalogueEntry* EntryOf(const Engine& engine, const EntryName& name) {
  const auto found = engine.m_entry_by_name.find(name.Value());
  if (found == engine.m_entry_by_name.end()) {
    return nullptr;
  }
  const std::size_t position =
      engine.m_entries[found->second.Value()].m_position;
  const auto& entries = engine.m_catalogue->m_entries;
  return position < entries.size() && entries[position].m_name == name
             ? &entries[position]
             : nullptr;
}

std::optional<Code> RuledOut(const Engine& engine,
                             const Submission& submission) {
  const CatalogueEntry* entry = EntryOf(engine, submission.m_entry);
  if (entry == nullptr) {
    return Code::kEntryUnknown;
  }
  if (entry->m_withdrawn) {
    return Code::kEntryWithdrawn;
  }
  if (!submission.m_key.Empty()) {
    const auto key = engine.m_key_by_name.find(submission.m_key.Value());
    if (key == engine.m_key_by_name.end()) {
      return Code::kKeyUnknown;
    }
    if (engine.m_catalogue->m_keys[key->second].m_revoked) {
      return Code::kKeyRevoked;
    }
  }
  const auto& allowed = entry->m_allowed_teams;
  const bool may_use = entry->m_open || entry->m_owner == submission.m_team ||
                       std::find(allowed.begin(), allowed.end(),
                                 submission.m_team.Value()) != allowed.end();
  if (!may_use || !FindTeamIndex(engine.m_share, submission.m_team)) {
    return Code::kEntryNotAllowed;
  }
  return std::nullopt;
}

void FillFromEntry(Engine& engine, Request& request) {
  const CatalogueEntry& entry = *EntryOf(engine, request.m_submission.m_entry);
  request.m_team = *FindTeamIndex(engine.m_share, request.m_submission.m_team);
  request.m_pool = *FindPoolIndex(engine.m_share, entry.m_pool);
  request.m_entry = engine.m_entry_by_name.find(entry.m_name.Value())->second;
  request.m_class = entry.m_class;
  request.m_resources = entry.m_resources;
  request.m_run_time = entry.m_run_time;
  request.m_max_queue = entry.m_max_queue;
  request.m_epoch = engine.m_epoch;
}

void ReviewUnstarted(Engine& engine, TimePoint now, Effects& effects) {
  for (const RequestId id : UnstartedRequests(engine)) {
    Request& request = *FindRequest(engine, id);
    if (const auto code = RuledOut(engine, request.m_submission)) {
      FinishUnsettled(engine, now, request, *code, effects);
    } else if (request.m_state == RequestState::kWaiting) {
      const CatalogueEntry& entry =
          *EntryOf(engine, request.m_submission.m_entry);
      if (!FitsEntry(engine, request, entry)) {
        TakeWaiting(engine, now, request, /*to_start=*/false);
        PutBackWaiting(engine, now, request, effects);
      }
      request.m_epoch = engine.m_epoch;
    }
  }
  FreeEntries(engine);
}

}  // namespace filbertspar::internal
