#include "filbertspar/program/src/program.h"

#include <csignal>
#include <cstdio>
#include <memory>
#include <utility>

#include "boost/asio/signal_set.hpp"
#include "filbertspar/base/base.h"
#include "tclap/CmdLine.h"

namespace filbertspar {
namespace {

absl::Status LoadAndRun(
    const std::string& path, bool check_only,
    const std::function<absl::Status(Settings&, bool)>& body) {
  absl::StatusOr<Settings> settings = Settings::Load(path);
  if (!settings.ok()) {
    return settings.status();
  }
  return body(*settings, check_only);
}

}  // namespace

int ExitCodeOf(const std::string& name, const absl::Status& status) {
  if (status.ok()) {
    return 0;
  }
  const CodeInfo& info = Describe(CodeOf(status));
  std::fprintf(stderr, "%s: error %d %s: %s\n", name.c_str(),
               static_cast<int>(info.m_code), std::string(info.m_name).c_str(),
               std::string(status.message()).c_str());
  return info.m_exit_code;
}

int RunProgram(
    int argc, const char* const* argv, const ProgramInfo& info,
    const std::function<absl::Status(Settings&, bool check_only)>& body) {
  std::string path;
  bool check_only = false;
  try {
    TCLAP::CmdLine line(info.m_purpose, ' ', "0.1");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "Settings file (INI)", true, "", "FILE", line);
    TCLAP::SwitchArg check("c", "check", "Check the settings and stop", line);
    line.parse(argc, argv);
    path = settings.getValue();
    check_only = check.getValue();
  } catch (const TCLAP::ArgException& error) {
    return ExitCodeOf(info.m_name,
                      Error(Code::kUsage, error.error() + " " + error.argId()));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  return ExitCodeOf(info.m_name, LoadAndRun(path, check_only, body));
}

void OnStopSignal(boost::asio::io_context& context,
                  std::function<void()> stop) {
  auto signals =
      std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
  signals->async_wait([signals, stop = std::move(stop)](
                          boost::system::error_code error, int /*signal*/) {
    if (!error) {
      stop();
    }
  });
}

}  // namespace filbertspar
