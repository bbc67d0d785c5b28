/// \file
/// \brief Checks recorded histories against the invariants.

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "filbertspar/history/history.h"
#include "filbertspar/program/program.h"
#include "tclap/CmdLine.h"

namespace {

using filbertspar::CheckOptions;
using filbertspar::CheckResult;
using filbertspar::Code;
using filbertspar::Error;
using filbertspar::HistoryRecord;
using filbertspar::Milliseconds;

absl::Status Check(const std::vector<std::string>& paths,
                   const CheckOptions& options) {
  std::vector<HistoryRecord> records;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) {
      return Error(Code::kNotFound, path + ": expected a readable history");
    }
    FS_RETURN_IF_ERROR(filbertspar::ReadHistory(file, records));
  }
  const CheckResult result = filbertspar::CheckHistory(records, options);
  for (const filbertspar::Violation& violation : result.m_violations) {
    std::printf("%s: %s\n",
                std::string(filbertspar::ToString(violation.m_rule)).c_str(),
                violation.m_text.c_str());
  }
  std::printf("calls %llu, tasks started %llu, violations %llu\n",
              static_cast<unsigned long long>(result.m_calls),
              static_cast<unsigned long long>(result.m_started),
              static_cast<unsigned long long>(result.Total()));
  if (result.Total() > 0) {
    return Error(Code::kHistoryViolated, "the history breaks an invariant");
  }
  return absl::OkStatus();
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = "filbertspar-check";
  std::vector<std::string> paths;
  CheckOptions options;
  try {
    TCLAP::CmdLine line("Checks recorded histories (JSON lines).", ' ', "0.1");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<int> spread("", "spread-ms",
                                "Time in which a revocation comes in force",
                                false, 2000, "MS", line);
    TCLAP::ValueArg<int> skew("", "skew-ms", "Largest clock difference", false,
                              5, "MS", line);
    TCLAP::SwitchArg cut("", "may-be-cut", "Calls may lack an answer", line);
    TCLAP::UnlabeledMultiArg<std::string> files("files", "History files", true,
                                                "FILE", line);
    line.parse(argc, argv);
    paths = files.getValue();
    options.m_spread_bound = Milliseconds(spread.getValue());
    options.m_skew = Milliseconds(skew.getValue());
    options.m_may_be_cut = cut.getValue();
  } catch (const TCLAP::ArgException& error) {
    return filbertspar::ExitCodeOf(
        name, Error(Code::kUsage, error.error() + " " + error.argId()));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  return filbertspar::ExitCodeOf(name, Check(paths, options));
}
