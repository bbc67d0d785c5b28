#include "filbertspar/scheduler/src/throttle.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace filbertspar::scheduler {
namespace {

/// Fractions of a serving task's tail latency target at which best-effort tasks
/// are slowed down and sped up. The reported latency is imprecise and half a
/// second old.
constexpr double kSlowDownAt = 0.85;
constexpr double kSpeedUpAt = 0.6;
/// Minimum time between two adjustments on one worker. The effect of one
/// becomes visible after the worker's lag plus the half second over which the
/// latency is measured.
constexpr Duration kAdjustInterval = Milliseconds(700);
constexpr std::int64_t kSpeedUpStep = 20;
constexpr std::int64_t kFullSpeed = 100;

/// Highest ratio of tail latency to target among the worker's serving tasks;
/// negative when none is known.
double WorstTailShare(const Worker& worker) {
  double worst = -1;
  for (const TaskRef& ref : worker.m_tasks) {
    const Duration target = ref.Spec().m_tail_latency_target;
    const Task& task = ref.GetTask();
    if (target > Duration(0) && task.m_phase == TaskPhase::kRunning &&
        task.m_load >= 0) {
      worst = std::max(worst, static_cast<double>(task.m_load) /
                                  static_cast<double>(ToMilliseconds(target)));
    }
  }
  return worst;
}

}  // namespace

void ThrottleBestEffortTasks(Scheduler& scheduler, TimePoint now) {
  for (WorkerIndex i = 0; i < scheduler.m_workers.size(); ++i) {
    Worker& worker = scheduler.m_workers[i];
    if (worker.m_tasks.size() < 2 ||
        now < worker.m_throttled_at + kAdjustInterval) {
      continue;
    }
    const double tail_share = WorstTailShare(worker);
    if (tail_share < 0 ||
        (tail_share > kSpeedUpAt && tail_share < kSlowDownAt)) {
      continue;
    }
    for (const TaskRef& ref : worker.m_tasks) {
      Task& task = ref.GetTask();
      if (!ref.Spec().m_best_effort || task.m_phase != TaskPhase::kRunning) {
        continue;
      }
      const std::int64_t speed_percent =
          tail_share >= kSlowDownAt
              ? (task.m_ordered_speed_percent > 25
                     ? task.m_ordered_speed_percent / 2
                     : 0)
              : std::min(kFullSpeed,
                         task.m_ordered_speed_percent + kSpeedUpStep);
      if (speed_percent == task.m_ordered_speed_percent) {
        continue;
      }
      task.m_ordered_speed_percent = speed_percent;
      worker.m_throttled_at = now;
      scheduler.m_effects.m_throttles.push_back(
          {i,
           {ref.Id(), RunNumber(task.m_run), speed_percent, worker.m_fencing}});
      AddLogDetail(
          scheduler, "task_pace", ref.Id(), i,
          absl::StrCat("percent=", speed_percent, " tail_share=", tail_share));
    }
  }
}

}  // namespace filbertspar::scheduler
