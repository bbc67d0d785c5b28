#include "filbertspar/node/src/traffic_meter.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/metric_names.h"

namespace filbertspar {

TrafficMeter::TrafficMeter(MetricsBook& metrics, double link_mbps)
    : m_metrics(metrics),
      m_budget(MakeLinkBudget(link_mbps, BootNow())),
      m_received(MakeReceiveLoad(link_mbps, BootNow())) {}

void TrafficMeter::AddSent(std::string_view kind, std::size_t bytes) {
  Count(m_metrics, metric::kSentBytes, kind, static_cast<double>(bytes));
  m_since_summary[std::string(kind)].m_sent += bytes;
}

void TrafficMeter::CountSent(std::string_view kind, std::size_t bytes) {
  AddSent(kind, bytes);
  ChargeLink(m_budget, BootNow(), bytes);
}

void TrafficMeter::CountStart(std::string_view kind, std::size_t bytes) {
  AddSent(kind, bytes);
  ChargeStart(m_budget, BootNow(), bytes);
}

void TrafficMeter::CountReceived(std::string_view kind, std::size_t bytes) {
  Count(m_metrics, metric::kReceivedBytes, kind, static_cast<double>(bytes));
  AddReceived(m_received, BootNow(), bytes);
  m_since_summary[std::string(kind)].m_received += bytes;
}

bool TrafficMeter::IsLoaded() const {
  const TimePoint now = BootNow();
  return filbertspar::IsLoaded(m_budget, now) ||
         filbertspar::IsLoaded(m_received, now);
}

std::string TrafficMeter::TakeSummary() {
  std::string summary;
  for (const auto& [kind, bytes] : m_since_summary) {
    absl::StrAppend(&summary, summary.empty() ? "" : " ", kind, "=",
                    bytes.m_sent, "/", bytes.m_received);
  }
  m_since_summary.clear();
  return summary;
}

}  // namespace filbertspar
