#pragma once

#include <deque>
#include <string>

#include "boost/asio/basic_stream_socket.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "filbertspar/node/src/async.h"

namespace filbertspar {

using LinkSocket =
    asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;

/// \brief Frames that wait to be written to a link.
struct FrameQueue {
  std::deque<std::string> m_frames;
  std::size_t m_bytes = 0;
  /// Whether a coroutine writes them.
  bool m_writing = false;
};

/// \brief Adds a frame; true when the caller has to begin to write.
bool PushFrame(FrameQueue& queue, std::string frame);

/// \brief Writes until the queue is empty or `closed` is set; false when the
/// socket failed.
asio::awaitable<bool> WriteFrames(LinkSocket& socket, FrameQueue& queue,
                                  const bool& closed);

}  // namespace filbertspar
