#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "filbertspar/request/request.h"

namespace filbertspar::world {

/// \brief An engine under test: the real one or a naive one.
class EngineApi {
 public:
  virtual ~EngineApi() = default;
  virtual void Configure(TimePoint now, std::shared_ptr<const Catalogue> what,
                         Effects& effects) = 0;
  virtual void Workers(TimePoint now, std::vector<WorkerInfo> workers,
                       Effects& effects) = 0;
  virtual void Grant(TimePoint now, const TeamName& team, std::int64_t units,
                     Effects& effects) = 0;
  virtual void Peers(TimePoint now, std::vector<PeerUse> use) = 0;
  virtual RequestId Submit(TimePoint now, Submission submission,
                           Effects& effects) = 0;
  virtual void Ended(TimePoint now, const AttemptReport& report,
                     Effects& effects) = 0;
  virtual void Settled(TimePoint now, const QueryReport& report,
                       Effects& effects) = 0;
  virtual void Claimed(TimePoint now, const ClaimReport& report,
                       Effects& effects) = 0;
  virtual void Forwarded(TimePoint now, const ForwardReport& report,
                         Effects& effects) = 0;
  virtual void Cancel(TimePoint now, RequestId request, Effects& effects) = 0;
  virtual void Tick(TimePoint now, Effects& effects) = 0;
  virtual std::optional<TimePoint> NextTick() const = 0;
  virtual std::vector<TeamPoolUse> Use() const = 0;
  virtual std::optional<RequestStatus> Query(RequestId request) const = 0;
};

/// \brief The request engine behind EngineApi.
class RealEngine : public EngineApi {
 public:
  explicit RealEngine(EngineOptions options)
      : m_engine(MakeEngine(std::move(options))) {}

  void Configure(TimePoint now, std::shared_ptr<const Catalogue> what,
                 Effects& effects) override {
    SetCatalogue(m_engine, now, std::move(what), effects);
  }
  void Workers(TimePoint now, std::vector<WorkerInfo> workers,
               Effects& effects) override {
    SetWorkers(m_engine, now, std::move(workers), effects);
  }
  void Grant(TimePoint now, const TeamName& team, std::int64_t units,
             Effects& effects) override {
    SetGrant(m_engine, now, team, units, effects);
  }
  void Peers(TimePoint now, std::vector<PeerUse> use) override {
    SetPeerUse(m_engine, now, std::move(use));
  }
  RequestId Submit(TimePoint now, Submission submission,
                   Effects& effects) override {
    return filbertspar::Submit(m_engine, now, std::move(submission), effects);
  }
  void Ended(TimePoint now, const AttemptReport& report,
             Effects& effects) override {
    AttemptEnded(m_engine, now, report, effects);
  }
  void Settled(TimePoint now, const QueryReport& report,
               Effects& effects) override {
    AttemptSettled(m_engine, now, report, effects);
  }
  void Claimed(TimePoint now, const ClaimReport& report,
               Effects& effects) override {
    ClaimSettled(m_engine, now, report, effects);
  }
  void Forwarded(TimePoint now, const ForwardReport& report,
                 Effects& effects) override {
    ForwardSettled(m_engine, now, report, effects);
  }
  void Cancel(TimePoint now, RequestId request, Effects& effects) override {
    filbertspar::Cancel(m_engine, now, request, effects);
  }
  void Tick(TimePoint now, Effects& effects) override {
    filbertspar::Tick(m_engine, now, effects);
  }
  std::optional<TimePoint> NextTick() const override {
    return filbertspar::NextTick(m_engine);
  }
  std::vector<TeamPoolUse> Use() const override { return UseOf(m_engine); }
  std::optional<RequestStatus> Query(RequestId request) const override {
    return filbertspar::Query(m_engine, request);
  }

  Engine m_engine;
};

}  // namespace filbertspar::world
