#include "filbertspar/queue/src/queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertspar {
namespace {

using internal::Chain;
using internal::kNoSlot;
using internal::Lane;
using internal::Link;
using internal::WaitingSlot;

// Later estimates are equal for every purpose and would overflow a Duration.
constexpr double kLongestWaitSeconds = 1e9;

std::size_t ClassOf(const Arrival& arrival) {
  return static_cast<std::size_t>(arrival.m_class);
}

std::size_t LaneIndex(const Queue& queue, PoolIndex pool, TeamIndex team) {
  return pool.Value() * queue.m_lane_teams + team.Value();
}

std::size_t EntryTeamIndex(const Queue& queue, const Arrival& arrival) {
  return arrival.m_entry.Value() * queue.m_lane_teams + arrival.m_team.Value();
}

void PushBack(Queue& queue, Chain& chain, Link WaitingSlot::*link,
              std::uint32_t slot) {
  queue.m_slots[slot].*link = {kNoSlot, chain.m_tail};
  if (chain.m_tail == kNoSlot) {
    chain.m_head = slot;
  } else {
    (queue.m_slots[chain.m_tail].*link).m_next = slot;
  }
  chain.m_tail = slot;
  ++chain.m_count;
}

void PushFront(Queue& queue, Chain& chain, Link WaitingSlot::*link,
               std::uint32_t slot) {
  queue.m_slots[slot].*link = {chain.m_head, kNoSlot};
  if (chain.m_head == kNoSlot) {
    chain.m_tail = slot;
  } else {
    (queue.m_slots[chain.m_head].*link).m_previous = slot;
  }
  chain.m_head = slot;
  ++chain.m_count;
}

void Unlink(Queue& queue, Chain& chain, Link WaitingSlot::*link,
            std::uint32_t slot) {
  const Link own = queue.m_slots[slot].*link;
  if (own.m_previous == kNoSlot) {
    chain.m_head = own.m_next;
  } else {
    (queue.m_slots[own.m_previous].*link).m_next = own.m_next;
  }
  if (own.m_next == kNoSlot) {
    chain.m_tail = own.m_previous;
  } else {
    (queue.m_slots[own.m_next].*link).m_previous = own.m_previous;
  }
  --chain.m_count;
}

TimePoint DeadlineOf(const Queue& queue, std::uint32_t slot) {
  return queue.m_slots[slot].m_arrival.m_deadline;
}

void SetHeap(Queue& queue, std::size_t position, std::uint32_t slot) {
  queue.m_expiry[position] = slot;
  queue.m_slots[slot].m_heap_position = static_cast<std::uint32_t>(position);
}

void SiftUp(Queue& queue, std::size_t position) {
  const std::uint32_t slot = queue.m_expiry[position];
  const TimePoint deadline = DeadlineOf(queue, slot);
  while (position > 0) {
    const std::size_t parent = (position - 1) / 2;
    const std::uint32_t other = queue.m_expiry[parent];
    if (DeadlineOf(queue, other) <= deadline) {
      break;
    }
    SetHeap(queue, position, other);
    position = parent;
  }
  SetHeap(queue, position, slot);
}

void SiftDown(Queue& queue, std::size_t position) {
  const std::uint32_t slot = queue.m_expiry[position];
  const TimePoint deadline = DeadlineOf(queue, slot);
  const std::size_t size = queue.m_expiry.size();
  for (;;) {
    std::size_t child = 2 * position + 1;
    if (child >= size) {
      break;
    }
    if (child + 1 < size && DeadlineOf(queue, queue.m_expiry[child + 1]) <
                                DeadlineOf(queue, queue.m_expiry[child])) {
      ++child;
    }
    if (DeadlineOf(queue, queue.m_expiry[child]) >= deadline) {
      break;
    }
    SetHeap(queue, position, queue.m_expiry[child]);
    position = child;
  }
  SetHeap(queue, position, slot);
}

void HeapPush(Queue& queue, std::uint32_t slot) {
  queue.m_expiry.push_back(slot);
  SiftUp(queue, queue.m_expiry.size() - 1);
}

void HeapErase(Queue& queue, std::uint32_t slot) {
  const std::size_t position = queue.m_slots[slot].m_heap_position;
  const std::uint32_t last = queue.m_expiry.back();
  queue.m_expiry.pop_back();
  queue.m_slots[slot].m_heap_position = kNoSlot;
  if (last != slot) {
    SetHeap(queue, position, last);
    SiftUp(queue, position);
    SiftDown(queue, queue.m_slots[last].m_heap_position);
  }
}

std::uint32_t NewSlot(Queue& queue, const Arrival& arrival) {
  std::uint32_t slot = 0;
  if (queue.m_free.empty()) {
    slot = static_cast<std::uint32_t>(queue.m_slots.size());
    queue.m_slots.emplace_back();
  } else {
    slot = queue.m_free.back();
    queue.m_free.pop_back();
  }
  queue.m_slots[slot].m_arrival = arrival;
  queue.m_slots[slot].m_used = true;
  return slot;
}

Ticket Insert(Queue& queue, TimePoint now, const Arrival& arrival,
              bool at_head) {
  const std::uint32_t slot = NewSlot(queue, arrival);
  const std::size_t work_class = ClassOf(arrival);
  Lane& lane = queue.m_lanes[LaneIndex(queue, arrival.m_pool, arrival.m_team)];
  if (lane.m_class[work_class].m_count == 0) {
    lane.m_unserved_since[work_class] = now;
  }
  if (at_head) {
    PushFront(queue, lane.m_class[work_class], &WaitingSlot::m_lane, slot);
  } else {
    PushBack(queue, lane.m_class[work_class], &WaitingSlot::m_lane, slot);
  }
  lane.m_work[work_class] += arrival.m_work;
  lane.m_work_squared[work_class] += arrival.m_work * arrival.m_work;
  PushBack(queue, queue.m_by_entry[arrival.m_entry.Value()],
           &WaitingSlot::m_by_entry, slot);
  PushBack(queue, queue.m_by_key[arrival.m_key.Value()], &WaitingSlot::m_by_key,
           slot);
  HeapPush(queue, slot);
  ++queue.m_team_counts[arrival.m_team.Value()][work_class];
  ++queue.m_entry_team_counts[EntryTeamIndex(queue, arrival)];
  ++queue.m_count;
  return {slot, queue.m_slots[slot].m_generation};
}

Arrival Erase(Queue& queue, std::uint32_t slot) {
  WaitingSlot& waiting = queue.m_slots[slot];
  const Arrival arrival = waiting.m_arrival;
  const std::size_t work_class = ClassOf(arrival);
  Lane& lane = queue.m_lanes[LaneIndex(queue, arrival.m_pool, arrival.m_team)];
  Unlink(queue, lane.m_class[work_class], &WaitingSlot::m_lane, slot);
  // An empty class has exactly no work, whatever rounding has left over.
  const bool is_empty = lane.m_class[work_class].m_count == 0;
  const auto subtract = [is_empty](double& sum, double value) {
    sum = is_empty ? 0.0 : std::max(0.0, sum - value);
  };
  subtract(lane.m_work[work_class], arrival.m_work);
  subtract(lane.m_work_squared[work_class], arrival.m_work * arrival.m_work);
  Unlink(queue, queue.m_by_entry[arrival.m_entry.Value()],
         &WaitingSlot::m_by_entry, slot);
  Unlink(queue, queue.m_by_key[arrival.m_key.Value()], &WaitingSlot::m_by_key,
         slot);
  HeapErase(queue, slot);
  --queue.m_team_counts[arrival.m_team.Value()][work_class];
  --queue.m_entry_team_counts[EntryTeamIndex(queue, arrival)];
  --queue.m_count;
  waiting.m_used = false;
  ++waiting.m_generation;
  queue.m_free.push_back(slot);
  return arrival;
}

bool IsWaiting(const Queue& queue, Ticket ticket) {
  return ticket.m_slot < queue.m_slots.size() &&
         queue.m_slots[ticket.m_slot].m_used &&
         queue.m_slots[ticket.m_slot].m_generation == ticket.m_generation;
}

Ticket TicketOf(const Queue& queue, std::uint32_t slot) {
  return {slot, queue.m_slots[slot].m_generation};
}

bool IsOverdue(const Lane& lane, WorkClass work_class, TimePoint now,
               Duration bound) {
  const auto c = static_cast<std::size_t>(work_class);
  return lane.m_class[c].m_count > 0 && now - lane.m_unserved_since[c] >= bound;
}

Code CheckBounds(const Queue& queue, TimePoint now, const Arrival& arrival) {
  if (arrival.m_deadline <= now) {
    return Code::kDeadlinePassed;
  }
  if (queue.m_count >= queue.m_settings.m_max_total) {
    return Code::kTooManyRequests;
  }
  const bool is_full =
      queue.m_team_counts[arrival.m_team.Value()][ClassOf(arrival)] >=
          queue.m_settings.m_max_per_class ||
      queue.m_entry_team_counts[EntryTeamIndex(queue, arrival)] >=
          arrival.m_max_queue;
  return is_full ? Code::kQueueFull : Code::kOk;
}

}  // namespace

