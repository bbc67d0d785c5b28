#include "programs/ctl/client.h"

#include <exception>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"

namespace filbertspar::ctl {
namespace {

/// The result of an answer, or the error it carries.
absl::StatusOr<JsonObject> Read(const Endpoint& address,
                                const HttpResponse& response) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(response.body());
  if (!object.ok()) {
    return Error(Code::kPlatformBadAnswer,
                 absl::StrCat(address.Text(), ": the answer is not JSON"));
  }
  if (response.result_int() == 200) {
    return object;
  }
  std::optional<Code> code;
  if (const Json* number = object->if_contains("code");
      number != nullptr && number->is_int64()) {
    code = CodeFromNumber(static_cast<int>(number->as_int64()));
  }
  std::string message;
  if (const Json* text = object->if_contains("message");
      text != nullptr && text->is_string()) {
    message.assign(text->as_string().data(), text->as_string().size());
  }
  return Error(code.value_or(Code::kInternal), message);
}

bool TriesNext(const absl::Status& status) {
  switch (CodeOf(status)) {
    case Code::kNoConfig:
    case Code::kStopping:
    case Code::kPlatformDown:
    case Code::kPlatformTimeout:
    case Code::kBreakerOpen:
    case Code::kEntryUnreachable:
      return true;
    default:
      return false;
  }
}

absl::Status NoAnswer(const Endpoint& address) {
  return Error(Code::kEntryUnreachable,
               absl::StrCat("no answer from ", address.Text()));
}

}  // namespace

Client::Client(const Options& options)
    : m_options(options), m_http(m_context, {}) {}

CallResult Client::Call(const Endpoint& address, HttpVerb verb,
                        const std::string& path, const std::string& body) {
  HttpRequest request =
      MakeRequest(verb, absl::StrCat("/admin/v1/", path), body);
  request.set("x-filbertspar-operator-key", m_options.m_operator_key);
  CallResult result;
  asio::co_spawn(m_context,
                 m_http.Call(address, std::move(request), m_options.m_timeout),
                 [&](const std::exception_ptr& error, CallResult answer) {
                   if (!error) {
                     result = std::move(answer);
                   }
                 });
  m_context.restart();
  m_context.run();
  return result;
}

absl::StatusOr<JsonObject> Client::GetFrom(const Endpoint& address,
                                           const std::string& path) {
  const CallResult result = Call(address, HttpVerb::get, path, "");
  if (result.m_end != CallEnd::kAnswered) {
    return NoAnswer(address);
  }
  return Read(address, result.m_response);
}

absl::StatusOr<JsonObject> Client::Get(const std::string& path) {
  absl::StatusOr<JsonObject> answer =
      Error(Code::kUsage, "no address was given");
  for (const Endpoint& address : m_options.m_addresses) {
    answer = GetFrom(address, path);
    if (answer.ok() || !TriesNext(answer.status())) {
      return answer;
    }
  }
  return answer;
}

absl::StatusOr<JsonObject> Client::Change(HttpVerb verb,
                                          const std::string& path,
                                          const std::string& body) {
  absl::Status status = Error(Code::kUsage, "no address was given");
  for (const Endpoint& address : m_options.m_addresses) {
    const CallResult result = Call(address, verb, path, body);
    if (result.m_end == CallEnd::kAnswered) {
      return Read(address, result.m_response);
    }
    if (result.m_end == CallEnd::kLost) {
      return Error(Code::kChangeUnconfirmed,
                   absl::StrCat(address.Text(),
                                " took the change and did not answer; look "
                                "before you repeat it"));
    }
    status = NoAnswer(address);
  }
  return status;
}

}  // namespace filbertspar::ctl
