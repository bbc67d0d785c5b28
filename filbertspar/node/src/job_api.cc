#include "filbertspar/node/src/job_api.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/metric_names.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

std::string_view VerbName(HttpVerb verb) {
  switch (verb) {
    case HttpVerb::post:
      return "submit";
    case HttpVerb::delete_:
      return "cancel";
    default:
      return "state";
  }
}

JobVerb JobVerbOf(HttpVerb verb) {
  switch (verb) {
    case HttpVerb::post:
      return JobVerb::kSubmit;
    case HttpVerb::delete_:
      return JobVerb::kCancel;
    default:
      return JobVerb::kState;
  }
}

/// Seconds for the Retry-After header, rounded up to at least 1.
std::int64_t RetryAfterSeconds(Duration duration) {
  return std::max<std::int64_t>(1, (ToMilliseconds(duration) + 999) / 1000);
}

}  // namespace

HttpResponse JobApi::Refuse(Code code, std::string_view message,
                            Duration retry_after) {
  HttpResponse response = CodeResponse(code, message);
  const unsigned status = response.result_int();
  if (status == 429 || status == 503) {
    response.set(boost::beast::http::field::retry_after,
                 absl::StrCat(RetryAfterSeconds(retry_after)));
  }
  return response;
}

asio::awaitable<HttpResponse> JobApi::Handle(const HttpRequest& request) {
  const TimePoint began = BootNow();
  // Holds a reference, so that a reload does not free the configuration during
  // the call.
  const DeploymentConfigPtr deployment = m_configuration.Current();
  HttpResponse response;
  Target target;
  if (deployment == nullptr) {
    response = Refuse(Code::kNoConfig, "");
  } else {
    const std::string_view path = PathOf(request);
    target.m_queue = FindQueue(*deployment, HeaderOf(request, "Host"), path);
    if (target.m_queue == nullptr) {
      response = Refuse(Code::kEntryUnknown, "no such queue");
    } else {
      target.m_job = path.substr(target.m_queue->m_path_prefix.size());
      const Authorization authorization = Authorize(
          *deployment, *target.m_queue, HeaderOf(request, "Authorization"),
          m_configuration.Freshness(), began);
      target.m_workspace = authorization.m_workspace;
      if (authorization.m_code != Code::kOk) {
        response = Refuse(authorization.m_code, "");
      } else {
        response = co_await HandleJob(request, *deployment, target);
      }
    }
  }
  const Duration took = BootNow() - began;
  const std::string_view verb = VerbName(request.method());
  const unsigned status = response.result_int();
  Count(m_metrics, metric::kCalls,
        absl::StrCat(std::string(verb), "_", status));
  RecordLatency(m_metrics, metric::kCallSeconds, verb, took);
  if (request.method() != HttpVerb::get || status != 200) {
    const ConfigFreshness freshness = m_configuration.Freshness();
    m_log.Info(
        "call", "answered",
        absl::StrCat(
            "job=", target.m_job.empty() ? "-" : target.m_job,
            " verb=", std::string(verb), " status=", status, " queue=",
            target.m_queue == nullptr ? "-" : target.m_queue->m_name.Value(),
            " workspace=", target.m_workspace.Value(),
            " took_ms=", ToMilliseconds(took), " config=",
            deployment == nullptr ? 0 : deployment->m_version.Value(),
            " config_age_ms=",
            freshness.m_confirmed_at == TimePoint::min()
                ? -1
                : ToMilliseconds(began - freshness.m_confirmed_at)));
  }
  co_return response;
}

absl::StatusOr<std::string> JobApi::JobRow(const HttpRequest& request,
                                           const Target& target) const {
  absl::StatusOr<JobSpec> job = adapter::DecodeJobSubmission(request.body());
  if (!job.ok()) {
    return job.status();
  }
  job->m_id = JobId(target.m_job);
  job->m_queue = target.m_queue->m_name;
  job->m_workspace = target.m_workspace;
  job->m_policy = target.m_queue->m_policy;
  job->m_received_ms = ToMilliseconds(UnixNow());
  m_relay.Keep(job->m_id, job->m_payload);
  std::string row = EncodeJob(*job);
  if (row.size() > m_max_job_bytes) {
    return Error(Code::kBodyTooLarge,
                 "the job does not fit into a transaction of the store");
  }
  return row;
}

asio::awaitable<HttpResponse> JobApi::HandleJob(
    const HttpRequest& request, const DeploymentConfig& deployment,
    const Target& target) {
  JobCall call;
  call.m_queue = target.m_queue->m_name.Value();
  call.m_workspace = target.m_workspace.Value();
  call.m_job = target.m_job;
  call.m_wait = adapter::CallerTimeout(request, target.m_queue->m_call_timeout);
  call.m_verb = JobVerbOf(request.method());
  if (target.m_job.empty()) {
    if (request.method() != HttpVerb::get) {
      co_return Refuse(Code::kUnknownPath, "expected a job's id in the path");
    }
    call.m_verb = JobVerb::kQueueLength;
  } else if (!adapter::IsJobId(target.m_job)) {
    co_return Refuse(Code::kUnknownPath, "expected 16 hexadecimal digits");
  }
  if (call.m_verb == JobVerb::kSubmit) {
    if (request.body().size() > deployment.m_limits.m_body_bytes) {
      co_return Refuse(Code::kBodyTooLarge, "");
    }
    absl::StatusOr<std::string> row = JobRow(request, target);
    if (!row.ok()) {
      co_return StatusResponse(row.status());
    }
    call.m_body = *std::move(row);
  }
  const JobReply reply = co_await m_router.Execute(call);
  if (reply.m_code == Code::kRequestUnknown) {
    co_return adapter::JobNotFoundResponse();
  }
  if (reply.m_code != Code::kOk) {
    co_return Refuse(reply.m_code, "", reply.m_retry_after);
  }
  switch (call.m_verb) {
    case JobVerb::kState:
      co_return adapter::JobStateResponse(static_cast<JobState>(reply.m_state));
    case JobVerb::kQueueLength:
      co_return adapter::QueueLengthResponse(reply.m_count);
    case JobVerb::kSubmit:
    case JobVerb::kCancel:
    case JobVerb::kOffer:
      break;
  }
  co_return JsonResponse(200, JsonObject());
}

}  // namespace filbertspar
