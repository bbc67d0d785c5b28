#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/history/src/record.h"

namespace filbertspar {

/// \brief What a history is checked for.
enum class HistoryRule : std::uint8_t {
  /// No task starts while its team has its ceiling running.
  kCeiling,
  /// Work runs only for the key's team, and not under a revoked key.
  kKey,
  /// At most one task starts per team and request key.
  kAtMostOnce,
  /// A successful answer is the result of a finished task of that request.
  kOwnAnswer,
  /// No task of a request answered with "not run" ever starts.
  kTrueRefusal,
  /// A task of a request answered with "ran" has started.
  kTrueRan,
  /// Every submitted request has exactly one final answer.
  kOneAnswer,
};
inline constexpr std::size_t kHistoryRules = 7;

struct CheckOptions {
  /// Time after a ceiling is lowered or a key is revoked until which the old
  /// state may still be acted upon.
  Duration m_spread_bound = Seconds(2);
  /// Largest difference between the clocks of the recording processes.
  Duration m_skew{0};
  /// Calls may lack their answer, because the recording was cut off.
  bool m_may_be_cut = false;
  /// Violations kept with their text; all are counted.
  std::size_t m_max_violations = 100;
};

struct Violation {
  HistoryRule m_rule = HistoryRule::kCeiling;
  std::string m_text;
};

struct CheckResult {
  std::vector<Violation> m_violations;
  std::array<std::uint64_t, kHistoryRules> m_counts{};
  std::uint64_t m_calls = 0;
  std::uint64_t m_started = 0;

  std::uint64_t Total() const;
};

std::string_view ToString(HistoryRule rule);

/// \brief Checks a whole history. The records may come in any order, as when
/// the files of several processes are read one after the other.
CheckResult CheckHistory(std::span<const HistoryRecord> records,
                         const CheckOptions& options);

}  // namespace filbertspar
