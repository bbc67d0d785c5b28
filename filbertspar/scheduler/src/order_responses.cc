#include <algorithm>

#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/superseded.h"
#include "filbertspar/scheduler/src/unanswered.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Time without new starts after a refusal.
constexpr Duration kUnhealthyPause = Milliseconds(700);
constexpr Duration kNoCapacityPause = Milliseconds(150);

/// Starts no task for a while on a worker that did not take a start.
void AvoidAfterStart(TimePoint now, Worker& worker, const StartOrder& order) {
  if (order.m_incarnation == worker.m_incarnation) {
    worker.m_avoid_until =
        std::max(worker.m_avoid_until, now + kUnhealthyPause);
  }
}

/// Whether another incarnation than the one that the order is for has answered
/// it. The clock of a later one starts anew and is mostly behind.
bool IsFromNextIncarnation(const Scheduler& scheduler, const StartOrder& order,
                           const OrderResponse& response) {
  const std::int64_t clock_when_issued =
      order.m_deadline_ms - ToMilliseconds(scheduler.m_options.m_start_window);
  return response.m_clock_ms && *response.m_clock_ms < clock_when_issued;
}

}  // namespace

void HandleStartResponse(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                         const StartOrder& order,
                         const OrderResponse& response) {
  if (response.m_result == OrderResult::kUnknown ||
      IsFromNextIncarnation(scheduler, order, response)) {
    HandleStartUnanswered(scheduler, now, index, order);
    AvoidAfterStart(now, scheduler.m_workers[index], order);
    return;
  }
  Worker& worker = scheduler.m_workers[index];
  const TaskRef ref = FindTask(scheduler, order.m_task);
  if (ref && response.m_result == OrderResult::kAccepted) {
    MarkBegun(scheduler, now, *ref.m_job, index);
  }
  const bool is_current = order.m_incarnation == worker.m_incarnation;
  if (is_current && response.m_result == OrderResult::kNoCapacity) {
    worker.m_no_capacity_until = now + kNoCapacityPause;
  }
  if (response.m_result == OrderResult::kUnhealthy ||
      response.m_result == OrderResult::kNotDelivered) {
    AvoidAfterStart(now, worker, order);
  }
  if (!ref || ref.GetTask().m_worker != index ||
      ref.GetTask().m_run != order.m_run.Value()) {
    return;
  }
  Task& task = ref.GetTask();
  task.m_start_fencing = FencingNumber();
  if (task.m_phase != TaskPhase::kStarting) {
    return;
  }
  if (response.m_result == OrderResult::kAccepted) {
    task.m_phase = TaskPhase::kRunning;
    task.m_order_confirmed_at = now;
    return;
  }
  if (response.m_result == OrderResult::kTicketRefused) {
    TaskId step = order.m_task;
    step.m_index = 0;
    const auto approvals = scheduler.m_approvals.find(step);
    if (approvals != scheduler.m_approvals.end()) {
      approvals->second.m_tickets.erase(worker.m_record.m_name);
    }
  }
  if (response.m_result != OrderResult::kStaleRun) {
    RequeueLostTask(scheduler, now, ref, OrderResultName(response.m_result));
  }
  // Otherwise the run has ended there; the next poll tells.
}

void HandleStopResponse(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                        const StopOrder& order, const OrderResponse& response) {
  const bool is_answered = response.m_result == OrderResult::kAccepted ||
                           response.m_result == OrderResult::kStaleRun;
  if (is_answered) {
    HandleSupersededStop(scheduler, now, index, order);
  }
  const TaskRef ref = FindTask(scheduler, order.m_task);
  if (!ref || ref.GetTask().m_worker != index ||
      ref.GetTask().m_run != order.m_run.Value() ||
      ref.GetTask().m_phase != TaskPhase::kStopping) {
    return;
  }
  if (is_answered) {
    ref.GetTask().m_order_confirmed_at = now;
  }
}

bool IsStopAnswered(Scheduler& scheduler, WorkerIndex index,
                    const StopOrder& order) {
  const TaskRef ref = FindTask(scheduler, order.m_task);
  if (!ref) {
    return false;
  }
  const Task& task = ref.GetTask();
  return task.m_worker == index && task.m_run == order.m_run.Value() &&
         task.m_phase == TaskPhase::kStopping &&
         task.m_order_confirmed_at != TimePoint::max();
}

}  // namespace filbertspar::scheduler
