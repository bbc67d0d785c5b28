#include "filbertspar/entry/src/grant_keeper.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

namespace filbertspar {
namespace {

constexpr Duration kReadDeadline = Milliseconds(900);
constexpr Duration kWriteDeadline = Seconds(1);
/// An urgent request may not wait for a whole round; the table's rate budget
/// allows a round that is brought forward this far.
constexpr Duration kShortestRound = Milliseconds(250);

}  // namespace

GrantKeeper::GrantKeeper(asio::io_context& context, Store& store,
                         Dispatcher& dispatcher, const NodeName& node,
                         std::uint64_t seed)
    : m_context(context),
      m_store(store),
      m_dispatcher(dispatcher),
      m_grants(MakeGrants(node, seed, SteadyNow())),
      m_timer(context) {}

void GrantKeeper::Start() { Schedule(); }

void GrantKeeper::SetCatalogue(const Catalogue& catalogue) {
  Update([&](Grants& grants, TimePoint, GrantEffects&) {
    UpdateCeilings(grants, catalogue);
  });
}

void GrantKeeper::Want(const WantGrant& want) {
  const TimePoint now = SteadyNow();
  if (m_stopping || UsableUnits(m_grants, want.m_team) >= want.m_units ||
      now - m_last_round < kShortestRound) {
    return;
  }
  m_grants.m_next_round = std::min(m_grants.m_next_round, now);
  Schedule();
}

std::int64_t GrantKeeper::HeldUnits() const {
  std::int64_t units = 0;
  for (const auto& [team, grant] : m_grants.m_teams) {
    units += grant.m_held;
  }
  return units;
}

/// The engine counts an attempt as running until its end is known or its lease
/// has lapsed, which is what a unit in use means.
void GrantKeeper::SyncUse() {
  std::map<TeamName, std::int64_t> running;
  std::map<TeamName, std::int64_t> demand;
  for (const TeamPoolUse& use : UseOf(m_dispatcher.GetEngine())) {
    running[use.m_team] += use.m_running;
    demand[use.m_team] += use.m_running + use.m_waiting;
  }
  for (const auto& [team, grant] : m_grants.m_teams) {
    std::int64_t& told = m_told[team];
    const auto now_running = running.find(team);
    const std::int64_t in_use =
        now_running == running.end() ? 0 : now_running->second;
    while (told < in_use && AcquireGrantUnit(m_grants, team)) {
      ++told;
    }
    while (told > in_use) {
      ReleaseGrantUnit(m_grants, team);
      --told;
    }
  }
  for (const auto& [team, told] : m_told) {
    const auto wanted = demand.find(team);
    const bool none = m_stopping || wanted == demand.end();
    SetDemand(m_grants, team, none ? 0 : wanted->second);
  }
}

void GrantKeeper::Apply(GrantEffects effects) {
  for (GrantEffect& effect : effects) {
    if (const auto* read = std::get_if<ReadGrantChanges>(&effect)) {
      m_last_round = SteadyNow();
      asio::co_spawn(m_context, ReadChanges(read->m_since), asio::detached);
    } else if (const auto* write = std::get_if<WriteGrant>(&effect)) {
      Write(*write);
    }
  }
  PushUnits();
  Schedule();
}

void GrantKeeper::PushUnits() {
  for (const auto& [team, grant] : m_grants.m_teams) {
    const std::int64_t units = UsableUnits(m_grants, team);
    const auto [pushed, is_new] = m_pushed.try_emplace(team, -1);
    if (pushed->second == units) {
      continue;
    }
    pushed->second = units;
    m_dispatcher.Update(
        [&team = team, units](Engine& engine, TimePoint now, Effects& effects) {
          SetGrant(engine, now, team, units, effects);
        });
  }
}

asio::awaitable<void> GrantKeeper::ReadChanges(std::uint64_t since) {
  const absl::StatusOr<ChangeList> changes =
      co_await m_store.ReadChanges("grant", since, kReadDeadline);
  Update([&](Grants& grants, TimePoint now, GrantEffects& effects) {
    HandleGrantChanges(grants, now, CodeOf(changes.status()),
                       changes.ok() ? *changes : ChangeList{}, effects);
  });
}

void GrantKeeper::Write(const WriteGrant& write) {
  m_store.AddRow(
      write.m_row, kWriteDeadline,
      [this, id = write.m_write, team = write.m_team](const ItemReport& item) {
        Update([&](Grants& grants, TimePoint now, GrantEffects&) {
          HandleGrantWriteOutcome(grants, now, team, id, item.m_outcome,
                                  item.m_version);
        });
      });
}

void GrantKeeper::Schedule() {
  const TimePoint next = NextTick(m_grants);
  if (next >= m_timer_at || next == TimePoint::max()) {
    return;
  }
  m_timer_at = next;
  m_timer.expires_after(std::max(next - SteadyNow(), Duration(0)));
  m_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    m_timer_at = TimePoint::max();
    Update([](Grants& grants, TimePoint now, GrantEffects& effects) {
      Tick(grants, now, effects);
    });
  });
}

}  // namespace filbertspar
