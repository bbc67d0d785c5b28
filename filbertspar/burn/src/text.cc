#include "filbertspar/burn/src/text.h"

#include <array>
#include <cstdarg>
#include <cstdio>
#include <ctime>
#include <map>

namespace filbertspar {
namespace {

// A format string keeps the columns of a table readable here.
std::string Format(const char* format, ...)  // NOLINT(cert-dcl50-cpp)
    __attribute__((format(printf, 1, 2)));
std::string Format(const char* format, ...) {  // NOLINT(cert-dcl50-cpp)
  std::array<char, 512> buffer{};
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(buffer.data(), buffer.size(), format, arguments);
  va_end(arguments);
  return buffer.data();
}

std::string NameOf(const Objective& objective) {
  return objective.m_workspace.Value() + " " +
         std::string(ToString(objective.m_class));
}

void AppendObjective(const ObjectiveReport& each, std::string& text) {
  const Objective& objective = each.m_objective;
  text += Format("\n%s: %.6g%% within %lld ms\n", NameOf(objective).c_str(),
                 objective.m_target * 100,
                 static_cast<long long>(ToMilliseconds(objective.m_latency)));
  if (each.m_total == 0) {
    text += "  no requests\n";
    return;
  }
  text += Format(
      "  requests %lld, bad %lld (%.3f%%), budget used %.0f%%\n",
      static_cast<long long>(each.m_total), static_cast<long long>(each.m_bad),
      100 * static_cast<double>(each.m_bad) / static_cast<double>(each.m_total),
      100 * each.m_budget_used);
  for (const auto& [cause, count] : each.m_causes) {
    text += Format("    %-20s %lld\n", cause.c_str(),
                   static_cast<long long>(count));
  }
  text += "  burn rate now         long window     short window  threshold\n";
  for (const BurnRate& rate : each.m_rates) {
    const BurnRule& rule = rate.m_rule;
    text +=
        Format("    %-10s %8lld min %7.2f %4lld min %7.2f %10.2f%s\n",
               rule.m_name.c_str(), static_cast<long long>(rule.m_long_minutes),
               rate.m_long, static_cast<long long>(rule.m_short_minutes),
               rate.m_short, rule.Threshold(),
               rate.m_long > rule.Threshold() && rate.m_short > rule.Threshold()
                   ? "  FIRES"
                   : "");
  }
  for (const BurnAlert& alert : each.m_alerts) {
    text += Format("  alert %s from %s to %s, peak %.1f, cause %s\n",
                   alert.m_rule.c_str(), MinuteText(alert.m_from).c_str(),
                   MinuteText(alert.m_to).c_str(), alert.m_peak,
                   alert.m_cause.c_str());
  }
  if (each.m_worst_hour >= 0) {
    text += "  " + WorstHourText(each) + "\n";
  }
}

void AppendAccount(const AccountRecord& account, std::string& text) {
  if (!account.m_shares.empty()) {
    text += Format(
        "\nShares in slot-hours\n  %-24s %10s %10s %8s %10s %10s %8s\n", "team",
        "owed", "received", "ratio", "lent", "borrowed", "touched");
    for (const ShareHour& sum : SumByTeam(account)) {
      text += Format("  %-24s %10.2f %10.2f %8.3f %10.2f %10.2f %8lld\n",
                     sum.m_team.c_str(), sum.m_owed / 3600, sum.m_got / 3600,
                     sum.m_owed > 0 ? sum.m_got / sum.m_owed : 0,
                     sum.m_lent / 3600, sum.m_borrowed / 3600,
                     static_cast<long long>(sum.m_touched_tasks));
    }
  }
  if (!account.m_pools.empty()) {
    std::map<std::string, PoolHour> sums;
    for (const PoolHour& hour : account.m_pools) {
      sums[hour.m_pool].m_buffer_vm_hours += hour.m_buffer_vm_hours;
      sums[hour.m_pool].m_moves += hour.m_moves;
    }
    text += Format("\nBuffer\n  %-24s %10s %8s\n", "pool", "VM-hours", "moves");
    for (const auto& [pool, sum] : sums) {
      text +=
          Format("  %-24s %10.2f %8lld\n", pool.c_str(), sum.m_buffer_vm_hours,
                 static_cast<long long>(sum.m_moves));
    }
  }
  if (!account.m_waves.empty()) {
    text += Format("\nRoll-out\n  %-24s %8s %10s\n", "wave", "VMs", "hours");
    for (const WaveRecord& wave : account.m_waves) {
      text += wave.m_ended_ms == 0
                  ? Format("  %-24s %8lld %10s\n", wave.m_name.c_str(),
                           static_cast<long long>(wave.m_vms), "goes on")
                  : Format("  %-24s %8lld %10.2f\n", wave.m_name.c_str(),
                           static_cast<long long>(wave.m_vms),
                           static_cast<double>(wave.m_ended_ms -
                                               wave.m_started_ms) /
                               3.6e6);
    }
  }
}

}  // namespace

std::string MinuteText(std::int64_t minute) {
  const auto seconds = static_cast<std::time_t>(minute * 60);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M", &parts);
  return text.data();
}

std::string WorstHourText(const ObjectiveReport& report) {
  if (report.m_worst_hour < 0) {
    return "";
  }
  const BurnHour& hour =
      report.m_hours[static_cast<std::size_t>(report.m_worst_hour)];
  const std::string cause = MainCause(hour.m_causes);
  return Format(
      "worst hour %s UTC, workspace %s, class %s: %lld of %lld bad, "
      "most by %s (%lld)",
      MinuteText(hour.m_hour * 60).c_str(),
      report.m_objective.m_workspace.Value().c_str(),
      std::string(ToString(report.m_objective.m_class)).c_str(),
      static_cast<long long>(hour.Bad()), static_cast<long long>(hour.m_total),
      cause.c_str(), static_cast<long long>(hour.m_causes.at(cause)));
}

std::vector<ShareHour> SumByTeam(const AccountRecord& account) {
  std::map<std::string, ShareHour> sums;
  for (const ShareHour& hour : account.m_shares) {
    ShareHour& sum = sums[hour.m_team];
    sum.m_team = hour.m_team;
    sum.m_owed += hour.m_owed;
    sum.m_got += hour.m_got;
    sum.m_lent += hour.m_lent;
    sum.m_borrowed += hour.m_borrowed;
    sum.m_touched_tasks += hour.m_touched_tasks;
  }
  std::vector<ShareHour> list;
  list.reserve(sums.size());
  for (auto& [team, sum] : sums) {
    list.push_back(std::move(sum));
  }
  return list;
}

std::string ReportAsText(const BurnReport& report,
                         const AccountRecord& account) {
  std::string text = "Service-level burn report, times in UTC\n";
  text +=
      Format("excluded as the caller's own: %lld, without objective: %lld\n",
             static_cast<long long>(report.m_excluded),
             static_cast<long long>(report.m_uncovered));
  for (const ObjectiveReport& each : report.m_objectives) {
    AppendObjective(each, text);
  }
  AppendAccount(account, text);
  return text;
}

}  // namespace filbertspar
