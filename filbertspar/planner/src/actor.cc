#include "filbertspar/planner/src/actor.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/program/program.h"

namespace filbertspar {
namespace {

constexpr Duration kReadDeadline = Milliseconds(900);

}  // namespace

Actor::Actor(asio::io_context& context, Store& store, const std::string& duty,
             const NodeName& node, std::uint64_t seed)
    : m_context(context),
      m_store(store),
      m_lease(MakeLease(duty, node, seed, SteadyNow())),
      m_timer(context) {}

void Actor::Write(std::vector<RowWrite> rows, ReportHandler handler) {
  const FencedWriteId id(++m_last_write);
  m_writes[id] = std::move(handler);
  LeaseEffects effects;
  WriteFenced(m_lease, SteadyNow(), id, std::move(rows), effects);
  Apply(std::move(effects));
}

void Actor::Apply(LeaseEffects effects) {
  for (LeaseEffect& effect : effects) {
    std::visit([this](auto& each) { Carry(each); }, effect);
  }
  Schedule();
}

void Actor::Carry(const ReadLease& read) {
  static_cast<void>(read);
  asio::co_spawn(m_context, RunRead(), asio::detached);
}

asio::awaitable<void> Actor::RunRead() {
  const absl::StatusOr<Row> row =
      co_await m_store.Read(LeaseRowKey(m_lease.m_role), kReadDeadline);
  LeaseEffects effects;
  HandleLeaseRead(m_lease, SteadyNow(), CodeOf(row.status()),
                  row.ok() ? *row : Row{}, effects);
  Apply(std::move(effects));
}

void Actor::Carry(WriteLease& write) {
  const LeaseWriteId id = write.m_write;
  m_store.StartWrite(std::move(write.m_rows), write.m_deadline,
                     [this, id](const WriteReport& report) {
                       LeaseEffects effects;
                       HandleLeaseWriteReport(m_lease, SteadyNow(), id, report,
                                              effects);
                       Apply(std::move(effects));
                     });
}

void Actor::Carry(const LeaseAcquired& taken) {
  LoggerFor("planner")->info("took the duty {} with fencing number {}",
                             m_lease.m_role, taken.m_fencing.Value());
  if (m_taken) {
    m_taken();
  }
}

void Actor::Carry(const LeaseLost& lost) {
  static_cast<void>(lost);
  LoggerFor("planner")->warn("lost the duty {}", m_lease.m_role);
  if (m_lost) {
    m_lost();
  }
}

void Actor::Carry(const FencedWriteReport& report) {
  const auto found = m_writes.find(report.m_write);
  if (found == m_writes.end() || report.m_outcome == WriteOutcome::kUnsettled) {
    return;
  }
  const ReportHandler handler = std::move(found->second);
  m_writes.erase(found);
  handler(report);
}

void Actor::Schedule() {
  const TimePoint next = NextTick(m_lease);
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
    LeaseEffects effects;
    Tick(m_lease, SteadyNow(), effects);
    Apply(std::move(effects));
  });
}

}  // namespace filbertspar
