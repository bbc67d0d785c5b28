#include "filbertspar/history/src/record.h"

#include <algorithm>
#include <array>

namespace filbertspar {
namespace {

constexpr std::array<std::string_view, 9> kEventNames = {
    "submitted", "answered", "refused",  "forwarded",  "started",
    "ended",     "ceiling",  "key_live", "key_revoked"};

void Put(JsonObject& object, std::string_view field, const std::string& value) {
  if (!value.empty()) {
    object[field] = value;
  }
}

}  // namespace

std::string_view ToString(HistoryEvent event) {
  return kEventNames[static_cast<std::size_t>(event)];
}

JsonObject ToJson(const HistoryRecord& record) {
  JsonObject object;
  object["event"] = ToString(record.m_event);
  object["time_us"] = record.m_time_us;
  Put(object, "node", record.m_node);
  if (record.m_call != 0) {
    object["call"] = record.m_call;
  }
  Put(object, "request", record.m_request);
  Put(object, "origin", record.m_origin);
  Put(object, "attempt", record.m_attempt);
  Put(object, "worker", record.m_worker);
  Put(object, "team", record.m_team);
  Put(object, "entry", record.m_entry);
  Put(object, "key", record.m_key);
  Put(object, "request_key", record.m_request_key);
  if (record.m_event == HistoryEvent::kAnswered ||
      record.m_event == HistoryEvent::kRefused) {
    object["code"] = record.m_code;
  }
  Put(object, "outcome", record.m_outcome);
  Put(object, "digest", record.m_digest);
  if (record.m_own_answer) {
    object["own_answer"] = *record.m_own_answer;
  }
  if (record.m_event == HistoryEvent::kCeiling) {
    object["units"] = record.m_units;
  }
  return object;
}

absl::Status FromJson(const JsonObject& object, HistoryRecord& out) {
  FieldReader reader(object, "record");
  std::string event;
  std::int64_t call = 0;
  std::int64_t code = 0;
  // Written by the load tool for its own reports.
  std::string stream;
  bool cancelled = false;
  reader.Read("event", event);
  const auto name = std::find(kEventNames.begin(), kEventNames.end(), event);
  if (name == kEventNames.end()) {
    reader.Fail("event", "the name of an event");
  } else {
    out.m_event = static_cast<HistoryEvent>(name - kEventNames.begin());
  }
  reader.Read("time_us", out.m_time_us);
  reader.ReadOptional("node", out.m_node);
  reader.ReadOptional("call", call);
  out.m_call = static_cast<std::uint64_t>(call);
  reader.ReadOptional("request", out.m_request);
  reader.ReadOptional("origin", out.m_origin);
  reader.ReadOptional("attempt", out.m_attempt);
  reader.ReadOptional("worker", out.m_worker);
  reader.ReadOptional("team", out.m_team);
  reader.ReadOptional("entry", out.m_entry);
  reader.ReadOptional("key", out.m_key);
  reader.ReadOptional("request_key", out.m_request_key);
  reader.ReadOptional("code", code, IntRange{.m_min = -1});
  out.m_code = static_cast<int>(code);
  reader.ReadOptional("outcome", out.m_outcome);
  reader.ReadOptional("digest", out.m_digest);
  if (reader.Has("own_answer")) {
    bool own = false;
    reader.Read("own_answer", own);
    out.m_own_answer = own;
  }
  reader.ReadOptional("units", out.m_units);
  reader.ReadOptional("stream", stream);
  reader.ReadOptional("cancelled", cancelled);
  return reader.Finish();
}

void WriteRecord(std::ostream& out, const HistoryRecord& record) {
  out << ToText(ToJson(record)) << '\n';
}

absl::Status ReadHistory(std::istream& in, std::vector<HistoryRecord>& out) {
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    absl::StatusOr<JsonObject> object = ParseJsonObject(line);
    absl::Status status = object.status();
    if (status.ok()) {
      status = FromJson(*object, out.emplace_back());
    }
    if (!status.ok()) {
      return Error(CodeOf(status), "line " + std::to_string(number) + ": " +
                                       std::string(status.message()));
    }
  }
  return absl::OkStatus();
}

}  // namespace filbertspar
