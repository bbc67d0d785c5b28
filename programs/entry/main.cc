/// \file
/// \brief Entry process of one entry VM.

#include "filbertspar/entry/entry.h"
#include "filbertspar/program/program.h"

namespace {

absl::Status Run(filbertspar::Settings& settings, bool check_only) {
  absl::StatusOr<filbertspar::EntryOptions> options =
      filbertspar::ReadEntryOptions(settings);
  if (!options.ok() || check_only) {
    return options.status();
  }
  return filbertspar::RunEntry(*options);
}

}  // namespace

int main(int argc, char** argv) {
  return filbertspar::RunProgram(
      argc, argv, {"filbertspar-entry", "Entry process of filbertspar."}, Run);
}