void Reserve(Queue& queue, std::size_t pools, std::size_t teams,
             std::size_t entries, std::size_t keys) {
  pools = std::max(pools, queue.m_lane_pools);
  teams = std::max(teams, queue.m_lane_teams);
  entries = std::max(entries, queue.m_by_entry.size());
  std::vector<Lane> lanes(pools * teams);
  for (std::size_t p = 0; p < queue.m_lane_pools; ++p) {
    for (std::size_t t = 0; t < queue.m_lane_teams; ++t) {
      lanes[p * teams + t] = queue.m_lanes[p * queue.m_lane_teams + t];
    }
  }
  std::vector<std::int64_t> counts(entries * teams);
  for (std::size_t e = 0; e < queue.m_by_entry.size(); ++e) {
    for (std::size_t t = 0; t < queue.m_lane_teams; ++t) {
      counts[e * teams + t] =
          queue.m_entry_team_counts[e * queue.m_lane_teams + t];
    }
  }
  queue.m_lanes = std::move(lanes);
  queue.m_entry_team_counts = std::move(counts);
  queue.m_lane_pools = pools;
  queue.m_lane_teams = teams;
  queue.m_team_counts.resize(teams);
  queue.m_by_entry.resize(entries);
  queue.m_by_key.resize(std::max(keys, queue.m_by_key.size()));
}

