#include "filbertspar/node/src/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <map>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "boost/asio/steady_timer.hpp"
#include "filbertspar/node/src/clock.h"
#include "spdlog/pattern_formatter.h"
#include "spdlog/sinks/base_sink.h"
#include "spdlog/spdlog.h"

namespace filbertspar {
namespace {

/// Time between flushes; the lines logged meanwhile are written in batches.
constexpr auto kFlushPeriod = std::chrono::milliseconds(200);
/// A pipe that polls writable accepts this many bytes without blocking (POSIX).
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

/// Share of the burst that only warnings may use, so that a busy process does
/// not drop them.
constexpr double kWarningShare = 0.1;
/// Share of the burst that details leave to lines about calls and jobs.
constexpr double kDetailReserveShare = 0.5;
/// Events named in a report of dropped lines, most frequent first.
constexpr std::size_t kMaxReportedEvents = 8;

std::string_view FirstLine(std::string_view text) {
  return text.substr(0, text.find('\n'));
}

}  // namespace

struct EventLog::State : spdlog::sinks::base_sink<spdlog::details::null_mutex>,
                         std::enable_shared_from_this<EventLog::State> {
  State(asio::io_context& context, EventLogLimits limits, int descriptor)
      : m_timer(context),
        m_limits(limits),
        m_descriptor(descriptor),
        m_lines(
            MakeBucket(limits.m_lines_per_s, limits.m_burst_lines, BootNow())),
        m_details(MakeBucket(limits.m_details_per_s, limits.m_burst_details,
                             BootNow())) {
    set_pattern("%Y-%m-%dT%H:%M:%S.%e %^%l%$ %n: %v");
  }

  /// Leaves this share of the burst for others.
  bool TryTakeToken(double reserved_share) {
    const TimePoint now = BootNow();
    Refill(m_lines, now);
    return m_buffer.size() < m_limits.m_buffered_bytes &&
           m_lines.m_tokens >= 1 + reserved_share * m_lines.m_burst &&
           TakeToken(m_lines, now);
  }

  void LogDetail(std::string_view component, std::string_view event,
                 std::string_view fields) {
    if (TakeToken(m_details, BootNow())) {
      Log(spdlog::level::info, kDetailReserveShare, component, event, fields);
    } else {
      Drop(event);
    }
  }

  void Log(spdlog::level::level_enum level, double reserved_share,
           std::string_view component, std::string_view event,
           std::string_view fields) {
    if (!TryTakeToken(reserved_share)) {
      Drop(event);
      return;
    }
    ReportDropped();
    WriteLine(
        component, level,
        absl::StrCat("event=", std::string(event), fields.empty() ? "" : " ",
                     std::string(FirstLine(fields))));
    ScheduleFlush();
  }

  void Drop(std::string_view event) {
    ++m_dropped;
    ++m_unreported[std::string(event)];
  }

  void ReportDropped() {
    const TimePoint now = BootNow();
    if (m_unreported.empty() ||
        now < m_reported_at + m_limits.m_report_period) {
      return;
    }
    std::uint64_t total = 0;
    std::vector<std::pair<std::uint64_t, std::string>> events;
    for (const auto& [event, count] : m_unreported) {
      total += count;
      events.emplace_back(count, event);
    }
    std::sort(events.rbegin(), events.rend());
    events.resize(std::min(events.size(), kMaxReportedEvents));
    WriteLine(
        "log", spdlog::level::warn,
        absl::StrCat(
            "event=lines_dropped count=", total, " by=",
            absl::StrJoin(events, ",", [](std::string* out, const auto& entry) {
              absl::StrAppend(out, entry.second, ":", entry.first);
            })));
    m_unreported.clear();
    m_reported_at = now;
  }

  void WriteLine(std::string_view component, spdlog::level::level_enum level,
                 const std::string& text) {
    log(spdlog::details::log_msg(
        spdlog::string_view_t(component.data(), component.size()), level,
        text));
  }

  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    m_buffer.append(line.data(), line.size());
  }

  void flush_() override { Write(); }

  void Write() {
    while (!m_buffer.empty()) {
      pollfd ready{m_descriptor, POLLOUT, 0};
      if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return;
      }
      const ssize_t written = write(m_descriptor, m_buffer.data(),
                                    std::min(m_buffer.size(), kMaxWriteBytes));
      if (written <= 0) {
        return;
      }
      m_buffer.erase(0, static_cast<std::size_t>(written));
    }
  }

  void ScheduleFlush() {
    if (m_scheduled) {
      return;
    }
    m_scheduled = true;
    m_timer.expires_after(kFlushPeriod);
    m_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
          self->m_scheduled = false;
          if (error) {
            return;
          }
          self->Write();
          if (!self->m_buffer.empty()) {
            self->ScheduleFlush();
          }
        });
  }

  asio::steady_timer m_timer;
  EventLogLimits m_limits;
  int m_descriptor;
  std::string m_buffer;
  TokenBucket m_lines;
  TokenBucket m_details;
  std::uint64_t m_dropped = 0;
  /// Lines dropped since the last report, by event.
  std::map<std::string, std::uint64_t> m_unreported;
  TimePoint m_reported_at = TimePoint::min();
  bool m_scheduled = false;
  std::shared_ptr<spdlog::logger> m_logger;
};

EventLog::EventLog(asio::io_context& context, EventLogLimits limits,
                   int descriptor)
    : m_state(std::make_shared<State>(context, limits, descriptor)) {}

EventLog::~EventLog() {
  m_state->Write();
  m_state->m_timer.cancel();
}

void EventLog::Detail(std::string_view component, std::string_view event,
                      std::string_view fields) {
  m_state->LogDetail(component, event, fields);
}

void EventLog::Info(std::string_view component, std::string_view event,
                    std::string_view fields) {
  m_state->Log(spdlog::level::info, kWarningShare, component, event, fields);
}

void EventLog::Warn(std::string_view component, std::string_view event,
                    std::string_view fields) {
  m_state->Log(spdlog::level::warn, 0, component, event, fields);
}

void EventLog::Flush() { m_state->Write(); }

std::uint64_t EventLog::Dropped() const { return m_state->m_dropped; }

}  // namespace filbertspar
