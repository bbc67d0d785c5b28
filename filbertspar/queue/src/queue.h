#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/share/share.h"

namespace filbertspar {

/// \brief Dense number of a catalogue entry and of a team's key, given by the
/// caller. Key 0 stands for no key (open queues).
using EntryIndex = Index<struct EntryIndexTag>;
using KeyIndex = Index<struct KeyIndexTag>;

struct QueueSettings {
  /// Largest number waiting per team and class, over all pools.
  std::int64_t m_max_per_class = 10'000;
  /// Largest number waiting in the process.
  std::int64_t m_max_total = 50'000;
  /// A class that has waited this long without a start goes before higher
  /// classes once.
  Duration m_standard_bound = Seconds(5);
  Duration m_overnight_bound = Seconds(30);
};

/// \brief A request that asks to wait.
struct Arrival {
  RequestId m_request{};
  PoolIndex m_pool{};
  TeamIndex m_team{};
  WorkClass m_class = WorkClass::kStandard;
  EntryIndex m_entry{};
  KeyIndex m_key{};
  /// Latest useful start; the request expires then.
  TimePoint m_deadline{};
  /// Expected work in share-seconds of the pool (WorkOf).
  double m_work = 0;
  Resources m_size{};
  /// Largest number of the entry's requests waiting for the team.
  std::int64_t m_max_queue = 1000;
};

/// \brief Names a waiting request; stays invalid for good once it is removed.
struct Ticket {
  std::uint32_t m_slot = 0;
  std::uint32_t m_generation = 0;

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// \brief Answer to an arrival.
struct Admission {
  /// kOk, kQueueFull, kTooManyRequests, kDeadlineTooShort or kDeadlinePassed.
  Code m_code = Code::kOk;
  Ticket m_ticket;
  /// When the request is expected to start.
  TimePoint m_estimated_start;
};

namespace internal {

inline constexpr std::uint32_t kNoSlot = 0xffffffff;

struct Link {
  std::uint32_t m_next = kNoSlot;
  std::uint32_t m_previous = kNoSlot;
};

struct Chain {
  std::uint32_t m_head = kNoSlot;
  std::uint32_t m_tail = kNoSlot;
  std::int64_t m_count = 0;
};

struct WaitingSlot {
  Arrival m_arrival;
  Link m_lane;
  Link m_by_entry;
  Link m_by_key;
  std::uint32_t m_generation = 0;
  std::uint32_t m_heap_position = kNoSlot;
  bool m_used = false;
};

/// \brief Waiting requests of one pool and team.
struct Lane {
  std::array<Chain, kWorkClasses> m_class;
  std::array<double, kWorkClasses> m_work{};
  /// Sum of the squares of the work.
  std::array<double, kWorkClasses> m_work_squared{};
  /// Since when the class has waited without a start.
  std::array<TimePoint, kWorkClasses> m_unserved_since{};
};

}  // namespace internal

/// \brief All waiting requests of one process. Plain state.
struct Queue {
  QueueSettings m_settings;
  std::vector<internal::WaitingSlot> m_slots;
  std::vector<std::uint32_t> m_free;
  /// Pool by pool, m_lane_teams lanes each.
  std::vector<internal::Lane> m_lanes;
  std::size_t m_lane_teams = 0;
  std::size_t m_lane_pools = 0;
  /// Number waiting per team and class.
  std::vector<std::array<std::int64_t, kWorkClasses>> m_team_counts;
  std::vector<internal::Chain> m_by_entry;
  std::vector<internal::Chain> m_by_key;
  /// Number waiting per entry and team, indexed entry * m_lane_teams + team.
  std::vector<std::int64_t> m_entry_team_counts;
  /// Slots as a binary heap by deadline.
  std::vector<std::uint32_t> m_expiry;
  std::int64_t m_count = 0;
};

/// \brief Makes room for indices below the given numbers, so that no later
/// call allocates for them. Keeps all waiting requests.
void Reserve(Queue& queue, std::size_t pools, std::size_t teams,
             std::size_t entries, std::size_t keys);

/// \brief When a request of the class would start if it arrived now: the
/// team's work ahead of it in the pool, plus one standard deviation of it,
/// divided by the share of the pool that the team may expect (ExpectedShare).
/// Run times are taken as exponential, whose deviation equals their mean.
/// Without the deviation nearly half of the requests admitted close to their
/// deadline would expire.
TimePoint EstimatedStart(const Queue& queue, TimePoint now, PoolIndex pool,
                         TeamIndex team, WorkClass work_class,
                         double expected_share);

/// \brief Lets the request wait, or refuses it when a bound is reached or its
/// estimated start is past its deadline. O(log waiting).
Admission Admit(Queue& queue, TimePoint now, const Arrival& arrival,
                double expected_share);

/// \brief Puts a request back at the head of its class after an attempt that
/// did not run. Bounds do not apply, since it was admitted before.
Ticket PutBack(Queue& queue, TimePoint now, const Arrival& arrival);

/// \brief The request of the team to start next in the pool: urgent before
/// standard before overnight, but a class that was left unserved for its bound
/// goes first once. Hence a lower class that waits starts at the latest with
/// the team's first start in the pool after its bound, or the one after that
/// when both lower classes are due.
std::optional<Ticket> NextRequest(const Queue& queue, TimePoint now,
                                  PoolIndex pool, TeamIndex team);

/// \brief The request after the given one in its class, for a caller that
/// cannot place the first; the head of the next class with waiting work when
/// there is none.
std::optional<Ticket> Following(const Queue& queue, Ticket ticket);

/// \brief The request of a ticket, or null when it waits no longer.
const Arrival* Find(const Queue& queue, Ticket ticket);

/// \brief Takes a request out in order to start it; it must be waiting.
/// O(log waiting).
Arrival TakeForStart(Queue& queue, TimePoint now, Ticket ticket);

/// \brief Takes out a cancelled request; nothing when it waits no longer.
/// O(log waiting).
std::optional<Arrival> Remove(Queue& queue, Ticket ticket);

/// \brief Takes out the requests whose deadline has come and appends them.
void TakeExpired(Queue& queue, TimePoint now, std::vector<Arrival>& out);

/// \brief Earliest deadline of a waiting request.
std::optional<TimePoint> NextExpiry(const Queue& queue);

/// \brief Takes out all requests of a revoked key or a withdrawn entry and
/// appends them. O(removed * log waiting).
void TakeByKey(Queue& queue, KeyIndex key, std::vector<Arrival>& out);
void TakeByEntry(Queue& queue, EntryIndex entry, std::vector<Arrival>& out);

std::int64_t CountWaiting(const Queue& queue);
std::int64_t CountWaiting(const Queue& queue, PoolIndex pool, TeamIndex team);

}  // namespace filbertspar
