#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/steady_timer.hpp"
#include "filbertspar/entry/src/claims.h"
#include "filbertspar/entry/src/worker_client.h"
#include "filbertspar/entry/src/worker_directory.h"
#include "filbertspar/request/request.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Carries out the effects of the request engine.
class Dispatcher {
 public:
  using GrantHandler = std::function<void(const WantGrant&)>;
  using ForwardHandler = std::function<void(const ForwardRequest&)>;

  Dispatcher(asio::io_context& context, HttpClient& client, Claims& claims,
             const WorkerDirectory& fleet, Engine& engine);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void OnWantGrant(GrantHandler handler) { m_want_grant = std::move(handler); }
  void OnForward(ForwardHandler handler) { m_forward = std::move(handler); }

  /// \brief Starts the loops that tick the engine and renew leases.
  void Start();

  /// \brief Admits a request and waits for its final answer. `admitted` is
  /// called with the request's id before the wait.
  asio::awaitable<Reply> Submit(Submission submission,
                                std::function<void(RequestId)> admitted);

  void CancelRequest(RequestId request);

  /// \brief Changes the engine and carries out what follows.
  template <typename Change>
  void Update(Change change) {
    Effects effects;
    change(m_engine, SteadyNow(), effects);
    Apply(std::move(effects));
  }

  Engine& GetEngine() { return m_engine; }

 private:
  struct Running {
    VmName m_worker;
    Duration m_lease;
    TimePoint m_renewed;
  };

  void Apply(Effects effects);
  void Carry(Reply& reply);
  void Carry(StartAttempt& start);
  void Carry(StopAttempt& stop);
  void Carry(QueryAttempt& query);
  void Carry(WriteClaim& claim);
  void Carry(FinishClaim& claim);
  void Carry(ReleaseClaim& claim);
  void Carry(ForwardRequest& forward);
  void Carry(WantGrant& want);
  asio::awaitable<void> RunAttempt(StartAttempt start);
  asio::awaitable<void> AskWorker(QueryAttempt query, RequestId request);
  asio::awaitable<void> RenewLeases();
  void ScheduleTick();

  asio::io_context& m_context;
  WorkerClient m_workers;
  Claims& m_claims;
  const WorkerDirectory& m_fleet;
  Engine& m_engine;
  GrantHandler m_want_grant;
  ForwardHandler m_forward;
  asio::steady_timer m_tick;
  TimePoint m_tick_at = TimePoint::max();
  absl::flat_hash_map<RequestId, std::shared_ptr<OneShot<Reply>>> m_callers;
  absl::flat_hash_map<AttemptId, Running> m_running;
  /// Request of each attempt that may still be queried.
  absl::flat_hash_map<AttemptId, RequestId> m_request_of;
};

}  // namespace filbertspar
