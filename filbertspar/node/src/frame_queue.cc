#include "filbertspar/node/src/frame_queue.h"

#include <utility>

#include "boost/asio/write.hpp"

namespace filbertspar {

bool PushFrame(FrameQueue& queue, std::string frame) {
  queue.m_bytes += frame.size();
  queue.m_frames.push_back(std::move(frame));
  return !std::exchange(queue.m_writing, true);
}

asio::awaitable<bool> WriteFrames(LinkSocket& socket, FrameQueue& queue,
                                  const bool& closed) {
  bool succeeded = true;
  while (succeeded && !queue.m_frames.empty() && !closed) {
    std::string bytes;
    for (const std::string& frame : queue.m_frames) {
      bytes += frame;
    }
    queue.m_frames.clear();
    auto [error, written] =
        co_await asio::async_write(socket, asio::buffer(bytes), kAsTuple);
    static_cast<void>(written);
    queue.m_bytes -= bytes.size();
    succeeded = !error;
  }
  queue.m_writing = false;
  co_return succeeded;
}

}  // namespace filbertspar
