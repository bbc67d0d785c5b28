#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar {
namespace {

void Claimed(Engine& engine, TimePoint now, internal::Request& request,
             const ClaimReport& report, Effects& effects) {
  switch (report.m_result) {
    case ClaimResult::kClaimed:
      request.m_claimed = true;
      internal::PutBackWaiting(engine, now, request, effects);
      break;
    case ClaimResult::kFinishedBefore:
      internal::Finish(engine, now, request, report.m_code, report.m_body,
                       effects);
      break;
    case ClaimResult::kHeldByOther:
      internal::Finish(engine, now, request, Code::kAlreadyClaimed, nullptr,
                       effects);
      break;
    case ClaimResult::kStoreDown:
      internal::FinishUnsettled(engine, now, request, Code::kClaimStoreDown,
                                effects);
      break;
    case ClaimResult::kUnsettled:
      break;
  }
}

}  // namespace

void ClaimSettled(Engine& engine, TimePoint now, const ClaimReport& report,
                  Effects& effects) {
  if (const auto orphan = engine.m_orphan_claims.find(report.m_request);
      orphan != engine.m_orphan_claims.end()) {
    if (report.m_result == ClaimResult::kClaimed) {
      effects.emplace_back(
          ReleaseClaim{.m_request = report.m_request,
                       .m_team = orphan->second.first,
                       .m_request_key = orphan->second.second});
    }
    if (report.m_result != ClaimResult::kUnsettled) {
      engine.m_orphan_claims.erase(orphan);
    }
    return;
  }
  internal::Request* request = internal::FindRequest(engine, report.m_request);
  if (request == nullptr || request->m_state != RequestState::kClaiming) {
    return;
  }
  if (report.m_result != ClaimResult::kUnsettled) {
    // The claim is no longer being written: Finish must not list it as an
    // orphan.
    request->m_state = RequestState::kBackoff;
  }
  Claimed(engine, now, *request, report, effects);
  internal::Dispatch(engine, now, effects);
}

}  // namespace filbertspar
