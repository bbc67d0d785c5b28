#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "boost/asio/io_context.hpp"
#include "filbertspar/base/base.h"

namespace filbertspar {

namespace asio = boost::asio;

/// \brief Bounds of the log.
struct EventLogLimits {
  /// Lines not written yet, at most; a reader that stalls costs lines.
  std::size_t m_buffered_bytes = 256 << 10;
  /// Lines a second that are kept on average, and at once.
  double m_lines_per_s = 400;
  double m_burst_lines = 2000;
};

/// \brief Structured log: one line an event, as key=value fields after a fixed
/// prefix. Never blocks: lines beyond the bounds are dropped and counted, and
/// a line says how many.
class EventLog {
 public:
  EventLog(asio::io_context& context, EventLogLimits limits, int descriptor);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// \brief `fields` is "key=value ..."; values hold no blanks.
  void Info(std::string_view part, std::string_view event,
            std::string_view fields = "");
  void Warn(std::string_view part, std::string_view event,
            std::string_view fields = "");

  /// \brief Writes what the descriptor takes at once.
  void Flush();

  std::uint64_t Dropped() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
