#pragma once

#include "filbertspar/scheduler/src/state.h"

/// \file
/// \brief Calls to workers that got no response.
///
/// Such a call may have been executed, or may be executed seconds later, also
/// by an incarnation of the worker that has started since: no call names the
/// incarnation that it is meant for. An incarnation that has seen a higher
/// fencing number refuses it. So each worker has a fencing number of its own,
/// which rises after a call without a response; once a poll with the new number
/// is answered, the earlier calls have been executed or never will be, and the
/// answer tells which.

namespace filbertspar::scheduler {

/// \brief Longest time from the sending of a call without a response to its
/// execution. Workers carry out such calls up to 12 s late (the operators'
/// list of impairments).
inline constexpr Duration kMaxCallDelay = Seconds(12);

/// \brief Longest time until an owner detects that a worker has started again.
/// Until then it sends calls to the former incarnation: a poll may be open, and
/// a loaded link doubles its time-out.
inline constexpr Duration kMaxDetectionTime = Seconds(6);

/// \brief Longest time from the execution of a call that grants a lease to the
/// end of the worker's runs.
Duration MaxLeaseTime(const Scheduler& scheduler);

/// \brief Latest time at which the incarnation may have started, whose start is
/// known in Unix milliseconds by the clock of its machine.
TimePoint LatestStartOf(const Scheduler& scheduler, std::int64_t incarnation);

/// \brief Numbers that a poll may acknowledge now: the ends whose effects are
/// stored, or none while a start is unanswered. Otherwise the next incarnation
/// could execute the start, end its run, and then forget that end.
std::uint64_t EndsToAcknowledge(const Worker& worker);

/// \brief Whether a poll now would acknowledge nothing although it could tell
/// the worker of new ends once the starts are answered. The worker would answer
/// it at once, with the same ends.
bool HoldsBackEnds(const Worker& worker);

/// \brief Called before a poll is sent that grants a lease or acknowledges
/// ends. Returns its fencing number.
FencingNumber HandlePollSent(TimePoint now, Worker& worker,
                             std::uint64_t acknowledged);

/// \brief Called when calls to the worker may stay without a response.
void RaiseFencing(Scheduler& scheduler, WorkerIndex index);

/// \brief Whether the worker's incarnation refuses every call that got no
/// response.
bool IsFenced(const Worker& worker);

/// \brief Whether a start of the task was sent and is not known to have been
/// executed.
bool HasUnansweredStart(const Task& task);

/// \brief Called before a start is sent. Returns its fencing number, which is
/// higher than those of polls that acknowledged ends: once the start is
/// executed, these are refused.
FencingNumber HandleStartSent(Scheduler& scheduler, TimePoint now,
                              const StartOrder& order);

/// \brief Called when the start was not sent after all.
void HandleStartNotSent(Scheduler& scheduler, WorkerIndex index,
                        const StartOrder& order);

/// \brief Called when a start got no response.
void HandleStartUnanswered(Scheduler& scheduler, TimePoint now,
                           WorkerIndex index, const StartOrder& order);

/// \brief From now on the unanswered start may be executed by a later
/// incarnation.
void BeginDoubt(const Scheduler& scheduler, TimePoint now, Task& task);

/// \brief Whether the answer to a poll with `fencing` shows that a start which
/// it does not list is never executed by the incarnation that answered.
bool IsRefused(const Task& task, FencingNumber fencing);

/// \brief Whether a start in doubt cannot be executed any more, and its run has
/// ended, although the worker did not answer.
///
/// Either time has passed, or the worker is gone: its registration is, and no
/// VM that is up has it. One of these alone proves nothing: an incarnation that
/// has just started may not reach the store.
bool IsDoubtOver(const Scheduler& scheduler, TimePoint now,
                 const Worker& worker, const Task& task);

/// \brief Applies a list of VMs that shows every change up to `shows_since`. A
/// list that is damaged shows none.
void HandleVmList(Scheduler& scheduler, TimePoint shows_since,
                  const VmList& list);

/// \brief Whether the lists of VMs show that the worker has left, however old
/// they are: the latest has it not, but an earlier one had it, or the latest
/// has a worker that started after it.
bool HasLeftVms(const Scheduler& scheduler, const WorkerName& worker);

/// \brief Workers that may run tasks of previous owners, as far as
/// registrations and lists of VMs tell. One that is in neither is gone.
std::vector<WorkerName> ExpectedWorkers(const Scheduler& scheduler);

/// \brief Called when an incarnation has answered for the first time. Until the
/// worker is fenced, the end of its lease is not known.
void BeginUnknownLease(const Scheduler& scheduler, TimePoint now,
                       Worker& worker);

/// \brief Called when a worker whose lease was unknown is fenced; `latest_call`
/// is the latest time at which a call to a former incarnation may have been
/// executed.
void EndUnknownLease(const Scheduler& scheduler, TimePoint latest_call,
                     Worker& worker);

}  // namespace filbertspar::scheduler
