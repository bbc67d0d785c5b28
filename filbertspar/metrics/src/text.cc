#include "filbertspar/metrics/src/text.h"

#include <array>
#include <charconv>

namespace filbertspar {
namespace {

std::string_view NameOf(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kSummary:
      return "summary";
    case MetricType::kHistogram:
      return "histogram";
  }
  return "untyped";
}

void AppendEscaped(std::string& text, std::string_view value) {
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      text += '\\';
    }
    text += c;
  }
}

}  // namespace

void MetricsText::Family(std::string_view name, std::string_view help,
                         MetricType type) {
  m_name = name;
  m_text += "# HELP ";
  m_text += m_name;
  m_text += ' ';
  m_text += help;
  m_text += "\n# TYPE ";
  m_text += m_name;
  m_text += ' ';
  m_text += NameOf(type);
  m_text += '\n';
}

void MetricsText::Sample(const MetricLabels& labels, double value,
                         std::string_view suffix) {
  m_text += m_name;
  m_text += suffix;
  char separator = '{';
  for (const auto& [label, text] : labels) {
    m_text += separator;
    separator = ',';
    m_text += label;
    m_text += "=\"";
    AppendEscaped(m_text, text);
    m_text += '"';
  }
  m_text += labels.empty() ? " " : "} ";
  std::array<char, 32> number;
  const auto end =
      std::to_chars(number.data(), number.data() + number.size(), value);
  m_text.append(number.data(), end.ptr);
  m_text += '\n';
}

}  // namespace filbertspar
