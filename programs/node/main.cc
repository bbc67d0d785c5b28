#include <csignal>
#include <cstdlib>
#include <string>

#include "boost/asio/io_context.hpp"
#include "boost/asio/signal_set.hpp"
#include "filbertspar/node/node.h"
#include "filbertspar/program/program.h"
#include "tclap/CmdLine.h"

namespace {

using filbertspar::Node;
using filbertspar::NodeOptions;
using filbertspar::Settings;

constexpr const char* kProgram = "filbertspar-node";
/// Names the settings file when the command line does not.
constexpr const char* kSettingsVariable = "FILBERTSPAR_CONFIG";

absl::StatusOr<NodeOptions> LoadOptions(const std::string& path) {
  absl::StatusOr<Settings> settings = Settings::Load(path);
  if (!settings.ok()) {
    return settings.status();
  }
  settings->DropEmpty();
  NodeOptions options = filbertspar::ReadNodeOptions(*settings);
  FS_RETURN_IF_ERROR(settings->Finish());
  return options;
}

class Reloader {
 public:
  Reloader(boost::asio::io_context& context, Node& node, std::string path)
      : m_signals(context, SIGHUP), m_node(node), m_path(std::move(path)) {
    Wait();
  }

 private:
  void Wait() {
    m_signals.async_wait([this](boost::system::error_code error, int) {
      if (error) {
        return;
      }
      const absl::StatusOr<NodeOptions> options = LoadOptions(m_path);
      if (options.ok()) {
        m_node.Reload(*options);
      } else {
        // The settings that were read before stay in force.
        filbertspar::ExitCodeOf(kProgram, options.status());
      }
      Wait();
    });
  }

  boost::asio::signal_set m_signals;
  Node& m_node;
  std::string m_path;
};

absl::Status Run(const std::string& path, bool check_only) {
  absl::StatusOr<NodeOptions> options = LoadOptions(path);
  if (!options.ok() || check_only) {
    return options.status();
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  Node node(context, *std::move(options));
  FS_RETURN_IF_ERROR(node.Start());
  const Reloader reloader(context, node, path);
  filbertspar::OnStopSignal(context, [&node] { node.Stop(); });
  context.run();
  return absl::OkStatus();
}

}  // namespace

int main(int argc, char** argv) {
  std::string path;
  bool check_only = false;
  try {
    TCLAP::CmdLine line(
        "Runs an entry VM: answers callers and, on one VM at a "
        "time, owns the jobs.",
        ' ', "0.1");
    line.setExceptionHandling(false);
    const char* from_environment = std::getenv(kSettingsVariable);
    TCLAP::ValueArg<std::string> settings(
        "s", "settings",
        std::string("Settings file (INI); by default the one that ") +
            kSettingsVariable + " names",
        false, from_environment == nullptr ? "" : from_environment, "FILE",
        line);
    TCLAP::SwitchArg check("c", "check", "Check the settings and stop", line);
    line.parse(argc, argv);
    path = settings.getValue();
    check_only = check.getValue();
  } catch (const TCLAP::ArgException& error) {
    return filbertspar::ExitCodeOf(
        kProgram, filbertspar::Error(filbertspar::Code::kUsage,
                                     error.error() + " " + error.argId()));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  return filbertspar::ExitCodeOf(kProgram, Run(path, check_only));
}
