#pragma once

#include "absl/status/statusor.h"
#include "filbertspar/fleet/fleet.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief Settings of a planner process; docs/settings.md describes each.
struct PlannerOptions {
  VmName m_name;
  Endpoint m_platform;
  Duration m_round = Seconds(1);
  Duration m_probe_timeout = Seconds(1);
  PlannerSettings m_planner;
};

/// \brief Reads the [planner] section; the first bad setting is the error.
absl::StatusOr<PlannerOptions> ReadPlannerOptions(Settings& settings);

}  // namespace filbertspar
