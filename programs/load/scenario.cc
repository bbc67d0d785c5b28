#include "programs/load/scenario.h"

namespace filbertspar::load {
namespace {

constexpr Duration kLongest = Seconds(86'400);

bool IsWithin(Duration moment, Duration start, Duration length) {
  return moment >= start && moment < start + length;
}

Duration ReadTime(Settings& settings, const std::string& key,
                  Duration fallback) {
  return settings.GetMilliseconds(key, fallback, Duration(0), kLongest);
}

Stream ReadStream(Settings& settings, const std::string& name) {
  Stream stream;
  const std::string prefix = name + ".";
  stream.m_name = name;
  stream.m_entry = settings.GetText(prefix + "entry");
  stream.m_team = settings.GetText(prefix + "team", "");
  stream.m_key = settings.GetText(prefix + "key", "");
  stream.m_rate = settings.GetDouble(prefix + "rate", 10, 0, 1e6);
  stream.m_work = ReadTime(settings, prefix + "work_ms", Duration(0));
  stream.m_deadline = settings.GetMilliseconds(
      prefix + "deadline_ms", Seconds(5), Milliseconds(1), kLongest);
  stream.m_surge_at = ReadTime(settings, prefix + "surge_at_ms", Duration(0));
  stream.m_surge_for = ReadTime(settings, prefix + "surge_for_ms", Duration(0));
  stream.m_surge_factor =
      settings.GetDouble(prefix + "surge_factor", 5, 0, 1000);
  stream.m_trough_at = ReadTime(settings, prefix + "trough_at_ms", Duration(0));
  stream.m_trough_for =
      ReadTime(settings, prefix + "trough_for_ms", Duration(0));
  stream.m_trough_factor =
      settings.GetDouble(prefix + "trough_factor", 0.05, 0, 1000);
  stream.m_cancel_at = ReadTime(settings, prefix + "cancel_at_ms", Duration(0));
  stream.m_cancel_share = settings.GetDouble(prefix + "cancel_share", 0, 0, 1);
  stream.m_request_keys = settings.GetBool(prefix + "request_keys", false);
  stream.m_repeat_share = settings.GetDouble(prefix + "repeat_share", 0, 0, 1);
  return stream;
}

/// Keys per team from the [keys] section of a file of their own.
absl::Status ReadKeys(const std::string& path, std::vector<Stream>& streams) {
  absl::StatusOr<Settings> keys = Settings::Load(path);
  if (!keys.ok()) {
    return keys.status();
  }
  for (Stream& stream : streams) {
    if (stream.m_key.empty() && !stream.m_team.empty()) {
      stream.m_key = keys->GetText("keys." + stream.m_team);
    }
  }
  keys->Section("keys");
  return keys->Finish();
}

}  // namespace

absl::StatusOr<Scenario> ReadScenario(Settings& settings) {
  Scenario scenario;
  scenario.m_targets = settings.GetEndpoints("load.targets");
  scenario.m_duration =
      ReadTime(settings, "load.duration_ms", scenario.m_duration);
  scenario.m_drain = ReadTime(settings, "load.drain_ms", scenario.m_drain);
  scenario.m_seed = static_cast<std::uint64_t>(
      settings.GetInt("load.seed", 1, 0, 1'000'000'000));
  const std::string keys = settings.GetText("load.keys", "");
  scenario.m_history = settings.GetText("load.history", "");
  scenario.m_closed_callers =
      settings.GetInt("load.closed_callers", 0, 0, 10'000);
  scenario.m_direct = settings.GetBool("load.direct", false);
  for (const std::string& section : settings.Sections()) {
    if (section != "load") {
      scenario.m_streams.push_back(ReadStream(settings, section));
    }
  }
  FS_RETURN_IF_ERROR(settings.Finish());
  if (!keys.empty()) {
    FS_RETURN_IF_ERROR(ReadKeys(keys, scenario.m_streams));
  }
  if (scenario.m_targets.empty() || scenario.m_streams.empty()) {
    return Error(Code::kSettingsKeyMissing,
                 "load.targets and at least one stream section are needed");
  }
  return scenario;
}

double RateAt(const Stream& stream, Duration since_start) {
  if (IsWithin(since_start, stream.m_surge_at, stream.m_surge_for)) {
    return stream.m_rate * stream.m_surge_factor;
  }
  if (IsWithin(since_start, stream.m_trough_at, stream.m_trough_for)) {
    return stream.m_rate * stream.m_trough_factor;
  }
  return stream.m_rate;
}

}  // namespace filbertspar::load
