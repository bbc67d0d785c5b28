#include "filbertspar/burn/src/plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "filbertspar/burn/src/text.h"

namespace filbertspar::internal {
namespace {

constexpr double kWidth = 880;
constexpr double kLeft = 64;
constexpr double kRight = 836;
constexpr double kTop = 16;
constexpr double kBottom = 196;
constexpr double kHeight = 236;
/// Points of a line; more cannot be told apart at the plot's width.
constexpr std::int64_t kMaxPoints = 800;
/// Colours that people with colour-blindness tell apart (Okabe and Ito 2008).
constexpr std::array<const char*, 7> kColours = {
    "#0072b2", "#d55e00", "#009e73", "#cc79a7",
    "#e69f00", "#56b4e9", "#999999"};
/// Ends of the logarithmic axis of burn rates.
constexpr double kLowRate = 0.1;

std::string Line(double x1, double y1, double x2, double y2,
                 std::string_view style) {
  return absl::StrFormat(
      "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" style=\"%s\"/>\n",
      x1, y1, x2, y2, style);
}

std::string Label(double x, double y, std::string_view anchor,
                  std::string_view text) {
  return absl::StrFormat(
      "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
      anchor, Escaped(text));
}

std::string Box(double x, double y, double width, double height,
                std::string_view style, std::string_view title) {
  return absl::StrFormat(
      "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
      "style=\"%s\"><title>%s</title></rect>\n",
      x, y, width, height, style, Escaped(title));
}

std::string Open(double height, std::string_view title) {
  return absl::StrFormat(
      "<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" "
      "xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" "
      "font-size=\"12\"><title>%s</title>\n",
      kWidth, height, Escaped(title));
}

/// Maps minutes to places on the horizontal axis.
struct TimeAxis {
  std::int64_t m_first = 0;
  std::int64_t m_last = 1;

  double At(std::int64_t minute) const {
    return kLeft +
           (kRight - kLeft) * static_cast<double>(minute - m_first) /
               static_cast<double>(std::max<std::int64_t>(1, m_last - m_first));
  }

