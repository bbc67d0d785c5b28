#pragma once

#include <functional>
#include <string>

#include "absl/status/status.h"
#include "boost/asio/io_context.hpp"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief Name, one-line purpose and body of a program with a settings file.
struct ProgramInfo {
  std::string m_name;
  std::string m_purpose;
};

/// \brief Reads "--settings FILE", loads it and calls the body, which checks
/// the settings with Finish() before it acts. `--check` stops after the check.
///
/// \returns the exit code of the status' result code; the message goes to
/// standard error as one line.
int RunProgram(
    int argc, const char* const* argv, const ProgramInfo& info,
    const std::function<absl::Status(Settings&, bool check_only)>& body);

/// \brief Prints the status as one line and gives its exit code.
int ExitCodeOf(const std::string& name, const absl::Status& status);

/// \brief Calls `stop` at the first SIGTERM or SIGINT.
void OnStopSignal(boost::asio::io_context& context, std::function<void()> stop);

}  // namespace filbertspar
