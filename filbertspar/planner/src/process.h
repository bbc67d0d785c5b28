#pragma once

#include "absl/status/status.h"
#include "filbertspar/planner/src/options.h"

namespace filbertspar {

/// \brief Runs a planner process until SIGTERM. It plans only while it holds
/// the lease row of the duty "planner".
absl::Status RunPlanner(const PlannerOptions& options);

}  // namespace filbertspar
