#pragma once

#include <optional>

#include "filbertspar/request/src/engine.h"

namespace filbertspar::internal {

/// \brief Live request of an id, or null.
Request* FindRequest(Engine& engine, RequestId id);

TeamIndex InternTeam(Engine& engine, const TeamName& team);
PoolIndex InternEnginePool(Engine& engine, const PoolName& pool);
std::uint64_t NextId(Engine& engine);
void SetTimer(Engine& engine, TimePoint at, TimerKind kind, std::uint64_t id);
std::int64_t FreeUnits(const TeamState& team);

// Waiting work.
void PushWaiting(Engine& engine, Request& request, bool front);
void RemoveWaiting(Engine& engine, Request& request);
/// \brief First in the order of service, or null.
Request* FirstWaiting(Engine& engine, PoolIndex pool, TeamIndex team);
void MarkDirty(Engine& engine, PoolIndex pool);
void MarkTeamDirty(Engine& engine, TeamIndex team);
/// \brief Starts whatever may start in the pools marked dirty.
void Dispatch(Engine& engine, TimePoint now, Effects& effects);

// Admission and claims.
/// \brief Code for which a request may not start under the catalogue in force.
std::optional<Code> RuledOut(const Engine& engine,
                             const Submission& submission);
/// \brief Queues a request, after writing its claim when it needs one.
void Enqueue(Engine& engine, Request& request, Effects& effects);
/// \brief True when pool, class and size of waiting work are the entry's.
bool FitsEntry(const Engine& engine, const Request& request);
/// \brief Moves waiting work to the entry's pool, class and size.
void Refit(Engine& engine, Request& request);
/// \brief Forwards a request when its team has no free unit here and a peer
/// has one.
bool TryForward(Engine& engine, TimePoint now, Request& request,
                Effects& effects);
/// \brief Forwards waiting work of teams at their grant.
void ForwardWaiting(Engine& engine, TimePoint now, Effects& effects);
void UpdateWant(Engine& engine, TimePoint now, TeamIndex team,
                Effects& effects);

// Attempts.
/// \brief Gives back the unit and the place on the worker.
void ReleaseUnit(Engine& engine, Attempt& attempt);
void QueryLost(Engine& engine, TimePoint now, AttemptId id, Attempt& attempt,
               Effects& effects);
/// \brief Answers with unknown, or with what the attempts so far proved.
void FinishUnsettled(Engine& engine, TimePoint now, Request& request, Code code,
                     Effects& effects);

// Answers.
/// \brief Gives the final answer and forgets the live request.
void Finish(Engine& engine, TimePoint now, Request& request, Code code,
            Body body, Effects& effects);
/// \brief Records the settled answer of a request answered with unknown.
void SettleFinished(Engine& engine, RequestId id, Code code, Body body,
                    Effects& effects);
void ForgetOldFinished(Engine& engine, TimePoint now);

}  // namespace filbertspar::internal
