#pragma once

#include <memory>

#include "absl/status/status.h"
#include "boost/asio/io_context.hpp"
#include "filbertspar/node/src/options.h"

namespace filbertspar {

/// \brief The node process: wires its parts together and stops them in order.
class Node {
 public:
  Node(boost::asio::io_context& context, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// \brief Listens and begins to work; kListenFailed when it cannot.
  absl::Status Start();

  /// \brief Stops gracefully: hands over, lets the balancer see it, answers
  /// what was read, then ends the context's work.
  void Stop();

  /// \brief The settings file changed.
  void Reload(const NodeOptions& options);

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace filbertspar
