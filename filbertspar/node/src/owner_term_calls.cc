#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/metric_names.h"
#include "filbertspar/node/src/owner_term.h"

namespace filbertspar {
namespace {

/// Retry time returned to callers while the store is unavailable.
constexpr Duration kStoreRetryAfter = Seconds(2);
/// The same while jobs fill the owner's memory; finished ones are freed after
/// some ten seconds.
constexpr Duration kMemoryRetryAfter = Seconds(10);
/// Interval between checks whether a cancelled job's final state is stored.
constexpr Duration kCancelPollPeriod = Milliseconds(5);

std::string JobField(const JobId& id) {
  return absl::StrCat("job=", id.Value());
}

}  // namespace

asio::awaitable<JobReply> OwnerTerm::Execute(VmName from, JobCall call) {
  const auto self = shared_from_this();
  JobReply reply;
  const TimePoint deadline = BootNow() + call.m_wait;
  if (call.m_expires_ms >= 0 && BootNow() > TimeFromMs(call.m_expires_ms)) {
    m_parts.m_log.Info(
        "call", "call_expired",
        absl::StrCat(JobField(JobId(call.m_job)), " peer=", from.Value()));
    reply.m_code = Code::kDeadlinePassed;
    co_return reply;
  }
  while (m_running && !m_jobs_loaded && BootNow() < deadline) {
    co_await m_jobs_loaded_signal.WaitFor(deadline - BootNow());
  }
  if (!m_running || !m_jobs_loaded) {
    reply.m_code = m_running ? Code::kNoOwner : Code::kNotLeaseHolder;
    co_return reply;
  }
  call.m_wait = std::max(Duration(0), deadline - BootNow());
  switch (call.m_verb) {
    case JobVerb::kSubmit:
      co_return co_await Submit(from, call);
    case JobVerb::kOffer:
      co_return AnswerOffer(call);
    case JobVerb::kCancel:
      co_return co_await Cancel(call);
    case JobVerb::kState:
      co_return StateReply(call);
    case JobVerb::kQueueLength:
      co_return QueueLengthReply(from, call);
  }
  co_return reply;
}

JobReply OwnerTerm::QueueLengthReply(const VmName& from, const JobCall& call) {
  JobReply reply;
  if (!HasCurrentState()) {
    reply.m_code = Code::kNoOwner;
    return reply;
  }
  const TimePoint now = BootNow();
  const scheduler::QueueLength length =
      scheduler::MeasureQueues(m_scheduler)[QueueName(call.m_queue)];
  reply.m_count = length.m_queued;
  m_parts.m_log.Info(
      "call", "queue_length",
      absl::StrCat(
          "queue=", call.m_queue, " peer=", from.Value(), " ", m_log_epoch,
          " queued=", length.m_queued, " reserved=", length.m_reserved,
          " with_lost_start=", length.m_with_lost_start, " oldest_ms=",
          length.m_queued == 0 ? 0 : ToMilliseconds(now - length.m_oldest_at),
          " confirmed_ms_ago=",
          ToMilliseconds(now - m_journal->ConfirmedAt())));
  return reply;
}

std::optional<JobReply> OwnerTerm::ReplyToOthers(const JobCall& call) {
  const JobId id(call.m_job);
  const JobSpec* storing = m_journal->FindStoring(id);
  const bool is_submission =
      call.m_verb == JobVerb::kSubmit || call.m_verb == JobVerb::kOffer;
  const Code code = scheduler::CodeForOthers(
      scheduler::MatchJob(m_scheduler, id, storing, QueueName(call.m_queue)),
      is_submission);
  if (code == Code::kOk) {
    return std::nullopt;
  }
  m_parts.m_log.Warn(
      "call", "job_of_others",
      absl::StrCat(JobField(id), " verb=", static_cast<int>(call.m_verb),
                   " queue=", call.m_queue, " workspace=", call.m_workspace,
                   " is_stored=", storing == nullptr,
                   " code=", static_cast<int>(code)));
  if (code == Code::kRequestUnknown) {
    return UnknownJobReply();
  }
  if (is_submission) {
    // Not kept as a refusal: the id is also that of the other job.
    Count(m_parts.m_metrics, metric::kJobs, "refused");
  }
  JobReply reply;
  reply.m_code = code;
  return reply;
}

JobReply OwnerTerm::UnknownJobReply() const {
  JobReply reply;
  // An owner that is disconnected from the store cannot know jobs that another
  // owner accepted in the meantime.
  reply.m_code = IsConfirmed() ? Code::kRequestUnknown : Code::kNoOwner;
  return reply;
}

JobReply OwnerTerm::StateReply(const JobCall& call) {
  if (const std::optional<JobReply> others = ReplyToOthers(call)) {
    return *others;
  }
  const std::optional<JobState> state =
      scheduler::ReportedState(m_scheduler, JobId(call.m_job));
  if (!state) {
    return UnknownJobReply();
  }
  JobReply reply;
  if (!IsFinal(*state) && !HasCurrentState()) {
    reply.m_code = Code::kNoOwner;
    return reply;
  }
  reply.m_state = static_cast<std::uint8_t>(*state);
  return reply;
}

JobReply OwnerTerm::Refuse(const JobId& job, Code code, Duration retry_after) {
  RecordRefusal(m_refusals, job, {code, retry_after, BootNow()});
  Count(m_parts.m_metrics, metric::kJobs, "refused");
  JobReply reply;
  reply.m_code = code;
  reply.m_retry_after = retry_after;
  return reply;
}

JobReply OwnerTerm::Admit(const JobCall& call, const JobSpec& spec,
                          bool counts_if_admitted) {
  JobReply reply;
  const TimePoint now = BootNow();
  const TimePoint received_at =
      call.m_received_ms < 0 ? now : TimeFromMs(call.m_received_ms);
  if (const auto earlier = FindRefusal(m_refusals, spec.m_id, received_at)) {
    m_parts.m_log.Info(
        "call", "submit_refused_before",
        absl::StrCat(JobField(spec.m_id),
                     " code=", static_cast<int>(earlier->m_code),
                     " age_ms=", ToMilliseconds(now - earlier->m_at),
                     " received_ms_ago=", ToMilliseconds(now - received_at)));
    reply.m_code = earlier->m_code;
    reply.m_retry_after = earlier->m_retry_after;
    return reply;
  }
  if (m_journal->IsStalled(now)) {
    return Refuse(spec.m_id, Code::kJournalStoreDown, kStoreRetryAfter);
  }
  if (!scheduler::HasMemoryFor(m_workload_cache, m_scheduler, now, spec)) {
    m_parts.m_log.Warn(
        "call", "submit_refused",
        absl::StrCat(JobField(spec.m_id),
                     " reason=memory job_bytes=", m_workload_cache.m_job_bytes,
                     " max_bytes=", m_scheduler.m_options.m_max_job_bytes));
    return Refuse(spec.m_id, Code::kQueueFull, kMemoryRetryAfter);
  }
  const PoolName& pool_name = spec.m_policy.m_pool;
  const scheduler::Admission admission = scheduler::Admit(
      m_scheduler, now, spec,
      scheduler::CachedWorkload(m_workload_cache, m_scheduler, now, pool_name));
  reply.m_code = admission.m_code;
  reply.m_retry_after = admission.m_retry_after;
  const bool is_admitted = admission.m_code == Code::kOk;
  if (is_admitted && !counts_if_admitted) {
    return reply;
  }
  const double work = scheduler::EstimatedWork(m_scheduler, spec);
  if (is_admitted) {
    scheduler::CountAdmitted(m_workload_cache, pool_name, work,
                             admission.m_is_over_share);
  }
  // Only work within shares counts as demand for more VMs; work beyond shares
  // uses existing capacity.
  if (!admission.m_is_over_share) {
    scheduler::Pool& pool = m_scheduler.m_pools[pool_name];
    pool.m_arrived_work += work;
    ++pool.m_arrived_jobs;
  }
  m_parts.m_log.Info(
      "call", is_admitted ? "submit_admitted" : "submit_refused",
      absl::StrCat(
          JobField(spec.m_id), " queue=", call.m_queue, " workspace=",
          call.m_workspace, " over_share=", admission.m_is_over_share,
          " wait_ms=", ToMilliseconds(admission.m_expected_wait),
          " chain_ms=", ToMilliseconds(admission.m_expected_critical_path),
          " retry_after_ms=", ToMilliseconds(admission.m_retry_after)));
  return is_admitted
             ? reply
             : Refuse(spec.m_id, admission.m_code, admission.m_retry_after);
}

JobReply OwnerTerm::AnswerOffer(const JobCall& call) {
  if (const std::optional<JobReply> others = ReplyToOthers(call)) {
    return *others;
  }
  JobReply reply;
  const JobId id(call.m_job);
  if (scheduler::ReportedState(m_scheduler, id)) {
    reply.m_count = 1;
    return reply;
  }
  const absl::StatusOr<JobSpec> spec = DecodeJob(call.m_body);
  if (!spec.ok()) {
    reply.m_code = CodeOf(spec.status());
    return reply;
  }
  if (m_journal->IsStoring(id)) {
    return reply;
  }
  return Admit(call, *spec, /*counts_if_admitted=*/false);
}

asio::awaitable<JobReply> OwnerTerm::Submit(const VmName& from,
                                            const JobCall& call) {
  if (const std::optional<JobReply> others = ReplyToOthers(call)) {
    co_return *others;
  }
  JobReply reply;
  const JobId id(call.m_job);
  if (scheduler::ReportedState(m_scheduler, id)) {
    m_parts.m_log.Info("call", "submit_repeated", JobField(id));
    co_return reply;
  }
  absl::StatusOr<JobSpec> spec = DecodeJob(call.m_body);
  if (!spec.ok()) {
    reply.m_code = CodeOf(spec.status());
    co_return reply;
  }
  if (!m_journal->IsStoring(id)) {
    reply = Admit(call, *spec, /*counts_if_admitted=*/true);
    if (reply.m_code != Code::kOk) {
      co_return reply;
    }
  }
  const TimePoint began = BootNow();
  reply.m_code = co_await m_journal->Accept(*std::move(spec), call.m_wait);
  if (!m_journal->IsStoring(id)) {
    scheduler::ForgetEarlyCancel(m_scheduler, id);
  }
  if (reply.m_code == Code::kJournalStoreDown) {
    reply = Refuse(id, reply.m_code, kStoreRetryAfter);
  }
  if (reply.m_code == Code::kOk) {
    scheduler::SetPayloadHolder(m_scheduler, id, from);
  }
  m_parts.m_log.Info(
      "call", "submit_done",
      absl::StrCat(JobField(id), " code=", static_cast<int>(reply.m_code),
                   " store_ms=", ToMilliseconds(BootNow() - began)));
  co_return reply;
}

asio::awaitable<void> OwnerTerm::CancelWhileStoring(const JobId& id,
                                                    TimePoint deadline) {
  scheduler::CancelWhenAdded(m_scheduler, id);
  while (m_running && m_journal->IsStoring(id) && BootNow() < deadline) {
    co_await SleepFor(kCancelPollPeriod);
  }
}

asio::awaitable<JobReply> OwnerTerm::Cancel(const JobCall& call) {
  if (const std::optional<JobReply> others = ReplyToOthers(call)) {
    co_return *others;
  }
  JobReply reply;
  const JobId id(call.m_job);
  const TimePoint deadline = BootNow() + call.m_wait;
  if (m_journal->IsStoring(id)) {
    co_await CancelWhileStoring(id, deadline);
  }
  if (!m_running) {
    reply.m_code = Code::kNotLeaseHolder;
    co_return reply;
  }
  if (m_journal->IsStoring(id)) {
    reply.m_code = Code::kOutcomeUnknown;
    co_return reply;
  }
  if (!scheduler::ReportedState(m_scheduler, id)) {
    scheduler::ForgetEarlyCancel(m_scheduler, id);
    reply = UnknownJobReply();
    if (reply.m_code == Code::kRequestUnknown) {
      // A submission that was received before the cancel may still be under
      // way; its job must not run after this reply.
      RecordRefusal(m_refusals, id, {Code::kCancelled, Duration(0), BootNow()});
    }
    co_return reply;
  }
  scheduler::CancelJob(m_scheduler, BootNow(), id);
  HandleStateChange();
  while (m_running && BootNow() < deadline) {
    const std::optional<JobState> state =
        scheduler::ReportedState(m_scheduler, id);
    if (!state || IsFinal(*state)) {
      co_return reply;
    }
    co_await SleepFor(kCancelPollPeriod);
  }
  reply.m_code = m_running ? Code::kOutcomeUnknown : Code::kNotLeaseHolder;
  co_return reply;
}

}  // namespace filbertspar
