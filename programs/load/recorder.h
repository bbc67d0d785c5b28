#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar::load {

/// \brief Final state of one call as its caller saw it.
struct CallRecord {
  std::uint64_t m_call = 0;
  std::string m_stream;
  std::string m_team;
  std::string m_entry;
  std::string m_request_key;
  /// Id given by the caller, for queries and cancellation.
  std::string m_id;
  /// Request id given by the entry process; empty when none came.
  std::string m_request;
  /// Result code of the answer; -1 when no answer came.
  int m_code = -1;
  std::string m_outcome;
  /// True when the answer holds this call's own body, whole.
  bool m_own_answer = false;
  bool m_cancelled = false;
  std::int64_t m_sent_us = 0;
  std::int64_t m_answered_us = 0;
};

/// \brief Writes the history as JSON lines and counts outcomes.
class Recorder {
 public:
  /// \brief Opens the history file; no file is written for an empty path.
  absl::Status Open(const std::string& path);

  void Submitted(const CallRecord& call);
  void Answered(const CallRecord& call);

  /// \brief Totals per outcome and latencies as one JSON object.
  JsonObject Summary() const;

  std::uint64_t Open() const { return m_submitted - m_ended; }

 private:
  std::ofstream m_file;
  std::uint64_t m_submitted = 0;
  std::uint64_t m_ended = 0;
  std::uint64_t m_foreign = 0;
  std::map<std::string, std::uint64_t> m_outcomes;
  std::map<int, std::uint64_t> m_codes;
  std::vector<std::int64_t> m_latencies_us;
};

/// \brief Microseconds of UTC since 1970.
std::int64_t WallMicroseconds();

}  // namespace filbertspar::load
