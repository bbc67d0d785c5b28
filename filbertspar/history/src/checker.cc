#include "filbertspar/history/src/checker.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace filbertspar {
namespace {

using Records = std::vector<const HistoryRecord*>;

struct Call {
  const HistoryRecord* m_submitted = nullptr;
  Records m_answers;
};

struct Run {
  const HistoryRecord* m_started = nullptr;
  const HistoryRecord* m_ended = nullptr;
};

// A history, sorted by time and grouped.
struct Groups {
  Records m_sorted;
  std::map<std::uint64_t, Call> m_calls;
  /// By request id of the process that the caller talked to.
  absl::flat_hash_map<std::string, std::vector<Run>> m_runs;
  absl::flat_hash_map<std::string, std::string> m_origin;
  /// Requests of each team and request key.
  absl::flat_hash_map<std::string, std::vector<std::string>> m_by_key;
};

struct Context {
  const CheckOptions& m_options;
  Groups m_groups;
  CheckResult m_result;
};

void Report(Context& context, HistoryRule rule, std::string text) {
  ++context.m_result.m_counts[static_cast<std::size_t>(rule)];
  if (context.m_result.m_violations.size() <
      context.m_options.m_max_violations) {
    context.m_result.m_violations.push_back(
        {.m_rule = rule, .m_text = std::move(text)});
  }
}

// At one time, ends come before starts, so that a freed unit can be used.
int Rank(HistoryEvent event) {
  switch (event) {
    case HistoryEvent::kCeiling:
    case HistoryEvent::kKeyLive:
    case HistoryEvent::kKeyRevoked:
      return 0;
    case HistoryEvent::kEnded:
      return 1;
    default:
      return 2;
  }
}

const std::string& OriginOf(const Groups& groups, const std::string& request) {
  const auto found = groups.m_origin.find(request);
  return found == groups.m_origin.end() ? request : found->second;
}

std::string KeyOf(const HistoryRecord& record) {
  return record.m_request_key.empty()
             ? std::string()
             : record.m_team + '\n' + record.m_request_key;
}

void GroupRuns(Groups& groups) {
  absl::flat_hash_map<std::string, std::pair<std::string, std::size_t>> place;
  for (const HistoryRecord* record : groups.m_sorted) {
    if (record->m_event == HistoryEvent::kStarted) {
      const std::string& request = OriginOf(groups, record->m_request);
      std::vector<Run>& runs = groups.m_runs[request];
      place[record->m_attempt] = {request, runs.size()};
      runs.push_back({.m_started = record});
    }
  }
  // In a second pass, because a task may end in the microsecond of its start.
  for (const HistoryRecord* record : groups.m_sorted) {
    if (record->m_event == HistoryEvent::kEnded) {
      if (const auto found = place.find(record->m_attempt);
          found != place.end()) {
        groups.m_runs[found->second.first][found->second.second].m_ended =
            record;
      }
    }
  }
}

Groups GroupRecords(std::span<const HistoryRecord> records) {
  Groups groups;
  for (const HistoryRecord& record : records) {
    groups.m_sorted.push_back(&record);
    if (record.m_event == HistoryEvent::kForwarded) {
      groups.m_origin[record.m_request] = record.m_origin;
    }
  }
  std::stable_sort(groups.m_sorted.begin(), groups.m_sorted.end(),
                   [](const HistoryRecord* a, const HistoryRecord* b) {
                     return std::make_pair(a->m_time_us, Rank(a->m_event)) <
                            std::make_pair(b->m_time_us, Rank(b->m_event));
                   });
  for (const HistoryRecord* record : groups.m_sorted) {
    if (record->m_event == HistoryEvent::kSubmitted) {
      groups.m_calls[record->m_call].m_submitted = record;
    } else if (record->m_event == HistoryEvent::kAnswered ||
               record->m_event == HistoryEvent::kRefused) {
      groups.m_calls[record->m_call].m_answers.push_back(record);
    }
  }
  for (const auto& [number, call] : groups.m_calls) {
    if (call.m_submitted == nullptr || call.m_answers.empty()) {
      continue;
    }
    if (const std::string key = KeyOf(*call.m_submitted); !key.empty()) {
      groups.m_by_key[key].push_back(call.m_answers.front()->m_request);
    }
  }
  GroupRuns(groups);
  return groups;
}

std::string Describe(const HistoryRecord& record) {
  return std::string(ToString(record.m_event)) + " at " +
         std::to_string(record.m_time_us) + " us, call " +
         std::to_string(record.m_call) + ", request " + record.m_request +
         ", attempt " + record.m_attempt + ", team " + record.m_team;
}

const std::vector<Run>& RunsOf(const Groups& groups,
                               const std::string& request) {
  static const std::vector<Run> none;
  const auto found = groups.m_runs.find(request);
  return found == groups.m_runs.end() ? none : found->second;
}

// A ceiling with the time until which an earlier, higher one may still apply.
struct CeilingState {
  std::vector<std::pair<std::int64_t, std::int64_t>> m_changes;
  std::int64_t m_running = 0;
};

std::int64_t Allowed(const CeilingState& state, std::int64_t now,
                     std::int64_t grace) {
  std::int64_t allowed = 0;
  for (std::size_t i = 0; i < state.m_changes.size(); ++i) {
    const bool in_force = i + 1 == state.m_changes.size() ||
                          state.m_changes[i + 1].first + grace >= now;
    if (in_force) {
      allowed = std::max(allowed, state.m_changes[i].second);
    }
  }
  return allowed;
}

void CheckCeilings(Context& context) {
  const std::int64_t grace =
      (context.m_options.m_spread_bound + context.m_options.m_skew).count();
  absl::flat_hash_map<std::string, CeilingState> teams;
  absl::flat_hash_map<std::string, std::string> running;
  for (const HistoryRecord* record : context.m_groups.m_sorted) {
    if (record->m_event == HistoryEvent::kCeiling) {
      teams[record->m_team].m_changes.emplace_back(record->m_time_us,
                                                   record->m_units);
    } else if (record->m_event == HistoryEvent::kStarted) {
      ++context.m_result.m_started;
      CeilingState& team = teams[record->m_team];
      if (!running.emplace(record->m_attempt, record->m_team).second) {
        continue;
      }
      ++team.m_running;
      if (!team.m_changes.empty() &&
          team.m_running > Allowed(team, record->m_time_us, grace)) {
        Report(context, HistoryRule::kCeiling,
               Describe(*record) + ": " + std::to_string(team.m_running) +
                   " running");
      }
    } else if (record->m_event == HistoryEvent::kEnded) {
      const auto found = running.find(record->m_attempt);
      if (found != running.end()) {
        --teams[found->second].m_running;
        running.erase(found);
      }
    }
  }
}

struct KeyState {
  std::string m_team;
  std::int64_t m_revoked_us = std::numeric_limits<std::int64_t>::max();
};

absl::flat_hash_map<std::string, KeyState> KeysOf(const Groups& groups) {
  absl::flat_hash_map<std::string, KeyState> keys;
  for (const HistoryRecord* record : groups.m_sorted) {
    if (record->m_event == HistoryEvent::kKeyLive) {
      keys[record->m_key] = {.m_team = record->m_team};
    } else if (record->m_event == HistoryEvent::kKeyRevoked) {
      keys[record->m_key].m_revoked_us = record->m_time_us;
    }
  }
  return keys;
}

void CheckKeys(Context& context) {
  const auto keys = KeysOf(context.m_groups);
  if (keys.empty()) {
    return;
  }
  const std::int64_t grace =
      (context.m_options.m_spread_bound + context.m_options.m_skew).count();
  for (const auto& [number, call] : context.m_groups.m_calls) {
    if (call.m_submitted == nullptr || call.m_answers.empty() ||
        call.m_submitted->m_key.empty()) {
      continue;
    }
    const auto key = keys.find(call.m_submitted->m_key);
    for (const Run& run :
         RunsOf(context.m_groups, call.m_answers.front()->m_request)) {
      const HistoryRecord& started = *run.m_started;
      if (key == keys.end()) {
        Report(context, HistoryRule::kKey, Describe(started) + ": unknown key");
      } else if (key->second.m_team != started.m_team) {
        Report(context, HistoryRule::kKey,
               Describe(started) + ": key of team " + key->second.m_team);
      } else if (key->second.m_revoked_us < started.m_time_us - grace) {
        Report(context, HistoryRule::kKey, Describe(started) + ": revoked key");
      }
    }
  }
}

void CheckAtMostOnce(Context& context) {
  for (const auto& [key, requests] : context.m_groups.m_by_key) {
    std::set<std::string> seen(requests.begin(), requests.end());
    std::size_t runs = 0;
    for (const std::string& request : seen) {
      for (const Run& run : RunsOf(context.m_groups, request)) {
        if (++runs > 1) {
          Report(context, HistoryRule::kAtMostOnce,
                 Describe(*run.m_started) + ": start number " +
                     std::to_string(runs));
        }
      }
    }
  }
}

// Requests whose runs may have produced the answer of a call.
std::vector<std::string> SourcesOf(const Groups& groups, const Call& call,
                                   const HistoryRecord& answer) {
  std::vector<std::string> sources = {answer.m_request};
  if (call.m_submitted != nullptr) {
    const auto found = groups.m_by_key.find(KeyOf(*call.m_submitted));
    if (found != groups.m_by_key.end()) {
      sources.insert(sources.end(), found->second.begin(), found->second.end());
    }
  }
  return sources;
}

bool IsOwnAnswer(const Context& context, const std::vector<Run>& runs,
                 const HistoryRecord& answer) {
  return std::any_of(runs.begin(), runs.end(), [&](const Run& run) {
    return run.m_ended != nullptr && run.m_ended->m_outcome == "done" &&
           run.m_ended->m_time_us <=
               answer.m_time_us + context.m_options.m_skew.count() &&
           (answer.m_digest.empty() ||
            run.m_ended->m_digest == answer.m_digest);
  });
}

void CheckAnswer(Context& context, const Call& call,
                 const HistoryRecord& answer) {
  const Groups& groups = context.m_groups;
  if (answer.m_outcome == "not run") {
    if (!answer.m_request.empty() &&
        !RunsOf(groups, answer.m_request).empty()) {
      Report(context, HistoryRule::kTrueRefusal, Describe(answer));
    }
    return;
  }
  if (answer.m_outcome != "ran") {
    return;
  }
  bool started = false;
  bool own = false;
  for (const std::string& request : SourcesOf(groups, call, answer)) {
    const std::vector<Run>& runs = RunsOf(groups, request);
    started = started || !runs.empty();
    own = own || IsOwnAnswer(context, runs, answer);
  }
  if (!started) {
    Report(context, HistoryRule::kTrueRan, Describe(answer));
  }
  const bool success = answer.m_code == static_cast<int>(Code::kOk);
  if (success && (!own || !answer.m_own_answer.value_or(true))) {
    Report(context, HistoryRule::kOwnAnswer, Describe(answer));
  }
}

void CheckAnswers(Context& context) {
  for (const auto& [number, call] : context.m_groups.m_calls) {
    ++context.m_result.m_calls;
    if (call.m_submitted == nullptr) {
      Report(context, HistoryRule::kOneAnswer,
             Describe(*call.m_answers.front()) + ": never submitted");
    } else if (call.m_answers.size() > 1 ||
               (call.m_answers.empty() && !context.m_options.m_may_be_cut)) {
      Report(context, HistoryRule::kOneAnswer,
             Describe(*call.m_submitted) + ": " +
                 std::to_string(call.m_answers.size()) + " answers");
    }
    for (const HistoryRecord* answer : call.m_answers) {
      CheckAnswer(context, call, *answer);
    }
  }
}

}  // namespace

std::uint64_t CheckResult::Total() const {
  return std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t{0});
}

std::string_view ToString(HistoryRule rule) {
  constexpr std::array<std::string_view, kHistoryRules> kNames = {
      "ceiling",      "key",      "at_most_once", "own_answer",
      "true_refusal", "true_ran", "one_answer"};
  return kNames[static_cast<std::size_t>(rule)];
}

CheckResult CheckHistory(std::span<const HistoryRecord> records,
                         const CheckOptions& options) {
  Context context{
      .m_options = options, .m_groups = GroupRecords(records), .m_result = {}};
  CheckCeilings(context);
  CheckKeys(context);
  CheckAtMostOnce(context);
  CheckAnswers(context);
  return std::move(context.m_result);
}

}  // namespace filbertspar
