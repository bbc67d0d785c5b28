#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "boost/asio/io_context.hpp"
#include "filbertspar/http/http.h"
#include "programs/ctl/options.h"

namespace filbertspar::ctl {

/// \brief Blocking client of the administration API.
class Client {
 public:
  explicit Client(const Options& options);

  /// \brief Reads from the first address that answers. An entry process that
  /// has no configuration or cannot reach the platform counts as not answering
  /// while another one may.
  absl::StatusOr<JsonObject> Get(const std::string& path);

  /// \brief Reads from one address.
  absl::StatusOr<JsonObject> GetFrom(const Endpoint& address,
                                     const std::string& path);

  /// \brief Changes something through the first address that can be reached.
  /// Once a byte was sent no other address is tried, since the change may have
  /// been made: kChangeUnconfirmed when no answer came.
  absl::StatusOr<JsonObject> Change(HttpVerb verb, const std::string& path,
                                    const std::string& body);

 private:
  CallResult Call(const Endpoint& address, HttpVerb verb,
                  const std::string& path, const std::string& body);

  const Options& m_options;
  asio::io_context m_context;
  HttpClient m_http;
};

}  // namespace filbertspar::ctl
