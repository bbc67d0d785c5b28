#include <algorithm>
#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar {
namespace internal {
namespace {

// What the report proves once its echoed ids and length are checked. A
// refusal carries no ids, and one with foreign ids is not ours.
AttemptResult CheckedResult(Engine& engine, const Attempt& attempt,
                            const AttemptReport& report) {
  const bool echoed = report.m_echoed_request == attempt.m_request &&
                      report.m_echoed_attempt == report.m_attempt;
  const std::size_t length =
      report.m_body == nullptr ? 0 : report.m_body->size();
  bool matches = true;
  switch (report.m_result) {
    case AttemptResult::kDone:
    case AttemptResult::kFailed:
      matches = echoed && report.m_declared_length == length;
      break;
    case AttemptResult::kRefused:
    case AttemptResult::kStopped:
      matches = echoed || (report.m_echoed_request.IsNone() &&
                           report.m_echoed_attempt.IsNone());
      break;
    case AttemptResult::kNotSent:
    case AttemptResult::kLost:
      break;
  }
  if (!matches) {
    ++engine.m_counters.m_mismatched;
    return AttemptResult::kLost;
  }
  return report.m_result;
}

WorkerOutcome OutcomeOf(const Attempt& attempt, AttemptResult result) {
  switch (result) {
    case AttemptResult::kDone:
      return WorkerOutcome::kSuccess;
    case AttemptResult::kFailed:
    case AttemptResult::kNotSent:
      return WorkerOutcome::kFailure;
    case AttemptResult::kLost:
      // A caller's deadline below the declared run time says nothing about the
      // worker; without this rule such callers could have it ejected.
      return attempt.m_timeout >= attempt.m_run_time ? WorkerOutcome::kFailure
                                                     : WorkerOutcome::kNeutral;
    case AttemptResult::kRefused:
      return WorkerOutcome::kRefused;
    case AttemptResult::kStopped:
      return WorkerOutcome::kNeutral;
  }
  return WorkerOutcome::kNeutral;
}

void RewardPool(Engine& engine, PoolIndex pool) {
  double& tokens = PoolOf(engine, pool).m_retry_tokens;
  tokens = std::min(tokens + engine.m_options.m_retry_per_success,
                    engine.m_options.m_retry_max);
}

// Schedules another attempt; false when budget, bound or deadline forbid it.
bool Retry(Engine& engine, TimePoint now, Request& request) {
  const EngineOptions& options = engine.m_options;
  double& tokens = PoolOf(engine, request.m_pool).m_retry_tokens;
  if (request.m_cancelled || tokens < 1.0 ||
      request.m_retries >= options.m_max_retries) {
    return false;
  }
  const Duration cap =
      std::min(options.m_backoff_base * (std::int64_t{1} << request.m_retries),
               options.m_backoff_cap);
  const Duration pause(static_cast<std::int64_t>(
      engine.m_rng.Below(static_cast<std::uint64_t>(cap.count()) + 1)));
  if (now + pause >= request.m_deadline) {
    return false;
  }
  tokens -= 1.0;
  ++request.m_retries;
  ++engine.m_counters.m_retries;
  request.m_state = RequestState::kBackoff;
  SetTimer(engine, now + pause, TimerKind::kBackoff, request.m_id.Value());
  return true;
}

void AfterFailed(Engine& engine, TimePoint now, Request& request,
                 const AttemptReport& report, Effects& effects) {
  request.m_ran = true;
  if (!request.m_repeatable || !Retry(engine, now, request)) {
    Body body = report.m_body;
    if (body == nullptr && !report.m_reason.empty()) {
      body = std::make_shared<const std::string>(report.m_reason);
    }
    Finish(engine, now, request, Code::kTaskFailed, std::move(body), effects);
  }
}

void AfterRefused(Engine& engine, TimePoint now, Request& request,
                  Effects& effects) {
  ++engine.m_counters.m_refused_by_worker;
  if (request.m_cancelled) {
    FinishUnsettled(engine, now, request, Code::kCancelled, effects);
  } else if (++request.m_refusals >= engine.m_options.m_max_refusals) {
    FinishUnsettled(engine, now, request, Code::kUpstreamRefused, effects);
  } else {
    // A full worker is no failure: the work goes back to the head of its queue
    // without use of the retry budget. The worker's pause bounds the rate.
    PutBackWaiting(engine, now, request, effects);
  }
}

void AfterLost(Engine& engine, TimePoint now, Request& request,
               bool worker_closed) {
  request.m_may_have_run = true;
  request.m_crashes += worker_closed ? 1 : 0;
  const bool given_up = request.m_crashes >= engine.m_options.m_max_crashes;
  engine.m_counters.m_given_up += given_up ? 1 : 0;
  if (request.m_repeatable && !given_up && Retry(engine, now, request)) {
    return;
  }
  request.m_state = RequestState::kSettling;
  if (request.m_repeatable) {
    SetTimer(engine,
             std::min(now + engine.m_options.m_settle_wait, request.m_deadline),
             TimerKind::kSettleEnd, request.m_id.Value());
  }
}

void AfterStopped(Engine& engine, TimePoint now, Request& request,
                  Effects& effects) {
  request.m_ran = true;
  if (request.m_cancelled) {
    Finish(engine, now, request, Code::kStoppedByCancel, nullptr, effects);
  } else if (!request.m_repeatable || !Retry(engine, now, request)) {
    Finish(engine, now, request, Code::kTaskFailed, nullptr, effects);
  }
}

void Apply(Engine& engine, TimePoint now, Request& request,
           AttemptResult result, const AttemptReport& report,
           Effects& effects) {
  request.m_attempt = AttemptId();
  switch (result) {
    case AttemptResult::kDone:
      Finish(engine, now, request, Code::kOk, report.m_body, effects);
      break;
    case AttemptResult::kFailed:
      AfterFailed(engine, now, request, report, effects);
      break;
    case AttemptResult::kRefused:
      AfterRefused(engine, now, request, effects);
      break;
    case AttemptResult::kNotSent:
      if (!Retry(engine, now, request)) {
        FinishUnsettled(
            engine, now, request,
            request.m_cancelled ? Code::kCancelled : Code::kRetryBudgetSpent,
            effects);
      }
      break;
    case AttemptResult::kLost:
      AfterLost(engine, now, request, report.m_worker_closed);
      break;
    case AttemptResult::kStopped:
      AfterStopped(engine, now, request, effects);
      break;
  }
}

// Takes the proof of how a lost attempt ended.
void Settle(Engine& engine, TimePoint now, AttemptId id, AttemptResult result,
            const Body& body, Effects& effects) {
  const auto found = engine.m_attempts.find(id);
  const RequestId request_id = found->second.m_request;
  ReleaseUnit(engine, now, found->second);
  engine.m_attempts.erase(found);
  ++engine.m_counters.m_settled_late;
  Request* request = FindRequest(engine, request_id);
  const bool done = result == AttemptResult::kDone;
  if (request == nullptr) {
    SettleFinished(engine, request_id, done ? Code::kOk : Code::kTaskFailed,
                   body, effects);
    return;
  }
  if (done) {
    Finish(engine, now, *request, Code::kOk, body, effects);
    return;
  }
  request->m_ran = true;
  if (request->m_state == RequestState::kSettling) {
    const bool stopped = result == AttemptResult::kStopped;
    Finish(engine, now, *request,
           stopped && request->m_cancelled ? Code::kStoppedByCancel
                                           : Code::kTaskFailed,
           body, effects);
  }
}

bool IsProof(AttemptResult result) {
  return result == AttemptResult::kDone || result == AttemptResult::kFailed ||
         result == AttemptResult::kStopped;
}

void EndLive(Engine& engine, TimePoint now, const AttemptReport& report,
             AttemptResult result, Effects& effects) {
  Attempt& attempt = engine.m_attempts.find(report.m_attempt)->second;
  const RequestId request_id = attempt.m_request;
  Judge(engine.m_placement, now, attempt.m_worker, OutcomeOf(attempt, result));
  if (result == AttemptResult::kDone) {
    RewardPool(engine, attempt.m_pool);
    ObserveRunTime(engine.m_entries[attempt.m_entry.Value()].m_estimate,
                   now - attempt.m_started);
  }
  MarkDirty(engine, attempt.m_pool);
  if (result == AttemptResult::kLost) {
    ++engine.m_counters.m_lost;
    attempt.m_lost = true;
    attempt.m_lost_at = now;
    SetTimer(engine,
             now + engine.m_options.m_lease + engine.m_options.m_lease_margin,
             TimerKind::kUnitLapse, report.m_attempt.Value());
    QueryLost(engine, now, report.m_attempt, attempt, effects);
  } else {
    ReleaseUnit(engine, now, attempt);
    engine.m_attempts.erase(report.m_attempt);
  }
  Request* request = FindRequest(engine, request_id);
  if (request != nullptr && request->m_attempt == report.m_attempt) {
    Apply(engine, now, *request, result, report, effects);
  } else if (IsProof(result)) {
    SettleFinished(
        engine, request_id,
        result == AttemptResult::kDone ? Code::kOk : Code::kTaskFailed,
        report.m_body, effects);
  }
}

}  // namespace

void ReleaseUnit(Engine& engine, TimePoint now, Attempt& attempt) {
  if (!attempt.m_holds_unit) {
    return;
  }
  attempt.m_holds_unit = false;
  --TeamOf(engine, attempt.m_team).m_running;
  TaskEnded(engine.m_share, now, attempt.m_pool, attempt.m_team,
            attempt.m_resources);
  Vacate(engine.m_placement, attempt.m_worker, attempt.m_resources);
  MarkDirty(engine, attempt.m_pool);
  UnitsChanged(engine, attempt.m_team);
}

void QueryLost(Engine& engine, TimePoint now, AttemptId id, Attempt& attempt,
               Effects& effects) {
  effects.emplace_back(
      QueryAttempt{.m_attempt = id, .m_worker = attempt.m_worker_name});
  SetTimer(engine, now + attempt.m_query_pause, TimerKind::kQuery, id.Value());
  attempt.m_query_pause =
      std::min(2 * attempt.m_query_pause, engine.m_options.m_last_query_pause);
}

}  // namespace internal

