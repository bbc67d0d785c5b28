#pragma once

#include "filbertspar/scheduler/src/crashes.h"
#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Applies a new or changed registration of a worker.
WorkerIndex RegisterWorker(Scheduler& scheduler, TimePoint now,
                           const WorkerRecord& record);

/// \brief Applies the removal of a worker's registration.
void UnregisterWorker(Scheduler& scheduler, TimePoint now,
                      const WorkerName& name);

/// \brief Applies the answer to a poll that was sent at `sent` with `fencing`.
void HandlePollResponse(Scheduler& scheduler, TimePoint sent, TimePoint now,
                        WorkerIndex index, const WorkerStatus& status,
                        FencingNumber fencing);

/// \brief Called when a poll got no answer. Later polls renew no lease until
/// one is answered, beyond m_unanswered_renewals, so that the worker's tasks
/// are given up when the lease expires.
void HandlePollFailure(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                       PollFailure failure);

/// \brief Called when the worker's address answers for another worker: this
/// incarnation has ended and none of its runs exist.
void HandleInstanceReplaced(Scheduler& scheduler, TimePoint now,
                            WorkerIndex index);

/// \brief Applies the answer to a start; kUnknown when there was none.
void HandleStartResponse(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                         const StartOrder& order,
                         const OrderResponse& response);

/// \brief Applies the answer to a stop.
void HandleStopResponse(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                        const StopOrder& order, const OrderResponse& response);

/// \brief Whether a stop of the task's run was answered, so that it need not be
/// sent again.
bool IsStopAnswered(Scheduler& scheduler, WorkerIndex index,
                    const StopOrder& order);

/// \brief Whether no task is placed on the worker, nor on one that has taken
/// its place at the same address since the list of VMs was read, and the worker
/// holds no ends that were not read.
bool IsMachineEmpty(const Scheduler& scheduler, TimePoint now,
                    WorkerIndex index);

/// \brief Whether a worker with runs is on no VM of the latest list, so that it
/// may be on any VM whose listed worker does not answer: lists lag.
bool HasRunsOnUnlistedVms(const Scheduler& scheduler);

/// \brief Advances, for every worker, the number up to which it may discard
/// finished runs because their effects are stored.
void AcknowledgeStoredRuns(Scheduler& scheduler);

/// \brief Requeues the tasks of workers whose lease has certainly expired, and
/// resolves inherited runs: once every expected worker has responded, a run
/// that none of them reported does not exist.
void ExpireLeases(Scheduler& scheduler, TimePoint now);

/// \brief End of the lease to grant at `now`, in milliseconds on the worker's
/// clock; nullopt while its clock is unknown or too many polls failed. The
/// lease counts as granted after this call.
std::optional<std::int64_t> GrantLease(Scheduler& scheduler, TimePoint now,
                                       WorkerIndex index);

/// \brief Time after which the worker refuses a start sent at `now`, in
/// milliseconds on its clock; the lease counts as granted until then.
std::int64_t GrantStartDeadline(Scheduler& scheduler, TimePoint now,
                                WorkerIndex index);

/// \brief Time after the end of a lease within which a worker kills its runs.
inline constexpr Duration kLeaseKillDelay = Milliseconds(200);

/// \brief Longest time that may pass until a worker's clock has advanced by
/// `milliseconds`.
Duration MaxElapsedTime(std::int64_t milliseconds);

/// \brief Whether the worker has listed all its runs and ends to this owner. An
/// answer holds a bounded number of ends; the others follow once these are
/// acknowledged.
bool HasListedAll(const Worker& worker);

/// \brief Until when a run that the previous owner recorded on the worker, and
/// that it has not listed, may go on or have an end to be read, unless the
/// worker answers meanwhile.
TimePoint InheritedRunsUntil(const Scheduler& scheduler, const Worker& worker);

/// \brief Lower bound of the worker's clock at `now`, in milliseconds.
std::int64_t MinWorkerClock(const Worker& worker, TimePoint now);

/// \brief Whether tasks may be placed on the worker.
bool IsSchedulable(const Scheduler& scheduler, const Worker& worker,
                   TimePoint now);

/// \brief Whether the worker answered a poll recently enough to get tasks.
bool IsResponsive(const Worker& worker, TimePoint now);

/// \brief Whether the registration is of an incarnation that has not answered
/// yet.
bool MayHaveRestarted(const Worker& worker);

/// \brief Whether the worker is unregistered, without tasks and without a
/// lease, so that it need not be polled any more.
bool IsRetired(const Worker& worker, TimePoint now);

}  // namespace filbertspar::scheduler
