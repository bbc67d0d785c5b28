#pragma once

#include <string>
#include <string_view>

#include "boost/asio/io_context.hpp"
#include "boost/beast/http/message.hpp"
#include "boost/beast/http/string_body.hpp"
#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar {

namespace asio = boost::asio;

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
using HttpVerb = boost::beast::http::verb;

/// \brief Response with a JSON body.
HttpResponse JsonResponse(int status, const Json& body);

/// \brief Response with a plain text body.
HttpResponse TextResponse(int status, std::string body);

/// \brief Response that carries a result code: its HTTP status and the body
/// {"code","name","outcome","message"}.
HttpResponse CodeResponse(Code code, std::string_view message);

/// \brief CodeResponse of a status that is not ok.
HttpResponse StatusResponse(const absl::Status& status);

/// \brief Request of the given verb and target with a body of JSON text.
HttpRequest MakeRequest(HttpVerb verb, std::string_view target,
                        std::string body = {});

/// \brief The target up to a '?'.
std::string_view PathOf(const HttpRequest& request);

/// \brief Value of a query parameter, or empty.
std::string_view QueryOf(const HttpRequest& request, std::string_view name);

/// \brief Value of a header, or empty.
std::string_view HeaderOf(const HttpRequest& request, std::string_view name);

}  // namespace filbertspar
