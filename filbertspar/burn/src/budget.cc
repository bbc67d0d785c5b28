#include "filbertspar/burn/src/budget.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/base/base.h"

namespace filbertspar {
namespace {

constexpr std::int64_t kMinuteUs = 60'000'000;
constexpr std::int64_t kHourMinutes = 60;

/// Sums up to each minute, so that the rate of any window costs O(1).
struct Sums {
  explicit Sums(const std::vector<BurnMinute>& minutes) {
    m_total.push_back(0);
    m_bad.push_back(0);
    for (const BurnMinute& minute : minutes) {
      m_total.push_back(m_total.back() + minute.m_total);
      m_bad.push_back(m_bad.back() + minute.m_bad);
    }
  }
  /// Share of bad requests in the `length` minutes before position `end`.
  double BadShare(std::int64_t end, std::int64_t length) const {
    const auto last = static_cast<std::int64_t>(m_total.size()) - 1;
    const auto to =
        static_cast<std::size_t>(std::clamp<std::int64_t>(end, 0, last));
    const auto from = static_cast<std::size_t>(
        std::clamp<std::int64_t>(end - length, 0, last));
    const std::int64_t total = m_total[to] - m_total[from];
    return total == 0 ? 0
                      : static_cast<double>(m_bad[to] - m_bad[from]) /
                            static_cast<double>(total);
  }