  /// Ticks at whole steps of a readable length, at most eight. The date is
  /// shown at the first tick and where it changes.
  std::string Draw() const {
    std::int64_t step = 1;
    for (const std::int64_t each :
         {1, 2, 5, 10, 15, 30, 60, 120, 180, 360, 720, 1440, 2880, 5760}) {
      step = each;
      if ((m_last - m_first) / each <= 8) {
        break;
      }
    }
    std::string svg = Line(kLeft, kBottom, kRight, kBottom, "stroke:#555");
    std::string shown_date;
    for (std::int64_t minute = (m_first + step - 1) / step * step;
         minute <= m_last; minute += step) {
      const std::string text = MinuteText(minute);
      const double x = At(minute);
      svg += Line(x, kBottom, x, kBottom + 4, "stroke:#555");
      svg += Label(x, kBottom + 18, "middle", text.substr(11));
      if (text.substr(0, 10) != shown_date) {
        shown_date = text.substr(0, 10);
        svg += Label(x, kBottom + 33, "middle", shown_date);
      }
    }
    return svg;
  }
};

TimeAxis AxisOf(const ObjectiveReport& report) {
  return {report.m_first_minute,
          report.m_first_minute +
              static_cast<std::int64_t>(report.m_minutes.size())};
}

double RateAxis(double rate, double high) {
  const double part = std::log10(std::max(rate, kLowRate) / kLowRate) /
                      std::log10(high / kLowRate);
  return kBottom - (kBottom - kTop) * std::clamp(part, 0.0, 1.0);
}

}  // namespace

std::string Escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string BurnPlot(const ObjectiveReport& report) {
  const TimeAxis axis = AxisOf(report);
  const std::int64_t window =
      report.m_rates.empty() ? 60
                             : report.m_rates.front().m_rule.m_long_minutes;
  const auto minutes = static_cast<std::int64_t>(report.m_minutes.size());
  const std::int64_t step = std::max<std::int64_t>(1, minutes / kMaxPoints);
  std::string points;
  double high = 10;
  std::vector<std::pair<double, double>> rates;
  // The first point stands at the first minute, so that a history of a single
  // minute has a line too.
  for (std::int64_t end = 1; end <= minutes; end += step) {
    const double rate = BurnRateAt(report, axis.m_first + end, window);
    if (rates.empty()) {
      rates.emplace_back(axis.At(axis.m_first), rate);
    }
    rates.emplace_back(axis.At(axis.m_first + end), rate);
    high = std::max(high, rate);
  }
  high = std::pow(10, std::ceil(std::log10(high)));
  std::string svg = Open(kHeight, "Burn rate over time");
  for (const BurnAlert& alert : report.m_alerts) {
    const double from = axis.At(alert.m_from);
    svg += Box(from, kTop, std::max(2.0, axis.At(alert.m_to) - from),
               kBottom - kTop, "fill:#d55e00;fill-opacity:0.15",
               absl::StrCat(alert.m_rule, " alert, ", alert.m_cause));
  }
  for (double rate = kLowRate; rate <= high * 1.001; rate *= 10) {
    const double y = RateAxis(rate, high);
    svg += Line(kLeft, y, kRight, y, "stroke:#ddd");
    svg += Label(kLeft - 6, y + 4, "end", absl::StrFormat("%g", rate));
  }
  for (const BurnRate& rate : report.m_rates) {
    const double threshold = rate.m_rule.Threshold();
    const double y = RateAxis(threshold, high);
    svg += Line(kLeft, y, kRight, y, "stroke:#d55e00;stroke-dasharray:5 4");
    svg += Label(kRight, y - 3, "end",
                 absl::StrFormat("%s %.1f", rate.m_rule.m_name, threshold));
  }
  for (const auto& [x, rate] : rates) {
    absl::StrAppendFormat(&points, "%.1f,%.1f ", x, RateAxis(rate, high));
  }
  absl::StrAppend(&svg, "<polyline points=\"", points,
                  "\" style=\"fill:none;stroke:#0072b2;stroke-width:2\"/>\n");
  return svg + axis.Draw() + "</svg>\n";
}

std::string CausePlot(const ObjectiveReport& report) {
  const TimeAxis minutes = AxisOf(report);
  // Whole hours, so that the first and the last bar have their full width.
  const TimeAxis axis{minutes.m_first / 60 * 60,
                      (minutes.m_last + 59) / 60 * 60};
  std::int64_t high = 1;
  for (const BurnHour& hour : report.m_hours) {
    high = std::max(high, hour.Bad());
  }
  std::string svg = Open(kHeight + 24, "Bad requests per hour by cause");
  const auto place = [&](std::int64_t count) {
    return kBottom - (kBottom - kTop) * static_cast<double>(count) /
                         static_cast<double>(high);
  };
  for (const std::int64_t count : std::set<std::int64_t>{0, high / 2, high}) {
    svg += Line(kLeft, place(count), kRight, place(count), "stroke:#ddd");
    svg += Label(kLeft - 6, place(count) + 4, "end", absl::StrCat(count));
  }
  std::vector<std::pair<std::int64_t, std::string>> causes;
  for (const auto& [cause, count] : report.m_causes) {
    causes.emplace_back(-count, cause);
  }
  std::sort(causes.begin(), causes.end());
  const auto colour = [](std::size_t position) {
    return absl::StrCat("fill:",
                        kColours[std::min(position, kColours.size() - 1)]);
  };
  for (const BurnHour& hour : report.m_hours) {
    std::int64_t below = 0;
    const double x = axis.At(hour.m_hour * 60);
    const double width = std::max(1.0, axis.At(hour.m_hour * 60 + 60) - x - 1);
    for (std::size_t i = 0; i < causes.size(); ++i) {
      const auto found = hour.m_causes.find(causes[i].second);
      if (found == hour.m_causes.end()) {
        continue;
      }
      const double top = place(below + found->second);
      svg += Box(x, top, width, place(below) - top, colour(i),
                 absl::StrCat(MinuteText(hour.m_hour * 60), " ",
                              causes[i].second, ": ", found->second));
      below += found->second;
    }
  }
  double x = kLeft;
  for (std::size_t i = 0; i < causes.size() && x < kRight - 120; ++i) {
    svg += Box(x, kHeight + 4, 10, 10, colour(i), causes[i].second);
    const std::string text =
        absl::StrCat(causes[i].second, " ", -causes[i].first);
    svg += Label(x + 14, kHeight + 13, "start", text);
    x += 34 + 7 * static_cast<double>(text.size());
  }
  return svg + axis.Draw() + "</svg>\n";
}

std::string SharePlot(const std::vector<ShareHour>& teams) {
  constexpr double kRow = 34;
  constexpr double kNames = 190;
  double high = 1e-9;
  for (const ShareHour& team : teams) {
    high = std::max({high, team.m_owed, team.m_got});
  }
  const double height = kTop + kRow * static_cast<double>(teams.size()) + 24;
  std::string svg = Open(height, "Shares owed and received");
  double y = kTop;
  for (const ShareHour& team : teams) {
    svg += Label(kNames - 8, y + 18, "end", team.m_team);
    const auto bar = [&](double top, double amount, const char* colour,
                         const char* what) {
      const double width = (kRight - 90 - kNames) * amount / high;
      svg += Box(kNames, top, width, 11, absl::StrCat("fill:", colour), what);
      svg += Label(kNames + width + 5, top + 10, "start",
                   absl::StrFormat("%.1f", amount / 3600));
    };
    bar(y + 2, team.m_owed, "#999999", "owed");
    bar(y + 15, team.m_got, "#0072b2", "received");
    y += kRow;
  }
  svg += Box(kNames, y + 4, 10, 10, "fill:#999999", "owed");
  svg += Label(kNames + 14, y + 13, "start", "owed");
  svg += Box(kNames + 70, y + 4, 10, 10, "fill:#0072b2", "received");
  svg += Label(kNames + 84, y + 13, "start", "received, slot-hours");
  return svg + "</svg>\n";
}

}  // namespace filbertspar::internal
