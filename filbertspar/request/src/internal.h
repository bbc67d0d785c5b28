#pragma once

#include <optional>

#include "filbertspar/request/src/engine.h"

namespace filbertspar::internal {

/// \brief Live request of an id, or null.
Request* FindRequest(Engine& engine, RequestId id);
TeamState& TeamOf(Engine& engine, TeamIndex team);
PoolState& PoolOf(Engine& engine, PoolIndex pool);
/// \brief Units granted here that no attempt holds; negative after a shrink.
std::int64_t FreeUnits(const TeamState& team);
std::uint64_t NextId(Engine& engine);

// Catalogue.
/// \brief Rebuilds what follows from the catalogue in force.
void IndexCatalogue(Engine& engine, TimePoint now);
/// \brief Entry of the catalogue in force, or null.
const CatalogueEntry* EntryOf(const Engine& engine, const EntryName& name);
/// \brief Code for which a request may not start under the catalogue in force.
std::optional<Code> RuledOut(const Engine& engine,
                             const Submission& submission);
/// \brief Sets the request's fields that follow from its entry.
void FillFromEntry(Engine& engine, Request& request);
/// \brief Applies the catalogue in force to work that is not running: refuses
/// what it rules out and moves waiting work whose entry has changed.
void ReviewUnstarted(Engine& engine, TimePoint now, Effects& effects);

// Waiting work.
/// \brief Queues a new request; kOk, or why it is refused.
Code AdmitWaiting(Engine& engine, TimePoint now, Request& request);
/// \brief Puts an accepted request at the head of its queue again, or answers
/// it when the catalogue rules it out by now.
void PutBackWaiting(Engine& engine, TimePoint now, Request& request,
                    Effects& effects);
/// \brief Takes a waiting request out; `to_start` when it is going to run.
void TakeWaiting(Engine& engine, TimePoint now, Request& request,
                 bool to_start);
void MarkDirty(Engine& engine, PoolIndex pool);
/// \brief Brings the share up to date after a change of the team's free units.
void UnitsChanged(Engine& engine, TeamIndex team);
/// \brief Starts whatever may start in the pools marked dirty.
void Dispatch(Engine& engine, TimePoint now, Effects& effects);

// Forwarding and grants.
/// \brief Forwards a request when its team has no free unit here and a peer
/// has one.
bool TryForward(Engine& engine, TimePoint now, Request& request,
                Effects& effects);
/// \brief Forwards waiting work of teams at their grant.
void ForwardWaiting(Engine& engine, TimePoint now, Effects& effects);
void UpdateWant(Engine& engine, TimePoint now, TeamState& team,
                Effects& effects);

// Attempts.
/// \brief Gives back the unit and the place on the worker.
void ReleaseUnit(Engine& engine, TimePoint now, Attempt& attempt);
void QueryLost(Engine& engine, TimePoint now, AttemptId id, Attempt& attempt,
               Effects& effects);

// Answers.
/// \brief Gives the final answer and forgets the live request.
void Finish(Engine& engine, TimePoint now, Request& request, Code code,
            Body body, Effects& effects);
/// \brief Answers with a refusal, or, when an attempt ran or may have run, with
/// what is known of it.
void FinishUnsettled(Engine& engine, TimePoint now, Request& request, Code code,
                     Effects& effects);
/// \brief Records the settled answer of a request answered with unknown.
void SettleFinished(Engine& engine, RequestId id, Code code, Body body,
                    Effects& effects);
void ForgetOldFinished(Engine& engine, TimePoint now);

void SetTimer(Engine& engine, TimePoint at, TimerKind kind, std::uint64_t id);

}  // namespace filbertspar::internal
