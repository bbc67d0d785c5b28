/// \file
/// \brief Load tool: offers an INI scenario and records a history.

#include <cstdio>

#include "filbertspar/program/program.h"
#include "programs/load/runner.h"

namespace filbertspar::load {
namespace {

absl::Status Run(Settings& settings, bool check_only) {
  absl::StatusOr<Scenario> scenario = ReadScenario(settings);
  if (!scenario.ok() || check_only) {
    return scenario.status();
  }
  Recorder recorder;
  FS_RETURN_IF_ERROR(recorder.Open(scenario->m_history));
  asio::io_context context(1);
  Runner runner(context, *scenario, recorder);
  runner.Start();
  context.run();
  JsonObject summary = recorder.Summary();
  summary["elapsed_ms"] = ToMilliseconds(runner.Elapsed());
  std::printf("%s\n", ToText(summary).c_str());
  if (recorder.Open() > 0) {
    return Error(Code::kStillRunning, "calls without an answer remain");
  }
  return absl::OkStatus();
}

}  // namespace
}  // namespace filbertspar::load

int main(int argc, char** argv) {
  return filbertspar::RunProgram(
      argc, argv,
      {"filbertspar-load", "Offers work from a scenario and records it."},
      filbertspar::load::Run);
}
