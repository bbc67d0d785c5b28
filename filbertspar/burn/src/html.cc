#include "filbertspar/burn/src/html.h"

#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "filbertspar/burn/src/plot.h"
#include "filbertspar/burn/src/text.h"

namespace filbertspar {
namespace {

using internal::Escaped;

constexpr const char* kHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"/>
<meta name="viewport" content="width=device-width, initial-scale=1"/>
<title>Service-level burn report</title>
<style>
body{font:15px/1.5 sans-serif;max-width:920px;margin:24px auto;padding:0 16px;color:#222;background:#fff}
h1{font-size:24px}h2{font-size:19px;margin-top:36px;border-top:1px solid #ccc;padding-top:16px}
h3{font-size:15px;margin-bottom:4px}
table{border-collapse:collapse;margin:8px 0}td,th{padding:3px 12px;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}
svg{width:100%;height:auto;display:block}
.bad{color:#a33900;font-weight:bold}.note{color:#555}
</style></head><body>
<h1>Service-level burn report</h1>
)";

std::string NameOf(const Objective& objective) {
  return absl::StrCat(objective.m_workspace.Value(), ", ",
                      std::string(ToString(objective.m_class)));
}

bool Fires(const BurnRate& rate) {
  return rate.m_long > rate.m_rule.Threshold() &&
         rate.m_short > rate.m_rule.Threshold();
}

std::string Window(std::int64_t minutes) {
  if (minutes % 1440 == 0) {
    return absl::StrCat(minutes / 1440, " d");
  }
  return minutes % 60 == 0 ? absl::StrCat(minutes / 60, " h")
                           : absl::StrCat(minutes, " min");
}

void AppendSummary(const BurnReport& report, std::string& html) {
  html +=
      "<table><tr><th>objective</th><th>target</th><th>requests</th>"
      "<th>bad</th><th>budget used</th><th>alerts</th></tr>\n";
  for (const ObjectiveReport& each : report.m_objectives) {
    absl::StrAppendFormat(
        &html,
        "<tr><td>%s</td><td>%g%% in %d ms</td><td>%d</td><td>%d</td>"
        "<td%s>%.0f%%</td><td>%d</td></tr>\n",
        Escaped(NameOf(each.m_objective)), each.m_objective.m_target * 100,
        ToMilliseconds(each.m_objective.m_latency), each.m_total, each.m_bad,
        each.m_budget_used > 1 ? " class=\"bad\"" : "",
        100 * each.m_budget_used, each.m_alerts.size());
  }
  absl::StrAppend(
      &html, "</table><p class=\"note\">Times are UTC. ", report.m_excluded,
      " requests are left out as the caller's own (bad input, wrong "
      "key, cancelled), ",
      report.m_uncovered,
      " have no objective. Budget used is that "
      "of the recorded requests.</p>\n");
}

void AppendObjective(const ObjectiveReport& each, std::string& html) {
  absl::StrAppend(&html, "<h2>", Escaped(NameOf(each.m_objective)), "</h2>\n");
  if (each.m_total == 0) {
    html += "<p>No requests.</p>\n";
    return;
  }
  if (each.m_worst_hour >= 0) {
    std::string worst = WorstHourText(each);
    worst[0] = 'W';
    absl::StrAppend(&html, "<p class=\"bad\">", Escaped(worst), ".</p>\n");
  } else {
    html += "<p>No bad request.</p>\n";
  }
  html +=
      "<table><tr><th>rule</th><th>long window</th><th>burn</th>"
      "<th>short window</th><th>burn</th><th>threshold</th><th>now</th></tr>\n";
  for (const BurnRate& rate : each.m_rates) {
    absl::StrAppendFormat(
        &html,
        "<tr><td>%s</td><td>%s</td><td>%.2f</td><td>%s</td><td>%.2f</td>"
        "<td>%.2f</td><td%s</td></tr>\n",
        Escaped(rate.m_rule.m_name), Window(rate.m_rule.m_long_minutes),
        rate.m_long, Window(rate.m_rule.m_short_minutes), rate.m_short,
        rate.m_rule.Threshold(),
        Fires(rate) ? " class=\"bad\">fires" : ">quiet");
  }
  html += "</table>\n";
  if (!each.m_alerts.empty()) {
    html +=
        "<table><tr><th>alert</th><th>from</th><th>to</th><th>peak burn</th>"
        "<th>main cause</th></tr>\n";
    for (const BurnAlert& alert : each.m_alerts) {
      absl::StrAppendFormat(&html,
                            "<tr><td>%s</td><td>%s</td><td>%s</td><td>%.1f</"
                            "td><td>%s</td></tr>\n",
                            Escaped(alert.m_rule), MinuteText(alert.m_from),
                            MinuteText(alert.m_to), alert.m_peak,
                            Escaped(alert.m_cause));
    }
    html += "</table>\n";
  }
  absl::StrAppend(&html,
                  "<h3>Burn rate of the fast rule's long window; 1 spends the "
                  "budget exactly, dashed lines are thresholds, shaded spans "
                  "are alerts</h3>\n",
                  internal::BurnPlot(each));
  if (each.m_bad > 0) {
    absl::StrAppend(&html, "<h3>Bad requests per hour by cause</h3>\n",
                    internal::CausePlot(each));
  }
}

void AppendAccount(const AccountRecord& account, std::string& html) {
  if (!account.m_shares.empty()) {
    const std::vector<ShareHour> teams = SumByTeam(account);
    absl::StrAppend(&html, "<h2>Shares owed and received</h2>\n",
                    internal::SharePlot(teams));
    html +=
        "<table><tr><th>team</th><th>owed, slot-hours</th><th>received</th>"
        "<th>received / owed</th><th>lent</th><th>borrowed</th>"
        "<th>tasks touched</th></tr>\n";
    for (const ShareHour& team : teams) {
      absl::StrAppendFormat(
          &html,
          "<tr><td>%s</td><td>%.2f</td><td>%.2f</td><td>%.3f</td><td>%.2f</td>"
          "<td>%.2f</td><td>%d</td></tr>\n",
          Escaped(team.m_team), team.m_owed / 3600, team.m_got / 3600,
          team.m_owed > 0 ? team.m_got / team.m_owed : 0, team.m_lent / 3600,
          team.m_borrowed / 3600, team.m_touched_tasks);
    }
    html += "</table>\n";
  }
  if (!account.m_pools.empty()) {
    std::map<std::string, std::pair<double, std::int64_t>> sums;
    for (const PoolHour& hour : account.m_pools) {
      sums[hour.m_pool].first += hour.m_buffer_vm_hours;
      sums[hour.m_pool].second += hour.m_moves;
    }
    html +=
        "<h2>Buffer and moves</h2>\n<table><tr><th>pool</th>"
        "<th>buffer, VM-hours</th><th>moves</th></tr>\n";
    for (const auto& [pool, sum] : sums) {
      absl::StrAppendFormat(&html,
                            "<tr><td>%s</td><td>%.2f</td><td>%d</td></tr>\n",
                            Escaped(pool), sum.first, sum.second);
    }
    html += "</table>\n";
  }
  if (!account.m_waves.empty()) {
    html +=
        "<h2>Roll-out</h2>\n<table><tr><th>wave</th><th>VMs</th>"
        "<th>hours</th></tr>\n";
    for (const WaveRecord& wave : account.m_waves) {
      const std::string hours =
          wave.m_ended_ms == 0
              ? "goes on"
              : absl::StrFormat("%.2f", static_cast<double>(wave.m_ended_ms -
                                                            wave.m_started_ms) /
                                            3.6e6);
      absl::StrAppendFormat(&html,
                            "<tr><td>%s</td><td>%d</td><td>%s</td></tr>\n",
                            Escaped(wave.m_name), wave.m_vms, hours);
    }
    html += "</table>\n";
  }
}

}  // namespace

std::string ReportAsHtml(const BurnReport& report,
                         const AccountRecord& account) {
  std::string html = kHead;
  AppendSummary(report, html);
  for (const ObjectiveReport& each : report.m_objectives) {
    AppendObjective(each, html);
  }
  AppendAccount(account, html);
  return html + "</body></html>\n";
}

}  // namespace filbertspar
