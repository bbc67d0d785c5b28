#include "programs/load/recorder.h"

#include <algorithm>
#include <chrono>

namespace filbertspar::load {
namespace {

std::int64_t Quantile(const std::vector<std::int64_t>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

}  // namespace

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

absl::Status Recorder::Open(const std::string& path) {
  if (path.empty()) {
    return absl::OkStatus();
  }
  m_file.open(path);
  if (!m_file) {
    return Error(Code::kSettingsBadValue,
                 path + ": expected a file that can be written");
  }
  return absl::OkStatus();
}

void Recorder::Submitted(const CallRecord& call) {
  ++m_submitted;
  if (m_file.is_open()) {
    m_file << ToText(JsonObject{{"event", "submitted"},
                                {"call", call.m_call},
                                {"stream", call.m_stream},
                                {"team", call.m_team},
                                {"entry", call.m_entry},
                                {"request_key", call.m_request_key},
                                {"time_us", call.m_sent_us}})
           << '\n';
  }
}

void Recorder::Answered(const CallRecord& call) {
  ++m_ended;
  ++m_outcomes[call.m_outcome];
  ++m_codes[call.m_code];
  if (call.m_code == static_cast<int>(Code::kOk)) {
    m_latencies_us.push_back(call.m_answered_us - call.m_sent_us);
    m_foreign += call.m_own_answer ? 0 : 1;
  }
  if (m_file.is_open()) {
    m_file << ToText(JsonObject{{"event", "answered"},
                                {"call", call.m_call},
                                {"team", call.m_team},
                                {"entry", call.m_entry},
                                {"request_key", call.m_request_key},
                                {"request", call.m_request},
                                {"code", call.m_code},
                                {"outcome", call.m_outcome},
                                {"own_answer", call.m_own_answer},
                                {"cancelled", call.m_cancelled},
                                {"time_us", call.m_answered_us}})
           << '\n';
  }
}

JsonObject Recorder::Summary() const {
  std::vector<std::int64_t> sorted = m_latencies_us;
  std::sort(sorted.begin(), sorted.end());
  JsonObject codes;
  for (const auto& [code, count] : m_codes) {
    codes[std::to_string(code)] = count;
  }
  JsonObject outcomes;
  for (const auto& [outcome, count] : m_outcomes) {
    outcomes[outcome] = count;
  }
  return {
      {"submitted", m_submitted},         {"ended", m_ended},
      {"missing", m_submitted - m_ended}, {"foreign_answers", m_foreign},
      {"outcomes", std::move(outcomes)},  {"codes", std::move(codes)},
      {"p50_us", Quantile(sorted, 0.5)},  {"p99_us", Quantile(sorted, 0.99)}};
}

}  // namespace filbertspar::load