  std::vector<std::int64_t> m_total;
  std::vector<std::int64_t> m_bad;
};

/// Cause for which a request is bad; nothing for a good one.
std::optional<std::string> CauseOf(const CallRecord& call,
                                   const Objective& objective) {
  if (call.m_code < 0) {
    return "no_answer";
  }
  if (call.m_code != static_cast<int>(Code::kOk)) {
    const std::optional<Code> code = CodeFromNumber(call.m_code);
    return code ? std::string(Describe(*code).m_name)
                : std::to_string(call.m_code);
  }
  if (call.m_answered_us - call.m_sent_us > objective.m_latency.count()) {
    return "late";
  }
  return std::nullopt;
}

struct Found {
  std::int64_t m_minute = 0;
  std::optional<std::string> m_cause;
};

/// Part of a window before position `end` that the history covers. Time before
/// the history counts as good: one bad request among the first few would make
/// every rule fire.
double Covered(std::int64_t end, std::int64_t length) {
  return static_cast<double>(std::min(end, length)) /
         static_cast<double>(length);
}

double Allowed(const Objective& objective) {
  return std::max(1 - objective.m_target,
                  std::numeric_limits<double>::epsilon());
}

void FillSeries(const std::vector<Found>& found, ObjectiveReport& report) {
  if (found.empty()) {
    return;
  }
  const auto [first, last] = std::minmax_element(
      found.begin(), found.end(),
      [](const Found& a, const Found& b) { return a.m_minute < b.m_minute; });
  report.m_first_minute = first->m_minute;
  report.m_minutes.resize(
      static_cast<std::size_t>(last->m_minute - first->m_minute) + 1);
  std::map<std::int64_t, BurnHour> hours;
  for (const Found& each : found) {
    BurnMinute& minute = report.m_minutes[static_cast<std::size_t>(
        each.m_minute - report.m_first_minute)];
    BurnHour& hour = hours[each.m_minute / kHourMinutes];
    hour.m_hour = each.m_minute / kHourMinutes;
    ++minute.m_total;
    ++hour.m_total;
    ++report.m_total;
    if (each.m_cause) {
      ++minute.m_bad;
      ++hour.m_causes[*each.m_cause];
      ++report.m_bad;
      ++report.m_causes[*each.m_cause];
    }
  }
  std::int64_t worst = 0;
  for (auto& [number, hour] : hours) {
    if (hour.Bad() > worst) {
      worst = hour.Bad();
      report.m_worst_hour = static_cast<int>(report.m_hours.size());
    }
    report.m_hours.push_back(std::move(hour));
  }
}

std::string CauseBetween(const std::vector<Found>& found, std::int64_t from,
                         std::int64_t to) {
  CauseCounts causes;
  for (const Found& each : found) {
    if (each.m_cause && each.m_minute >= from && each.m_minute < to) {
      ++causes[*each.m_cause];
    }
  }
  return MainCause(causes);
}

void FindAlerts(const BurnRule& rule, const std::vector<Found>& found,
                ObjectiveReport& report) {
  const Sums sums(report.m_minutes);
  const double allowed = Allowed(report.m_objective);
  const auto minutes = static_cast<std::int64_t>(report.m_minutes.size());
  std::optional<BurnAlert> open;
  for (std::int64_t end = 1; end <= minutes + 1; ++end) {
    const double slow = sums.BadShare(end, rule.m_long_minutes) / allowed *
                        Covered(end, rule.m_long_minutes);
    const double quick = sums.BadShare(end, rule.m_short_minutes) / allowed;
    const bool fires =
        end <= minutes && slow > rule.Threshold() && quick > rule.Threshold();
    const std::int64_t minute = report.m_first_minute + end - 1;
    if (fires && !open) {
      open = BurnAlert{.m_rule = rule.m_name, .m_from = minute};
    }
    if (fires) {
      open->m_peak = std::max(open->m_peak, slow);
    } else if (open) {
      open->m_to = minute;
      open->m_cause =
          CauseBetween(found, open->m_from - rule.m_long_minutes + 1, minute);
      report.m_alerts.push_back(*std::exchange(open, std::nullopt));
    }
  }
}

}  // namespace

const std::vector<BurnRule>& DefaultBurnRules() {
  static const std::vector<BurnRule> rules = {
      {"fast", 60, 5, 0.02},
      {"medium", 6 * 60, 30, 0.05},
      {"slow", 3 * 24 * 60, 6 * 60, 0.10}};
  return rules;
}

std::int64_t BurnHour::Bad() const {
  std::int64_t bad = 0;
  for (const auto& [cause, count] : m_causes) {
    bad += count;
  }
  return bad;
}

bool IsCallersOwn(int code) {
  const std::optional<Code> known = CodeFromNumber(code);
  if (!known) {
    return false;
  }
  switch (*known) {
    case Code::kBadJson:
    case Code::kBadField:
    case Code::kBodyTooLarge:
    case Code::kKeyMissing:
    case Code::kKeyUnknown:
    case Code::kKeyRevoked:
    case Code::kEntryUnknown:
    case Code::kEntryNotAllowed:
    case Code::kEntryWithdrawn:
    case Code::kCancelled:
    case Code::kStoppedByCancel:
    case Code::kRequestKeyMissing:
    case Code::kUnknownPath:
    case Code::kSlowClient:
      return true;
    default:
      return false;
  }
}

std::string MainCause(const CauseCounts& causes) {
  const auto found = std::max_element(
      causes.begin(), causes.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return found == causes.end() ? "" : found->first;
}

double BurnRateAt(const ObjectiveReport& report, std::int64_t end,
                  std::int64_t minutes) {
  std::int64_t total = 0;
  std::int64_t bad = 0;
  const auto size = static_cast<std::int64_t>(report.m_minutes.size());
  const std::int64_t to =
      std::clamp<std::int64_t>(end - report.m_first_minute, 0, size);
  const std::int64_t from =
      std::clamp<std::int64_t>(end - minutes - report.m_first_minute, 0, size);
  for (std::int64_t i = from; i < to; ++i) {
    total += report.m_minutes[static_cast<std::size_t>(i)].m_total;
    bad += report.m_minutes[static_cast<std::size_t>(i)].m_bad;
  }
  return total == 0 ? 0
                    : static_cast<double>(bad) / static_cast<double>(total) /
                          Allowed(report.m_objective);
}

BurnReport MakeBurnReport(const Catalogue& catalogue,
                          const std::vector<CallRecord>& calls,
                          const std::vector<BurnRule>& rules) {
  BurnReport report;
  std::vector<std::vector<Found>> found(catalogue.m_objectives.size());
  using Pair = std::pair<std::string, WorkClass>;
  std::map<Pair, std::size_t> objective_of;
  for (std::size_t i = 0; i < catalogue.m_objectives.size(); ++i) {
    const Objective& objective = catalogue.m_objectives[i];
    objective_of[{objective.m_workspace.Value(), objective.m_class}] = i;
  }
  absl::flat_hash_map<TeamName, std::string> workspace_of;
  for (const Team& team : catalogue.m_teams) {
    workspace_of[team.m_name] = team.m_workspace.Value();
  }
  absl::flat_hash_map<EntryName, const CatalogueEntry*> entry_of;
  for (const CatalogueEntry& entry : catalogue.m_entries) {
    entry_of[entry.m_name] = &entry;
  }
  for (const CallRecord& call : calls) {
    if (IsCallersOwn(call.m_code)) {
      ++report.m_excluded;
      continue;
    }
    const auto entry = entry_of.find(call.m_entry);
    if (entry == entry_of.end()) {
      ++report.m_uncovered;
      continue;
    }
    // Open work is charged to the owner, whoever sent it.
    const bool by_owner = entry->second->m_open || call.m_team.Empty();
    const auto workspace =
        workspace_of.find(by_owner ? entry->second->m_owner : call.m_team);
    const auto objective =
        workspace == workspace_of.end()
            ? objective_of.end()
            : objective_of.find({workspace->second, entry->second->m_class});
    if (objective == objective_of.end()) {
      ++report.m_uncovered;
      continue;
    }
    found[objective->second].push_back(
        {call.m_sent_us / kMinuteUs,
         CauseOf(call, catalogue.m_objectives[objective->second])});
  }
  for (std::size_t i = 0; i < found.size(); ++i) {
    ObjectiveReport each;
    each.m_objective = catalogue.m_objectives[i];
    FillSeries(found[i], each);
    if (each.m_total > 0) {
      each.m_budget_used = static_cast<double>(each.m_bad) /
                           static_cast<double>(each.m_total) /
                           Allowed(each.m_objective);
    }
    const std::int64_t end =
        each.m_first_minute + static_cast<std::int64_t>(each.m_minutes.size());
    for (const BurnRule& rule : rules) {
      const double covered =
          Covered(static_cast<std::int64_t>(each.m_minutes.size()),
                  rule.m_long_minutes);
      each.m_rates.push_back(
          {rule, covered * BurnRateAt(each, end, rule.m_long_minutes),
           BurnRateAt(each, end, rule.m_short_minutes)});
      FindAlerts(rule, found[i], each);
    }
    report.m_objectives.push_back(std::move(each));
  }
  return report;
}

}  // namespace filbertspar
