#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

#include "filbertspar/node/src/event_log.h"

namespace filbertspar {
namespace {

std::string ReadAll(int descriptor) {
  std::string text;
  std::array<char, 4096> buffer{};
  ssize_t bytes = 0;
  while ((bytes = read(descriptor, buffer.data(), buffer.size())) > 0) {
    text.append(buffer.data(), static_cast<std::size_t>(bytes));
  }
  return text;
}

// Guards against a process that blocks when the reader of its log stalls, and
// against lines dropped without a line that reports them.
TEST_CASE("a stalled log reader causes dropped lines, not blocking") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
  asio::io_context context;
  EventLogLimits limits;
  limits.m_buffered_bytes = 64 << 10;
  limits.m_lines_per_s = 1e6;
  limits.m_burst_lines = 1e6;
  {
    EventLog log(context, limits, ends[1]);
    for (int i = 0; i < 20000; ++i) {
      log.Info("test", "line", "number=" + std::to_string(i));
    }
    log.Flush();
    CHECK(log.Dropped() > 0);
    const std::string first = ReadAll(ends[0]);
    CHECK(first.find("test: event=line number=0\n") != std::string::npos);
    log.Flush();
    ReadAll(ends[0]);
    log.Flush();
    log.Info("test", "after");
    log.Flush();
    const std::string later = ReadAll(ends[0]);
    CHECK(later.find("log: event=lines_dropped count=") != std::string::npos);
    CHECK(later.find("event=after") != std::string::npos);
  }
  close(ends[0]);
  close(ends[1]);
}

// Guards against log output that grows with the load.
TEST_CASE("lines beyond the rate are dropped and counted") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  asio::io_context context;
  EventLogLimits limits;
  limits.m_lines_per_s = 1;
  limits.m_burst_lines = 10;
  EventLog log(context, limits, ends[1]);
  for (int i = 0; i < 100; ++i) {
    log.Info("test", "line");
  }
  CHECK(log.Dropped() >= 85);
  close(ends[0]);
  close(ends[1]);
}

// Guards against a busy process that drops the lines which explain a failure.
TEST_CASE("warnings are logged while other lines are dropped") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
  asio::io_context context;
  EventLogLimits limits;
  limits.m_lines_per_s = 1;
  limits.m_burst_lines = 50;
  {
    EventLog log(context, limits, ends[1]);
    for (int i = 0; i < 100; ++i) {
      log.Info("test", "line");
    }
    REQUIRE(log.Dropped() > 0);
    log.Warn("test", "given_up");
    log.Flush();
    const std::string text = ReadAll(ends[0]);
    CHECK(text.find("event=given_up") != std::string::npos);
    CHECK(text.find("event=lines_dropped count=") != std::string::npos);
  }
  close(ends[0]);
  close(ends[1]);
}

// Guards against thousands of lines about single runs that crowd out the lines
// about the calls and jobs of the same second.
TEST_CASE("lines about calls are logged while details are dropped") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
  asio::io_context context;
  EventLogLimits limits;
  limits.m_lines_per_s = 1;
  limits.m_burst_lines = 50;
  {
    EventLog log(context, limits, ends[1]);
    for (int i = 0; i < 100; ++i) {
      log.Detail("test", "task_end");
    }
    const std::uint64_t dropped = log.Dropped();
    REQUIRE(dropped > 0);
    for (int i = 0; i < 15; ++i) {
      log.Info("test", "queue_length", "number=" + std::to_string(i));
    }
    CHECK(log.Dropped() == dropped);
    log.Flush();
    CHECK(ReadAll(ends[0]).find("event=queue_length number=14\n") !=
          std::string::npos);
  }
  close(ends[0]);
  close(ends[1]);
}

// Guards against a log in which details alone use up the processor time that
// lines may take.
TEST_CASE("details have a rate of their own") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  asio::io_context context;
  EventLogLimits limits;
  limits.m_details_per_s = 1;
  limits.m_burst_details = 10;
  EventLog log(context, limits, ends[1]);
  for (int i = 0; i < 100; ++i) {
    log.Detail("test", "task_end");
  }
  CHECK(log.Dropped() >= 85);
  close(ends[0]);
  close(ends[1]);
}

// Guards against reports of dropped lines that take the place of other lines,
// and against reports that do not tell what is missing.
TEST_CASE("dropped lines are reported by event, at most once a period") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
  asio::io_context context;
  EventLogLimits limits;
  limits.m_lines_per_s = 1;
  limits.m_burst_lines = 20;
  limits.m_report_period = Seconds(3600);
  {
    EventLog log(context, limits, ends[1]);
    for (int round = 0; round < 2; ++round) {
      for (int i = 0; i < 30; ++i) {
        log.Detail("test", "task_end");
      }
      log.Info("test", "queue_length");
    }
    log.Flush();
    const std::string text = ReadAll(ends[0]);
    const std::size_t report = text.find("event=lines_dropped count=20 ");
    REQUIRE(report != std::string::npos);
    CHECK(text.find("by=task_end:20\n", report) != std::string::npos);
    CHECK(text.find("event=lines_dropped", report + 1) == std::string::npos);
  }
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace filbertspar
