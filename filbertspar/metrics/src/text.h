#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertspar {

using MetricLabels = std::vector<std::pair<std::string_view, std::string>>;

enum class MetricType : std::uint8_t {
  kCounter,
  kGauge,
  kSummary,
  kHistogram,
};

/// \brief Builds a page in the Prometheus text format, version 0.0.4.
class MetricsText {
 public:
  /// \brief Starts a family; its samples follow.
  void Family(std::string_view name, std::string_view help, MetricType type);

  /// \brief A sample of the family; `suffix` is appended to its name.
  void Sample(const MetricLabels& labels, double value,
              std::string_view suffix = "");

  const std::string& Text() const { return m_text; }

 private:
  std::string m_name;
  std::string m_text;
};

}  // namespace filbertspar
