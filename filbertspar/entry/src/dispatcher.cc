#include "filbertspar/entry/src/dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

namespace filbertspar {
namespace {

/// A lease is renewed three times within its length, so that two lost renewals
/// do not stop a task.
constexpr int kRenewalsPerLease = 3;
constexpr Duration kRenewPeriod = Milliseconds(500);

}  // namespace

Dispatcher::Dispatcher(asio::io_context& context, HttpClient& client,
                       Claims& claims, const WorkerDirectory& fleet,
                       Engine& engine)
    : m_context(context),
      m_workers(client),
      m_claims(claims),
      m_fleet(fleet),
      m_engine(engine),
      m_tick(context) {}

void Dispatcher::Start() {
  asio::co_spawn(m_context, RenewLeases(), asio::detached);
  ScheduleTick();
}

asio::awaitable<Reply> Dispatcher::Submit(
    Submission submission, std::function<void(RequestId)> admitted) {
  auto done = std::make_shared<OneShot<Reply>>(m_context);
  Effects effects;
  const RequestId id = filbertspar::Submit(m_engine, SteadyNow(),
                                           std::move(submission), effects);
  m_callers[id] = done;
  admitted(id);
  Apply(std::move(effects));
  co_return co_await done->Wait();
}

void Dispatcher::CancelRequest(RequestId request) {
  Update([&](Engine& engine, TimePoint now, Effects& effects) {
    Cancel(engine, now, request, effects);
  });
}

void Dispatcher::Apply(Effects effects) {
  for (Effect& effect : effects) {
    std::visit([this](auto& each) { Carry(each); }, effect);
  }
  ScheduleTick();
}

void Dispatcher::ScheduleTick() {
  const std::optional<TimePoint> next = NextTick(m_engine);
  if (!next || *next >= m_tick_at) {
    return;
  }
  m_tick_at = *next;
  m_tick.expires_after(std::max(*next - SteadyNow(), Duration(0)));
  m_tick.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    m_tick_at = TimePoint::max();
    Update([](Engine& engine, TimePoint now, Effects& effects) {
      Tick(engine, now, effects);
    });
  });
}

void Dispatcher::Carry(Reply& reply) {
  if (auto node = m_callers.extract(reply.m_request)) {
    node.mapped()->Set(std::move(reply));
  }
}

void Dispatcher::Carry(StartAttempt& start) {
  m_running[start.m_attempt] = {start.m_worker, start.m_lease, SteadyNow()};
  m_request_of[start.m_attempt] = start.m_request;
  asio::co_spawn(m_context, RunAttempt(std::move(start)), asio::detached);
}

asio::awaitable<void> Dispatcher::RunAttempt(StartAttempt start) {
  const AttemptId attempt = start.m_attempt;
  const std::optional<Endpoint> worker = AddressOf(m_fleet, start.m_worker);
  AttemptReport report;
  report.m_attempt = attempt;
  report.m_result = AttemptResult::kNotSent;
  if (worker) {
    report = co_await m_workers.Run(*worker, std::move(start));
  }
  m_running.erase(attempt);
  if (report.m_result != AttemptResult::kLost) {
    m_request_of.erase(attempt);
  }
  Update([&](Engine& engine, TimePoint now, Effects& effects) {
    AttemptEnded(engine, now, report, effects);
  });
}

void Dispatcher::Carry(StopAttempt& stop) {
  if (const std::optional<Endpoint> worker =
          AddressOf(m_fleet, stop.m_worker)) {
    asio::co_spawn(m_context, m_workers.Stop(*worker, stop.m_attempt),
                   asio::detached);
  }
}

void Dispatcher::Carry(QueryAttempt& query) {
  const auto found = m_request_of.find(query.m_attempt);
  const RequestId request =
      found == m_request_of.end() ? RequestId() : found->second;
  asio::co_spawn(m_context, AskWorker(std::move(query), request),
                 asio::detached);
}

asio::awaitable<void> Dispatcher::AskWorker(QueryAttempt query,
                                            RequestId request) {
  QueryReport report;
  report.m_attempt = query.m_attempt;
  const std::optional<Endpoint> worker = AddressOf(m_fleet, query.m_worker);
  if (worker) {
    report = co_await m_workers.Query(*worker, query.m_attempt, request);
  }
  const bool settled = report.m_state != AttemptState::kUnreachable &&
                       report.m_state != AttemptState::kRunning;
  if (settled) {
    m_request_of.erase(query.m_attempt);
  }
  Update([&](Engine& engine, TimePoint now, Effects& effects) {
    AttemptSettled(engine, now, report, effects);
  });
}

void Dispatcher::Carry(WriteClaim& claim) {
  m_claims.Insert(claim, [this](const ClaimReport& report) {
    Update([&](Engine& engine, TimePoint now, Effects& effects) {
      ClaimSettled(engine, now, report, effects);
    });
  });
}

void Dispatcher::Carry(FinishClaim& claim) { m_claims.Finish(claim); }

void Dispatcher::Carry(ReleaseClaim& claim) { m_claims.Release(claim); }

void Dispatcher::Carry(ForwardRequest& forward) {
  if (m_forward) {
    m_forward(forward);
    return;
  }
  ForwardReport report;
  report.m_request = forward.m_request;
  report.m_result = ForwardResult::kNotSent;
  Update([&](Engine& engine, TimePoint now, Effects& effects) {
    ForwardSettled(engine, now, report, effects);
  });
}

void Dispatcher::Carry(WantGrant& want) {
  if (m_want_grant) {
    m_want_grant(want);
  }
}

asio::awaitable<void> Dispatcher::RenewLeases() {
  asio::steady_timer timer(m_context);
  while (true) {
    timer.expires_after(kRenewPeriod);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const TimePoint now = SteadyNow();
    std::map<VmName, std::vector<AttemptId>> due;
    Duration lease{0};
    for (auto& [attempt, running] : m_running) {
      if (now - running.m_renewed >= running.m_lease / kRenewalsPerLease) {
        running.m_renewed = now;
        lease = running.m_lease;
        due[running.m_worker].push_back(attempt);
      }
    }
    for (auto& [worker, attempts] : due) {
      if (const std::optional<Endpoint> address = AddressOf(m_fleet, worker)) {
        asio::co_spawn(m_context,
                       m_workers.Renew(*address, std::move(attempts), lease),
                       asio::detached);
      }
    }
  }
}

}  // namespace filbertspar
