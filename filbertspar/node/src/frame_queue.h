#pragma once

#include <deque>
#include <string>

#include "boost/asio/basic_stream_socket.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "filbertspar/node/src/async.h"

namespace filbertspar {

using LinkSocket =
    asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;

/// \brief Frames queued for writing to a link.
struct FrameQueue {
  std::deque<std::string> m_frames;
  std::size_t m_bytes = 0;
  /// Whether a coroutine is writing the frames.
  bool m_writing = false;
};

/// \brief Adds a frame. Returns true when no coroutine is writing, so that the
/// caller has to start WriteFrames.
bool PushFrame(FrameQueue& queue, std::string frame);

/// \brief Writes until the queue is empty or `closed` is set. Returns false on
/// a socket error.
asio::awaitable<bool> WriteFrames(LinkSocket& socket, FrameQueue& queue,
                                  const bool& closed);

}  // namespace filbertspar
