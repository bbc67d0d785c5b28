#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar::internal {
namespace {

std::size_t SizeOf(const Finished& finished) {
  return finished.m_body == nullptr ? 0 : finished.m_body->size();
}

void Keep(Engine& engine, TimePoint now, RequestId id, Finished finished) {
  engine.m_finished_bytes += SizeOf(finished);
  engine.m_finished.emplace(id, std::move(finished));
  engine.m_finished_order.emplace_back(now, id);
  ForgetOldFinished(engine, now);
}

void CloseClaim(const Request& request, Code code, const Body& body,
                Effects& effects) {
  const RequestId id = request.m_id;
  const Submission& submission = request.m_submission;
  switch (Describe(code).m_outcome) {
    case Outcome::kNotRun:
      effects.emplace_back(
          ReleaseClaim{.m_request = id,
                       .m_team = submission.m_team,
                       .m_request_key = submission.m_request_key});
      break;
    case Outcome::kRan:
      effects.emplace_back(
          FinishClaim{.m_request = id,
                      .m_team = submission.m_team,
                      .m_request_key = submission.m_request_key,
                      .m_code = code,
                      .m_body = body});
      break;
    case Outcome::kUnknown:
    case Outcome::kNone:
      break;
  }
}

}  // namespace

void Finish(Engine& engine, TimePoint now, Request& request, Code code,
            Body body, Effects& effects) {
  const RequestId id = request.m_id;
  const Outcome outcome = Describe(code).m_outcome;
  FS_ASSERT(outcome != Outcome::kNotRun ||
                (!request.m_ran && !request.m_may_have_run &&
                 request.m_attempt.IsNone() &&
                 request.m_state != RequestState::kForwarded),
            "\"not run\" is only said of work that certainly did not start");
  if (request.m_state == RequestState::kWaiting) {
    TakeWaiting(engine, now, request, /*to_start=*/false);
  } else if (request.m_state == RequestState::kClaiming) {
    engine.m_orphan_claims.emplace(
        id, std::make_pair(request.m_submission.m_team,
                           request.m_submission.m_request_key));
  }
  const auto attempt = engine.m_attempts.find(request.m_attempt);
  if (attempt != engine.m_attempts.end() && request.m_repeatable) {
    effects.emplace_back(
        StopAttempt{.m_attempt = attempt->first,
                    .m_worker = attempt->second.m_worker_name});
  }
  Finished finished{
      .m_code = code, .m_body = body, .m_team = request.m_submission.m_team};
  if (request.m_claimed) {
    CloseClaim(request, code, body, effects);
    if (outcome == Outcome::kUnknown) {
      finished.m_request_key = request.m_submission.m_request_key;
    }
  }
  ++engine.m_counters.m_replies[code];
  effects.emplace_back(
      Reply{.m_request = id, .m_code = code, .m_body = std::move(body)});
  Keep(engine, now, id, std::move(finished));
  engine.m_requests.erase(id);
}

void FinishUnsettled(Engine& engine, TimePoint now, Request& request, Code code,
                     Effects& effects) {
  if (request.m_ran) {
    code = Code::kTaskFailed;
  } else if (request.m_may_have_run || !request.m_attempt.IsNone() ||
             request.m_state == RequestState::kForwarded) {
    code = Code::kOutcomeUnknown;
  }
  Finish(engine, now, request, code, nullptr, effects);
}

void SettleFinished(Engine& engine, RequestId id, Code code, Body body,
                    Effects& effects) {
  const auto found = engine.m_finished.find(id);
  if (found == engine.m_finished.end() ||
      Describe(found->second.m_code).m_outcome != Outcome::kUnknown) {
    return;
  }
  Finished& finished = found->second;
  engine.m_finished_bytes -= SizeOf(finished);
  finished.m_code = code;
  finished.m_body = std::move(body);
  engine.m_finished_bytes += SizeOf(finished);
  if (!finished.m_request_key.empty()) {
    effects.emplace_back(FinishClaim{.m_request = id,
                                     .m_team = finished.m_team,
                                     .m_request_key = finished.m_request_key,
                                     .m_code = code,
                                     .m_body = finished.m_body});
    finished.m_request_key.clear();
  }
}

void ForgetOldFinished(Engine& engine, TimePoint now) {
  const EngineOptions& options = engine.m_options;
  while (
      !engine.m_finished_order.empty() &&
      (engine.m_finished.size() > options.m_max_finished ||
       engine.m_finished_bytes > options.m_max_finished_bytes ||
       engine.m_finished_order.front().first + options.m_finished_age <= now)) {
    const auto found =
        engine.m_finished.find(engine.m_finished_order.front().second);
    engine.m_finished_bytes -= SizeOf(found->second);
    engine.m_finished.erase(found);
    engine.m_finished_order.pop_front();
  }
}

}  // namespace filbertspar::internal