void AttemptEnded(Engine& engine, TimePoint now, const AttemptReport& report,
                  Effects& effects) {
  const auto found = engine.m_attempts.find(report.m_attempt);
  if (found == engine.m_attempts.end()) {
    ++engine.m_counters.m_duplicates;
    return;
  }
  const AttemptResult result =
      internal::CheckedResult(engine, found->second, report);
  if (!found->second.m_lost) {
    internal::EndLive(engine, now, report, result, effects);
  } else if (internal::IsProof(result)) {
    internal::Settle(engine, now, report.m_attempt, result, report.m_body,
                     effects);
  } else {
    // After a loss, a refusal without ids may belong to another attempt.
    ++engine.m_counters.m_duplicates;
  }
  internal::Dispatch(engine, now, effects);
}

void AttemptSettled(Engine& engine, TimePoint now, const QueryReport& report,
                    Effects& effects) {
  const auto found = engine.m_attempts.find(report.m_attempt);
  if (found == engine.m_attempts.end() || !found->second.m_lost) {
    return;
  }
  AttemptResult result = AttemptResult::kLost;
  switch (report.m_state) {
    case AttemptState::kDone:
      result = report.m_body == nullptr ? AttemptResult::kLost
                                        : AttemptResult::kDone;
      break;
    case AttemptState::kFailed:
      result = AttemptResult::kFailed;
      break;
    case AttemptState::kStopped:
      result = AttemptResult::kStopped;
      break;
    case AttemptState::kUnknown:  // the request may still be on its way
    case AttemptState::kRunning:
    case AttemptState::kUnreachable:
      break;
  }
  if (internal::IsProof(result)) {
    internal::Settle(engine, now, report.m_attempt, result, report.m_body,
                     effects);
    internal::Dispatch(engine, now, effects);
  }
}

}  // namespace filbertspar
