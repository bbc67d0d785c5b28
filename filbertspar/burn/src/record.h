#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief One request as its caller saw it. Times are microseconds of UTC
/// since 1970.
struct CallRecord {
  TeamName m_team;
  EntryName m_entry;
  std::int64_t m_sent_us = 0;
  /// 0 when no answer is recorded.
  std::int64_t m_answered_us = 0;
  /// Result code; -1 without an answer.
  int m_code = -1;
};

/// \brief Reads a history of JSON lines as filbertspar-load writes it
/// ("submitted" and "answered" events paired by "call") and appends its calls
/// in the order of submission. `name` stands for the file in messages.
/// kBadField with the line's number for a line that cannot be read.
absl::Status ReadHistory(std::istream& in, const std::string& name,
                         std::vector<CallRecord>& calls);

}  // namespace filbertspar
