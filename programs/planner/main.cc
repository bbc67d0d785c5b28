/// \file
/// \brief Planner process of one entry VM.

#include "filbertspar/planner/planner.h"
#include "filbertspar/program/program.h"

namespace {

absl::Status Run(filbertspar::Settings& settings, bool check_only) {
  absl::StatusOr<filbertspar::PlannerOptions> options =
      filbertspar::ReadPlannerOptions(settings);
  if (!options.ok() || check_only) {
    return options.status();
  }
  return filbertspar::RunPlanner(*options);
}

}  // namespace

int main(int argc, char** argv) {
  return filbertspar::RunProgram(
      argc, argv, {"filbertspar-planner", "Planner process of filbertspar."},
      Run);
}
