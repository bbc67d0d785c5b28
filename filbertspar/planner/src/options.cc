#include "filbertspar/planner/src/options.h"

namespace filbertspar {

absl::StatusOr<PlannerOptions> ReadPlannerOptions(Settings& settings) {
  PlannerOptions options;
  options.m_name = VmName(settings.GetText("planner.name"));
  options.m_platform = settings.GetEndpoint("planner.platform");
  options.m_round = settings.GetMilliseconds("planner.round_ms", Seconds(1),
                                             Milliseconds(50), Seconds(60));
  options.m_probe_timeout = settings.GetMilliseconds(
      "planner.probe_timeout_ms", Seconds(1), Milliseconds(50), Seconds(30));
  PlannerSettings& planner = options.m_planner;
  planner.m_drain_bound =
      settings.GetMilliseconds("planner.drain_bound_ms", planner.m_drain_bound,
                               Seconds(1), std::chrono::hours(24));
  planner.m_dead_after = settings.GetMilliseconds(
      "planner.dead_after_ms", planner.m_dead_after, Seconds(2), Seconds(600));
  planner.m_cycle =
      settings.GetMilliseconds("planner.cycle_ms", planner.m_cycle, Seconds(10),
                               std::chrono::hours(24 * 365));
  planner.m_maintain_cycle =
      settings.GetBool("planner.maintain_cycle", planner.m_maintain_cycle);
  if (absl::Status status = settings.Finish(); !status.ok()) {
    return status;
  }
  return options;
}

}  // namespace filbertspar
