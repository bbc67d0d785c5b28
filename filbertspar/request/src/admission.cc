#include <algorithm>
#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar {
namespace internal {
namespace {

std::optional<Code> RefusalOf(const Engine& engine,
                              const Submission& submission) {
  if (engine.m_stopping) {
    return Code::kStopping;
  }
  if (engine.m_catalogue == nullptr) {
    return Code::kNoConfig;
  }
  if (engine.m_requests.size() + engine.m_orphan_claims.size() >=
      engine.m_options.m_max_requests) {
    return Code::kTooManyRequests;
  }
  return RuledOut(engine, submission);
}

// Refusals that depend on the entry's pool and on the team's ceiling.
std::optional<Code> RefusalByRoom(Engine& engine, const Request& request) {
  const TeamState& team = TeamOf(engine, request.m_team);
  const PlacementPool pool = PoolOf(engine, request.m_pool).m_placement;
  if (!request.m_repeatable && request.m_submission.m_request_key.empty()) {
    return Code::kRequestKeyMissing;
  }
  if (request.m_submission.m_deadline <= Duration(0)) {
    return Code::kDeadlineTooShort;
  }
  if (team.m_ceiling <= 0) {
    return Code::kTeamAtCeiling;
  }
  if (engine.m_placement.m_pools[pool].m_workers.empty()) {
    return Code::kNoWorker;
  }
  if (!CanEverHold(engine.m_placement, pool, request.m_resources)) {
    return Code::kNeverRunnable;
  }
  if (CapacityInService(engine.m_placement, pool).m_slots.Count() == 0) {
    return Code::kNoWorker;
  }
  // The peer that forwarded it lets it wait, so that the demand is counted
  // where the caller is.
  if (request.m_submission.m_forwarded && FreeUnits(team) <= team.m_waiting) {
    return Code::kTeamAtCeiling;
  }
  return std::nullopt;
}

// Queues a new request, after writing its claim when it needs one.
std::optional<Code> Enter(Engine& engine, TimePoint now, Request& request,
                          Effects& effects) {
  if (TryForward(engine, now, request, effects)) {
    return std::nullopt;
  }
  if (request.m_repeatable) {
    const Code code = AdmitWaiting(engine, now, request);
    return code == Code::kOk ? std::nullopt : std::optional(code);
  }
  if (CountWaiting(engine.m_queue, request.m_pool, request.m_team) >=
      request.m_max_queue) {
    return Code::kQueueFull;
  }
  request.m_state = RequestState::kClaiming;
  effects.emplace_back(
      WriteClaim{.m_request = request.m_id,
                 .m_team = request.m_submission.m_team,
                 .m_request_key = request.m_submission.m_request_key});
  return std::nullopt;
}

std::optional<Code> Accept(Engine& engine, TimePoint now, Request& request,
                           Effects& effects) {
  if (const auto refusal = RefusalOf(engine, request.m_submission)) {
    return refusal;
  }
  FillFromEntry(engine, request);
  const CatalogueEntry& entry = *EntryOf(engine, request.m_submission.m_entry);
  // Whether a request is repeatable is settled when it is accepted: a later
  // change of the entry must not lift the claim from it.
  request.m_repeatable = entry.m_repeatable;
  request.m_deadline =
      now + std::min(request.m_submission.m_deadline, entry.m_max_deadline);
  if (const auto refusal = RefusalByRoom(engine, request)) {
    return refusal;
  }
  return Enter(engine, now, request, effects);
}

}  // namespace
}  // namespace internal

RequestId Submit(Engine& engine, TimePoint now, Submission submission,
                 Effects& effects) {
  const RequestId id(internal::NextId(engine));
  ++engine.m_counters.m_submitted;
  auto owned = std::make_unique<internal::Request>();
  internal::Request& request = *owned;
  request.m_id = id;
  request.m_submission = std::move(submission);
  if (const auto refusal = internal::Accept(engine, now, request, effects)) {
    ++engine.m_counters.m_refused_at_admission;
    ++engine.m_counters.m_replies[*refusal];
    effects.emplace_back(
        Reply{.m_request = id, .m_code = *refusal, .m_body = nullptr});
    return id;
  }
  const TeamIndex team = request.m_team;
  internal::SetTimer(engine, request.m_deadline, internal::TimerKind::kDeadline,
                     id.Value());
  engine.m_requests.emplace(id, std::move(owned));
  internal::Dispatch(engine, now, effects);
  internal::UpdateWant(engine, now, internal::TeamOf(engine, team), effects);
  return id;
}

}  // namespace filbertspar
