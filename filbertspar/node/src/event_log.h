#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "boost/asio/io_context.hpp"
#include "filbertspar/base/base.h"

namespace filbertspar {

namespace asio = boost::asio;

/// \brief Limits of the buffer and the rate of the log.
struct EventLogLimits {
  /// Bytes of lines not written yet; when a stalled reader lets the buffer fill
  /// up, new lines are dropped.
  std::size_t m_buffered_bytes = 256 << 10;
  /// Token bucket: average rate in lines per second, and burst size in lines.
  double m_lines_per_s = 800;
  double m_burst_lines = 2000;
  /// The same for details, which also count against the limits above.
  double m_details_per_s = 200;
  double m_burst_details = 1000;
  /// Shortest time between two lines that report dropped lines.
  Duration m_report_period = Seconds(1);
};

/// \brief Structured log: one line per event, as key=value fields after a fixed
/// prefix. Never blocks: lines beyond the limits are dropped and counted, and a
/// later line reports the counts by event. Details are dropped first, warnings
/// last.
class EventLog {
 public:
  EventLog(asio::io_context& context, EventLogLimits limits, int descriptor);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// \brief `fields` is "key=value ..."; values contain no spaces.
  void Detail(std::string_view component, std::string_view event,
              std::string_view fields = "");
  void Info(std::string_view component, std::string_view event,
            std::string_view fields = "");
  void Warn(std::string_view component, std::string_view event,
            std::string_view fields = "");

  /// \brief Writes what the descriptor accepts without blocking.
  void Flush();

  std::uint64_t Dropped() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