TimePoint EstimatedStart(const Queue& queue, TimePoint now, PoolIndex pool,
                         TeamIndex team, WorkClass work_class,
                         double expected_share) {
  if (!(expected_share > 0)) {
    return TimePoint::max();
  }
  const Lane& lane = queue.m_lanes[LaneIndex(queue, pool, team)];
  double ahead = 0;
  double variance = 0;
  for (std::size_t c = 0; c <= static_cast<std::size_t>(work_class); ++c) {
    ahead += lane.m_work[c];
    variance += lane.m_work_squared[c];
  }
  const double seconds = std::min(
      kLongestWaitSeconds, (ahead + std::sqrt(variance)) / expected_share);
  return now + Duration(std::llround(seconds * 1e6));
}

Admission Admit(Queue& queue, TimePoint now, const Arrival& arrival,
                double expected_share) {
  Admission admission;
  admission.m_code = CheckBounds(queue, now, arrival);
  if (admission.m_code != Code::kOk) {
    return admission;
  }
  admission.m_estimated_start =
      EstimatedStart(queue, now, arrival.m_pool, arrival.m_team,
                     arrival.m_class, expected_share);
  if (admission.m_estimated_start > arrival.m_deadline) {
    admission.m_code = Code::kDeadlineTooShort;
    return admission;
  }
  admission.m_ticket = Insert(queue, now, arrival, false);
  return admission;
}

Ticket PutBack(Queue& queue, TimePoint now, const Arrival& arrival) {
  return Insert(queue, now, arrival, true);
}

