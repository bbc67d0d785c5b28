#pragma once

#include <cstdint>
#include <string>

#include "filbertspar/fleet/src/planner.h"

namespace filbertspar::internal {

/// \brief One planning round in progress.
struct Round {
  Planner& m_planner;
  TimePoint m_now;
  FleetEffects& m_effects;
  Batch m_batch;
  SuspectCounts m_suspected;
  /// VMs that failed lately or are silent.
  std::int64_t m_recent_failures = 0;
  /// The planner hears too few workers to tell their failure from its own.
  bool m_cut_off = false;
};

/// \brief Stages a change in the round's batch; a full batch is written first.
std::optional<Blocker> StageChange(Round& round, const VmRow& before,
                                   const VmRow* after, Consent consent);

/// \brief Stages an event of a VM; false when it is not allowed now.
bool StageEvent(Round& round, const VmRow& row, VmEvent event,
                const DrainRequest& request = {});

/// \brief Emits the batch as a write and locks its rows.
void Flush(Round& round);

VmWatch& WatchOf(Round& round, const VmName& vm);

/// \brief The worker's last answer to a question asked since the VM entered
/// its state; null when there is none.
const WorkerReport* FreshReport(Round& round, const VmRow& row);

void Notify(Round& round, Code code, const VmName& vm, std::string text);

/// \brief Parts of a round, in their order.
void NoteEpochs(Round& round);
void CountSuspects(Round& round);
void CorrectCounts(Round& round);
void WriteFailures(Round& round);
void FollowList(Round& round);
void AdvanceDrains(Round& round);
void RollBackBroken(Round& round);
void AdmitMoves(Round& round);
void AdmitWaves(Round& round);
void EmitProbes(Round& round);

}  // namespace filbertspar::internal
