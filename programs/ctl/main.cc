/// \file
/// \brief Command line client of the administration API.

#include <cstdio>

#include "filbertspar/program/program.h"
#include "programs/ctl/commands.h"

namespace filbertspar::ctl {
namespace {

absl::Status Run(int argc, const char* const* argv) {
  absl::StatusOr<Options> options = ReadOptions(argc, argv);
  if (!options.ok() || options->m_done) {
    return options.status();
  }
  Client client(*options);
  Session session{*options, client};
  const std::string command = WordAt(session, 0);
  if (command == "status" || command == "watch") {
    FS_RETURN_IF_ERROR(CheckWords(session, 1, 1, command));
    return command == "status" ? RunStatus(session) : RunWatch(session);
  }
  if (command == "vms") {
    return RunVms(session);
  }
  if (command == "drain") {
    return RunDrain(session);
  }
  if (command == "config") {
    return RunConfig(session);
  }
  if (command == "explain") {
    return RunExplain(session);
  }
  return RunItems(session);
}

}  // namespace
}  // namespace filbertspar::ctl

int main(int argc, char** argv) {
  const absl::Status status = filbertspar::ctl::Run(argc, argv);
  // Keeps the order of output and message when both go to one file.
  std::fflush(stdout);
  return filbertspar::ExitCodeOf("filbertsparctl", status);
}