std::optional<Ticket> NextRequest(const Queue& queue, TimePoint now,
                                  PoolIndex pool, TeamIndex team) {
  const Lane& lane = queue.m_lanes[LaneIndex(queue, pool, team)];
  std::size_t chosen = kWorkClasses;
  if (IsOverdue(lane, WorkClass::kOvernight, now,
                queue.m_settings.m_overnight_bound)) {
    chosen = static_cast<std::size_t>(WorkClass::kOvernight);
  } else if (IsOverdue(lane, WorkClass::kStandard, now,
                       queue.m_settings.m_standard_bound)) {
    chosen = static_cast<std::size_t>(WorkClass::kStandard);
  } else {
    for (std::size_t c = 0; c < kWorkClasses; ++c) {
      if (lane.m_class[c].m_count > 0) {
        chosen = c;
        break;
      }
    }
  }
  if (chosen == kWorkClasses) {
    return std::nullopt;
  }
  return TicketOf(queue, lane.m_class[chosen].m_head);
}

std::optional<Ticket> Following(const Queue& queue, Ticket ticket) {
  if (!IsWaiting(queue, ticket)) {
    return std::nullopt;
  }
  const WaitingSlot& waiting = queue.m_slots[ticket.m_slot];
  if (waiting.m_lane.m_next != kNoSlot) {
    return TicketOf(queue, waiting.m_lane.m_next);
  }
  const Lane& lane = queue.m_lanes[LaneIndex(queue, waiting.m_arrival.m_pool,
                                             waiting.m_arrival.m_team)];
  for (std::size_t c = ClassOf(waiting.m_arrival) + 1; c < kWorkClasses; ++c) {
    if (lane.m_class[c].m_count > 0) {
      return TicketOf(queue, lane.m_class[c].m_head);
    }
  }
  return std::nullopt;
}

const Arrival* Find(const Queue& queue, Ticket ticket) {
  return IsWaiting(queue, ticket) ? &queue.m_slots[ticket.m_slot].m_arrival
                                  : nullptr;
}

Arrival TakeForStart(Queue& queue, TimePoint now, Ticket ticket) {
  FS_ASSERT(IsWaiting(queue, ticket), "only a waiting request starts");
  const Arrival arrival = Erase(queue, ticket.m_slot);
  queue.m_lanes[LaneIndex(queue, arrival.m_pool, arrival.m_team)]
      .m_unserved_since[ClassOf(arrival)] = now;
  return arrival;
}

std::optional<Arrival> Remove(Queue& queue, Ticket ticket) {
  if (!IsWaiting(queue, ticket)) {
    return std::nullopt;
  }
  return Erase(queue, ticket.m_slot);
}

void TakeExpired(Queue& queue, TimePoint now, std::vector<Arrival>& out) {
  while (!queue.m_expiry.empty() &&
         DeadlineOf(queue, queue.m_expiry.front()) <= now) {
    out.push_back(Erase(queue, queue.m_expiry.front()));
  }
}

std::optional<TimePoint> NextExpiry(const Queue& queue) {
  if (queue.m_expiry.empty()) {
    return std::nullopt;
  }
  return DeadlineOf(queue, queue.m_expiry.front());
}

void TakeByKey(Queue& queue, KeyIndex key, std::vector<Arrival>& out) {
  const Chain& chain = queue.m_by_key[key.Value()];
  while (chain.m_head != kNoSlot) {
    out.push_back(Erase(queue, chain.m_head));
  }
}

void TakeByEntry(Queue& queue, EntryIndex entry, std::vector<Arrival>& out) {
  const Chain& chain = queue.m_by_entry[entry.Value()];
  while (chain.m_head != kNoSlot) {
    out.push_back(Erase(queue, chain.m_head));
  }
}

std::int64_t CountWaiting(const Queue& queue) { return queue.m_count; }

std::int64_t CountWaiting(const Queue& queue, PoolIndex pool, TeamIndex team) {
  std::int64_t count = 0;
  for (const Chain& chain :
       queue.m_lanes[LaneIndex(queue, pool, team)].m_class) {
    count += chain.m_count;
  }
  return count;
}

}  // namespace filbertspar
