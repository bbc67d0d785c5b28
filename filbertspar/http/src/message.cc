#include "filbertspar/http/src/message.h"

#include <utility>

namespace filbertspar {
namespace {

namespace http = boost::beast::http;

boost::beast::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view StdView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

HttpResponse MakeResponse(int status, const char* type, std::string body) {
  HttpResponse response;
  response.result(static_cast<http::status>(status));
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

}  // namespace

HttpResponse JsonResponse(int status, const Json& body) {
  return MakeResponse(status, "application/json", ToText(body));
}

HttpResponse TextResponse(int status, std::string body) {
  return MakeResponse(status, "text/plain; charset=utf-8", std::move(body));
}

HttpResponse CodeResponse(Code code, std::string_view message) {
  const CodeInfo& info = Describe(code);
  const std::string_view outcome = OutcomeName(info.m_outcome);
  return JsonResponse(
      info.m_http_status,
      JsonObject{{"code", static_cast<int>(code)},
                 {"name", View(info.m_name)},
                 {"outcome", View(outcome)},
                 {"message", View(message.empty() ? info.m_text : message)}});
}

HttpResponse StatusResponse(const absl::Status& status) {
  const std::string message(status.message());
  return CodeResponse(CodeOf(status), message);
}

HttpRequest MakeRequest(HttpVerb verb, std::string_view target,
                        std::string body) {
  HttpRequest request(verb, View(target), 11);
  if (!body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
  }
  return request;
}

std::string_view PathOf(const HttpRequest& request) {
  const std::string_view target = StdView(request.target());
  return target.substr(0, target.find('?'));
}

std::string_view QueryOf(const HttpRequest& request, std::string_view name) {
  std::string_view target = StdView(request.target());
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
    rest = pair.size() == rest.size() ? std::string_view{}
                                      : rest.substr(pair.size() + 1);
  }
  return {};
}

std::string_view HeaderOf(const HttpRequest& request, std::string_view name) {
  const auto found = request.find(View(name));
  return found == request.end() ? std::string_view{} : StdView(found->value());
}

}  // namespace filbertspar
