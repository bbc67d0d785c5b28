#include <algorithm>
#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar {
namespace internal {

namespace {

const CatalogueEntry* EntryOf(const Engine& engine, const EntryName& name) {
  const auto found = engine.m_entry_by_name.find(name.Value());
  return found == engine.m_entry_by_name.end()
             ? nullptr
             : &engine.m_catalogue->m_entries[found->second];
}

std::optional<Code> RefusalOf(const Engine& engine,
                              const Submission& submission) {
  if (engine.m_stopping) {
    return Code::kStopping;
  }
  if (engine.m_catalogue == nullptr) {
    return Code::kNoConfig;
  }
  if (engine.m_requests.size() >= engine.m_options.m_max_requests) {
    return Code::kTooManyRequests;
  }
  return RuledOut(engine, submission);
}

// Refusals that depend on the pool and on the team's own queue.
std::optional<Code> RefusalByRoom(const Engine& engine,
                                  const CatalogueEntry& entry,
                                  const Request& request) {
  const TeamState& team = engine.m_teams[request.m_team];
  if (!entry.m_repeatable && request.m_submission.m_request_key.empty()) {
    return Code::kRequestKeyMissing;
  }
  if (request.m_submission.m_deadline <= Duration(0)) {
    return Code::kDeadlineTooShort;
  }
  if (team.m_ceiling <= 0) {
    return Code::kTeamAtCeiling;
  }
  if (!HasWorkers(engine.m_placement, request.m_pool)) {
    return Code::kNoWorker;
  }
  if (!CanEverHold(engine.m_placement, request.m_pool, entry.m_resources)) {
    return Code::kNeverRunnable;
  }
  if (team.m_waiting_by_pool.size() > request.m_pool &&
      team.m_waiting_by_pool[request.m_pool] >= entry.m_max_queue) {
    return Code::kQueueFull;
  }
  if (request.m_submission.m_forwarded && FreeUnits(team) <= 0) {
    return Code::kTeamAtCeiling;
  }
  return std::nullopt;
}

void FillFromEntry(Engine& engine, const CatalogueEntry& entry,
                   Request& request) {
  request.m_team = InternTeam(engine, request.m_submission.m_team);
  request.m_pool = InternEnginePool(engine, entry.m_pool);
  request.m_class = entry.m_class;
  request.m_resources = entry.m_resources;
  request.m_run_time = entry.m_run_time;
  request.m_repeatable = entry.m_repeatable;
}

}  // namespace

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
  if (!entry->m_open && entry->m_owner != submission.m_team &&
      std::find(allowed.begin(), allowed.end(), submission.m_team.Value()) ==
          allowed.end()) {
    return Code::kEntryNotAllowed;
  }
  return std::nullopt;
}

void Refit(Engine& engine, Request& request) {
  const CatalogueEntry* entry = EntryOf(engine, request.m_submission.m_entry);
  RemoveWaiting(engine, request);
  FillFromEntry(engine, *entry, request);
  PushWaiting(engine, request, /*front=*/false);
}

bool FitsEntry(const Engine& engine, const Request& request) {
  const CatalogueEntry* entry = EntryOf(engine, request.m_submission.m_entry);
  const auto pool =
      engine.m_placement.m_pool_by_name.find(entry->m_pool.Value());
  return pool != engine.m_placement.m_pool_by_name.end() &&
         pool->second == request.m_pool && entry->m_class == request.m_class &&
         entry->m_resources == request.m_resources;
}

void Enqueue(Engine& engine, Request& request, Effects& effects) {
  if (request.m_repeatable || request.m_claimed) {
    PushWaiting(engine, request, /*front=*/false);
    return;
  }
  request.m_state = RequestState::kClaiming;
  effects.emplace_back(
      WriteClaim{.m_request = request.m_id,
                 .m_team = request.m_submission.m_team,
                 .m_request_key = request.m_submission.m_request_key});
}

}  // namespace internal

RequestId Submit(Engine& engine, TimePoint now, Submission submission,
                 Effects& effects) {
  const RequestId id(internal::NextId(engine));
  ++engine.m_counters.m_submitted;
  auto owned = std::make_unique<internal::Request>();
  internal::Request& request = *owned;
  request.m_id = id;
  request.m_submission = std::move(submission);
  std::optional<Code> refusal =
      internal::RefusalOf(engine, request.m_submission);
  if (!refusal) {
    const CatalogueEntry& entry =
        *internal::EntryOf(engine, request.m_submission.m_entry);
    internal::FillFromEntry(engine, entry, request);
    request.m_deadline =
        now + std::min(request.m_submission.m_deadline, entry.m_max_deadline);
    refusal = internal::RefusalByRoom(engine, entry, request);
  }
  if (refusal) {
    ++engine.m_counters.m_refused_at_admission;
    ++engine.m_counters.m_replies[*refusal];
    effects.emplace_back(
        Reply{.m_request = id, .m_code = *refusal, .m_body = nullptr});
    return id;
  }
  engine.m_requests.emplace(id, std::move(owned));
  internal::SetTimer(engine, request.m_deadline, internal::TimerKind::kDeadline,
                     id.Value());
  const internal::TeamIndex team = request.m_team;
  if (!internal::TryForward(engine, now, request, effects)) {
    internal::Enqueue(engine, request, effects);
    internal::Dispatch(engine, now, effects);
  }
  internal::UpdateWant(engine, now, team, effects);
  return id;
}

}  // namespace filbertspar
