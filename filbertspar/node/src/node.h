#pragma once

#include <memory>

#include "absl/status/status.h"
#include "boost/asio/io_context.hpp"
#include "filbertspar/node/src/options.h"

namespace filbertspar {

/// \brief The node process: creates its components, connects them and stops
/// them in order.
class Node {
 public:
  Node(boost::asio::io_context& context, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// \brief Starts listening and serving; returns kListenFailed when a port
  /// cannot be opened.
  absl::Status Start();

  /// \brief Stops gracefully: hands over ownership, reports not ready until the
  /// load balancer has noticed, answers open calls, then stops the io_context.
  void Stop();

  /// \brief Applies a changed settings file: the addresses of the store, the
  /// fleet service and the recommendation service.
  void Reload(const NodeOptions& options);

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace filbertspar
