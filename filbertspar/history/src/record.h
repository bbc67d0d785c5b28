#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar {

enum class HistoryEvent : std::uint8_t {
  /// A caller sent a request.
  kSubmitted,
  /// A caller got its final answer.
  kAnswered,
  /// A caller got a refusal; a final answer whose outcome is "not run".
  kRefused,
  /// A peer took over request `m_origin` as request `m_request`.
  kForwarded,
  /// A task started or ended at a worker.
  kStarted,
  kEnded,
  /// A team's ceiling became `m_units`.
  kCeiling,
  /// A key of a team became live or was revoked.
  kKeyLive,
  kKeyRevoked,
};

/// \brief One line of a history. Fields that an event does not use are empty.
struct HistoryRecord {
  HistoryEvent m_event = HistoryEvent::kSubmitted;
  std::int64_t m_time_us = 0;
  std::string m_node{};
  /// Number given by the caller, unique within the history; 0 means none.
  std::uint64_t m_call = 0;
  /// Ids as the processes print them.
  std::string m_request{};
  std::string m_origin{};
  std::string m_attempt{};
  std::string m_worker{};
  std::string m_team{};
  std::string m_entry{};
  std::string m_key{};
  /// Names a non-repeatable request within its team.
  std::string m_request_key{};
  /// Result code; -1 when no answer came.
  int m_code = 0;
  /// "ran", "not run" or "unknown" of an answer; "done", "failed" or "stopped"
  /// of an ended task.
  std::string m_outcome{};
  /// Digest of the answer, or of the result of an ended task.
  std::string m_digest{};
  /// The caller's own verdict on the answer, where it has one.
  std::optional<bool> m_own_answer{};
  std::int64_t m_units = 0;
};

std::string_view ToString(HistoryEvent event);

/// \brief One JSON object per line; empty fields are left out.
JsonObject ToJson(const HistoryRecord& record);
/// \brief kBadField on an unknown or bad field.
absl::Status FromJson(const JsonObject& object, HistoryRecord& out);

void WriteRecord(std::ostream& out, const HistoryRecord& record);
/// \brief Appends the records of a file of JSON lines; the error names the
/// line.
absl::Status ReadHistory(std::istream& in, std::vector<HistoryRecord>& out);

}  // namespace filbertspar
