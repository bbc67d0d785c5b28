#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

#include "filbertspar/traffic/traffic.h"

namespace filbertspar {
namespace {

constexpr double kLinkMbps = 2;
constexpr std::size_t kPollBytes = 300;
constexpr std::size_t kStartBytes = 1800;
constexpr std::size_t kRelayedBytes = 250;

/// A link that sends what it is given in order.
struct Link {
  double m_bytes_per_s = kLinkMbps * 1e6 / 8;
  TimePoint m_free_at{};

  /// Time until the last byte is sent.
  Duration Send(TimePoint now, std::size_t bytes) {
    m_free_at = std::max(m_free_at, now) +
                Duration(static_cast<std::int64_t>(static_cast<double>(bytes) /
                                                   m_bytes_per_s * 1e6));
    return m_free_at - now;
  }
};

struct Outcome {
  Duration m_longest_poll{0};
  /// From the beginning of the turn until its last start was sent.
  Duration m_last_start{0};
  int m_direct = 0;
  int m_relayed = 0;
};

/// A turn of `starts` tasks begins at once while 100 polls a second renew the
/// leases of as many workers.
Outcome PlayTurn(int starts, bool has_budget, bool has_relay) {
  const TimePoint began{Seconds(100)};
  LinkBudget budget = MakeLinkBudget(kLinkMbps, began);
  Link link;
  Outcome outcome;
  int waiting = starts;
  for (TimePoint now = began; now < began + Seconds(10);
       now += Milliseconds(1)) {
    if (ToMilliseconds(now - began) % 10 == 0) {
      ChargeLink(budget, now, kPollBytes);
      outcome.m_longest_poll =
          std::max(outcome.m_longest_poll, link.Send(now, kPollBytes));
    }
    while (waiting > 0) {
      const StartPath path =
          has_budget ? ChooseStartRoute(budget, now, has_relay).m_path
                     : StartPath::kDirect;
      if (path == StartPath::kWait) {
        break;
      }
      --waiting;
      if (path == StartPath::kDirect) {
        ++outcome.m_direct;
        ChargeStart(budget, now, kStartBytes);
        outcome.m_last_start = now - began + link.Send(now, kStartBytes);
      } else {
        ++outcome.m_relayed;
        ChargeLink(budget, now, kRelayedBytes);
        outcome.m_last_start = now - began + link.Send(now, kRelayedBytes);
      }
    }
  }
  return outcome;
}

// Guards against polls that wait behind a burst of starts until they time out,
// after which the owner takes its own delay for the loss of the workers.
TEST_CASE("a turn on a slow link does not hold up polls") {
  const Outcome unlimited = PlayTurn(200, false, false);
  CHECK(unlimited.m_longest_poll > Seconds(1));
  const Outcome alone = PlayTurn(200, true, false);
  CHECK(alone.m_longest_poll < Milliseconds(100));
  CHECK(alone.m_direct == 200);
  const Outcome relayed = PlayTurn(200, true, true);
  CHECK(relayed.m_longest_poll < Milliseconds(300));
  CHECK(relayed.m_relayed > 150);
  // The workers get their tasks several times earlier.
  CHECK(relayed.m_last_start * 4 < alone.m_last_start);
}

// Guards against starts that never leave while other traffic fills the link.
TEST_CASE("a part of the link is left to starts") {
  const TimePoint began{Seconds(100)};
  LinkBudget budget = MakeLinkBudget(kLinkMbps, began);
  int sent = 0;
  for (TimePoint now = began; now < began + Seconds(10);
       now += Milliseconds(1)) {
    ChargeLink(budget, now, 300);  // more than the link takes
    if (ChooseStartRoute(budget, now, false).m_path == StartPath::kDirect) {
      ++sent;
      ChargeStart(budget, now, kStartBytes);
    }
  }
  CHECK(sent > 100);
  CHECK(IsLoaded(budget, began + Seconds(10)));
}

// Guards against delays and detours on links that have room.
TEST_CASE("a fast link sends every start directly") {
  const TimePoint now{Seconds(100)};
  LinkBudget budget = MakeLinkBudget(1000, now);
  for (int i = 0; i < 1000; ++i) {
    CHECK(ChooseStartRoute(budget, now, true).m_path == StartPath::kDirect);
    ChargeStart(budget, now, 4000);
  }
  CHECK_FALSE(IsLoaded(budget, now));
}

// Guards against payloads of jobs that will be refused on a loaded link, and
// against a round trip more on a link that is not.
TEST_CASE("jobs are offered first only to an owner whose link is loaded") {
  const TimePoint began{Seconds(100)};
  ReceiveLoad slow = MakeReceiveLoad(kLinkMbps, began);
  ReceiveLoad fast = MakeReceiveLoad(200, began);
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = began + Milliseconds(10 * i);
    AddReceived(slow, now, 1500);
    AddReceived(fast, now, 1500);
  }
  const TimePoint after = began + Seconds(1);
  CHECK(ShouldAskFirst(slow, after));
  CHECK_FALSE(ShouldAskFirst(fast, after));
  CHECK_FALSE(ShouldAskFirst(slow, after + Seconds(6)));
}

}  // namespace
}  // namespace filbertspar
