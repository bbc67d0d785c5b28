#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief A worker's registration appeared or changed.
WorkerIndex RegisterWorker(Scheduler& scheduler, TimePoint now,
                           const WorkerRecord& record);

/// \brief A worker's registration was removed.
void UnregisterWorker(Scheduler& scheduler, TimePoint now,
                      const WorkerName& name);

/// \brief A worker answered a look that was sent at `sent`.
void HandlePollResponse(Scheduler& scheduler, TimePoint sent, TimePoint now,
                        WorkerIndex index, const WorkerStatus& look);

/// \brief A look got no answer. Further looks renew no lease until one is
/// answered, so that the tasks there are given up when it has run out.
void HandlePollFailure(Scheduler& scheduler, WorkerIndex index);

/// \brief The worker's address answers for another worker: this incarnation
/// has ended and nothing of it runs.
void HandleInstanceReplaced(Scheduler& scheduler, TimePoint now,
                            WorkerIndex index);

/// \brief Answer to a start. `earlier_unanswered` says that an earlier copy of
/// the order got no answer and may still be carried out.
void HandleStartResponse(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                         const StartOrder& order, const OrderResponse& answer,
                         bool earlier_unanswered);

/// \brief Answer to a stop.
void HandleStopResponse(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                        const StopOrder& order, const OrderResponse& answer);

/// \brief Lets workers forget the ends whose effects are stored.
void AcknowledgeStoredRuns(Scheduler& scheduler);

/// \brief Gives up the tasks of workers whose lease has run out for certain,
/// and settles what an earlier owner left: once every worker of the roster
/// answered, a run that none lists does not exist.
void ExpireLeases(Scheduler& scheduler, TimePoint now);

/// \brief Lease to ask for on the worker's clock at `now`; nothing before its
/// clock is known. The lease counts as given once this was called.
std::optional<std::int64_t> GrantLease(Scheduler& scheduler, TimePoint now,
                                       WorkerIndex index);

/// \brief Time on the worker's clock after which it refuses a start that is
/// sent at `now`; the lease counts as given until then.
std::int64_t GrantStartDeadline(Scheduler& scheduler, TimePoint now,
                                WorkerIndex index);

/// \brief Least reading of the worker's clock at `now`.
std::int64_t MinWorkerClock(const Worker& worker, TimePoint now);

/// \brief Whether tasks may be placed on the worker.
bool IsSchedulable(const Scheduler& scheduler, const Worker& worker,
                   TimePoint now);

/// \brief Whether the worker answered lately enough to be trusted with work.
bool IsResponsive(const Worker& worker, TimePoint now);

/// \brief Whether nothing more is to be expected of the worker, so that it
/// need not be looked at.
bool IsRetired(const Worker& worker, TimePoint now);

}  // namespace filbertspar::scheduler
