#include "filbertspar/node/src/router.h"

#include <algorithm>

#include "filbertspar/node/src/clock.h"

namespace filbertspar {
namespace {

/// Longest time a call waits for an owner; longer than a take-over usually
/// lasts.
constexpr Duration kOwnerWait = Milliseconds(1500);
constexpr Duration kRetryInterval = Milliseconds(20);
constexpr Duration kNoOwnerRetryAfter = Seconds(1);
/// Part of the caller's timeout reserved for returning the reply.
constexpr Duration kReplyMargin = Milliseconds(60);

/// The call that asks whether the owner would admit a submitted job.
JobCall OfferOf(const JobCall& submission) {
  JobCall offer = submission;
  offer.m_verb = JobVerb::kOffer;
  absl::StatusOr<JobSpec> spec = DecodeJob(submission.m_body);
  if (spec.ok()) {
    spec->m_payload.clear();
    offer.m_body = EncodeJob(*spec);
  }
  return offer;
}

}  // namespace

asio::awaitable<JobReply> Router::Execute(JobCall call) {
  const TimePoint began = BootNow();
  const TimePoint deadline = began + call.m_wait - kReplyMargin;
  bool may_have_effect = false;
  bool is_admitted = false;
  while (BootNow() < deadline) {
    JobReply reply;
    reply.m_code = Code::kNotLeaseHolder;
    call.m_wait = deadline - BootNow();
    if (const std::shared_ptr<OwnerTerm> owner_term = m_owner_term()) {
      call.m_received_ms = MsFromTime(began);
      call.m_expires_ms = MsFromTime(deadline) + 1;
      reply = co_await owner_term->Execute(VmName(), call);
      // A write in progress when this VM lost ownership may still have taken
      // effect.
      may_have_effect =
          may_have_effect || reply.m_code == Code::kNotLeaseHolder;
    } else if (m_link.IsReady() && call.m_verb == JobVerb::kSubmit &&
               m_link.ShouldOfferJobs() && !is_admitted) {
      // An offer has no effect, so that its reply may be lost.
      const LinkClient::Result offered =
          co_await m_link.Call(OfferOf(call), began, call.m_wait);
      if (offered.m_reply && offered.m_reply->m_code == Code::kOk) {
        is_admitted = true;
        if (offered.m_reply->m_count > 0) {
          co_return *offered.m_reply;
        }
        continue;
      }
      if (offered.m_reply) {
        reply = *offered.m_reply;
      }
    } else if (m_link.IsReady()) {
      const LinkClient::Result result =
          co_await m_link.Call(call, began, call.m_wait);
      may_have_effect = may_have_effect || result.m_sent;
      if (result.m_reply) {
        reply = *result.m_reply;
      }
    } else if (!may_have_effect && BootNow() - began > kOwnerWait) {
      break;
    }
    if (reply.m_code == Code::kOutcomeUnknown) {
      may_have_effect = true;
    } else if (reply.m_code != Code::kNotLeaseHolder &&
               reply.m_code != Code::kNoOwner &&
               reply.m_code != Code::kDeadlinePassed) {
      co_return reply;
    }
    co_await m_watch.Changed().WaitFor(kRetryInterval);
  }
  JobReply reply;
  const bool unknown = may_have_effect && (call.m_verb == JobVerb::kSubmit ||
                                           call.m_verb == JobVerb::kCancel);
  reply.m_code = unknown ? Code::kOutcomeUnknown : Code::kNoOwner;
  reply.m_retry_after = kNoOwnerRetryAfter;
  co_return reply;
}

}  // namespace filbertspar
