#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "filbertspar/burn/src/record.h"
#include "filbertspar/catalogue/catalogue.h"

namespace filbertspar {

/// \brief Time for which an error budget is given: four weeks, the round of
/// maintenance.
inline constexpr std::int64_t kBudgetMinutes = 28 * 24 * 60;

/// \brief Alert on two windows: the rate at which the budget burns must be
/// above the threshold in both. The long one shows that it matters, the short
/// one that it still goes on (The Site Reliability Workbook, chapter 5).
struct BurnRule {
  std::string m_name;
  std::int64_t m_long_minutes = 60;
  std::int64_t m_short_minutes = 5;
  /// Part of the budget that burns within the long window at the threshold.
  double m_budget_part = 0.02;

  /// Burn rate 1 spends exactly the budget within its time.
  double Threshold() const {
    return m_budget_part * static_cast<double>(kBudgetMinutes) /
           static_cast<double>(m_long_minutes);
  }
};

/// \brief 2% of the budget within 1 h, 5% within 6 h, 10% within 3 days; the
/// short window is a twelfth of the long one.
const std::vector<BurnRule>& DefaultBurnRules();

/// \brief Good and bad requests of one minute, by cause.
struct BurnMinute {
  std::int64_t m_total = 0;
  std::int64_t m_bad = 0;
};

/// \brief Cause of a bad request: the name of its result code, "late" for one
/// that was answered after the objective's time, "no_answer" for one without an
/// answer.
using CauseCounts = std::map<std::string, std::int64_t>;

struct BurnHour {
  /// Hours of UTC since 1970.
  std::int64_t m_hour = 0;
  std::int64_t m_total = 0;
  CauseCounts m_causes;
  std::int64_t Bad() const;
};

/// \brief Span in which a rule fired.
struct BurnAlert {
  std::string m_rule = {};
  /// Minutes of UTC since 1970, the first and the one after the last.
  std::int64_t m_from = 0;
  std::int64_t m_to = 0;
  /// Largest burn rate of the long window in the span.
  double m_peak = 0;
  /// Most frequent cause within the span and its long window before it.
  std::string m_cause = {};
};

/// \brief State of one rule at the end of the history.
struct BurnRate {
  BurnRule m_rule;
  /// The part of the long window before the history counts as good.
  double m_long = 0;
  double m_short = 0;
};

struct ObjectiveReport {
  Objective m_objective;
  std::int64_t m_total = 0;
  std::int64_t m_bad = 0;
  CauseCounts m_causes;
  /// Bad requests relative to those that the target allows; 1 is all of the
  /// budget of the recorded requests.
  double m_budget_used = 0;
  /// Minutes of UTC since 1970 of the first of m_minutes.
  std::int64_t m_first_minute = 0;
  std::vector<BurnMinute> m_minutes;
  std::vector<BurnHour> m_hours;
  std::vector<BurnRate> m_rates;
  std::vector<BurnAlert> m_alerts;
  /// Position in m_hours of the hour with most bad requests; -1 without any.
  int m_worst_hour = -1;
};

struct BurnReport {
  std::vector<ObjectiveReport> m_objectives;
  /// Requests that no objective covers.
  std::int64_t m_uncovered = 0;
  /// Requests that count as neither good nor bad, since the caller caused
  /// their result: bad input, a wrong key, its own cancellation.
  std::int64_t m_excluded = 0;
};

/// \brief True for results that say nothing about the service.
bool IsCallersOwn(int code);

/// \brief The most frequent cause, the first by name of equal ones; empty
/// without any.
std::string MainCause(const CauseCounts& causes);

/// \brief Burn rate over the `minutes` before minute `end`: the share of bad
/// requests relative to the share that the target allows; 0 without requests.
double BurnRateAt(const ObjectiveReport& report, std::int64_t end,
                  std::int64_t minutes);

/// \brief Judges every request of the history by the objective of its team's
/// workspace and its entry's class. Requests count in the minute of their
/// submission.
BurnReport MakeBurnReport(const Catalogue& catalogue,
                          const std::vector<CallRecord>& calls,
                          const std::vector<BurnRule>& rules);

}  // namespace filbertspar
