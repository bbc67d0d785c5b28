#include <catch2/catch.hpp>
#include <string>

#include "filbertspar/settings/settings.h"

namespace filbertspar {
namespace {

absl::Status ReadOne(const std::string& text) {
  absl::StatusOr<Settings> settings = Settings::Parse("entry.ini", text);
  if (!settings.ok()) {
    return settings.status();
  }
  settings->GetInt("entry.max", 10, 1, 100);
  settings->GetEndpoint("entry.listen");
  return settings->Finish();
}

// Guards against a misspelt key that is silently ignored.
TEST_CASE("an unknown key is refused with file and key") {
  const absl::Status status =
      ReadOne("[entry]\nlisten = 127.0.0.1:80\nmaxx = 3\n");
  CHECK(CodeOf(status) == Code::kSettingsUnknownKey);
  CHECK(std::string(status.message()) == "entry.ini: entry.maxx: no such key");
}

// Guards against values out of range or of the wrong form.
TEST_CASE("bad values are refused with what was expected") {
  const absl::Status range =
      ReadOne("[entry]\nlisten = 127.0.0.1:80\nmax = 101\n");
  CHECK(CodeOf(range) == Code::kSettingsBadValue);
  CHECK(std::string(range.message()) ==
        "entry.ini: entry.max: expected an integer from 1 to 100");
  const absl::Status endpoint = ReadOne("[entry]\nlisten = localhost\n");
  CHECK(CodeOf(endpoint) == Code::kSettingsBadValue);
  CHECK(CodeOf(ReadOne("[entry]\nmax = 4\n")) == Code::kSettingsKeyMissing);
  CHECK(CodeOf(ReadOne("[entry\n")) == Code::kSettingsSyntax);
  CHECK(ReadOne("[entry]\nlisten = 127.0.0.1:80\n").ok());
}

// Guards against a missing file that is taken for an empty one.
TEST_CASE("a missing file is refused") {
  CHECK(CodeOf(Settings::Load("/nonexistent.ini").status()) ==
        Code::kSettingsFileMissing);
}

}  // namespace
}  // namespace filbertspar
