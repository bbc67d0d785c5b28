#include "filbertspar/entry/src/metrics_api.h"

namespace filbertspar {
namespace {

void AppendCount(MetricsText& text, std::string_view name,
                 std::string_view help, std::uint64_t count) {
  text.Family(name, help, MetricType::kCounter);
  text.Sample({}, static_cast<double>(count));
}

void AppendGauge(MetricsText& text, std::string_view name,
                 std::string_view help, double value) {
  text.Family(name, help, MetricType::kGauge);
  text.Sample({}, value);
}

void AppendUses(MetricsText& text, const Engine& engine) {
  const std::vector<TeamPoolUse> uses = UseOf(engine);
  text.Family("filbertspar_running",
              "Attempts that hold a unit of the ceiling.", MetricType::kGauge);
  for (const TeamPoolUse& use : uses) {
    if (!use.m_pool.Empty()) {
      text.Sample({{"team", use.m_team.Value()}, {"pool", use.m_pool.Value()}},
                  static_cast<double>(use.m_running));
    }
  }
  text.Family("filbertspar_waiting", "Requests that wait for their start.",
              MetricType::kGauge);
  for (const TeamPoolUse& use : uses) {
    if (!use.m_pool.Empty()) {
      text.Sample({{"team", use.m_team.Value()}, {"pool", use.m_pool.Value()}},
                  static_cast<double>(use.m_waiting));
    }
  }
}

}  // namespace

std::string MetricsPage(const RequestMetrics& metrics, const Config& config,
                        const Store& store, const Engine& engine,
                        TimePoint now) {
  MetricsText text;
  Append(metrics, now, text);
  const EngineCounters& counters = engine.m_counters;
  AppendCount(text, "filbertspar_submitted_total",
              "Requests that reached the engine.", counters.m_submitted);
  AppendCount(text, "filbertspar_attempts_total",
              "Attempts sent to an upstream.", counters.m_attempts);
  AppendCount(text, "filbertspar_retries_total",
              "Attempts after the first one of a request.", counters.m_retries);
  AppendCount(text, "filbertspar_upstream_refusals_total",
              "Attempts that an upstream refused as not started.",
              counters.m_refused_by_worker);
  AppendCount(text, "filbertspar_lost_attempts_total",
              "Attempts whose answer did not arrive.", counters.m_lost);
  AppendCount(text, "filbertspar_given_up_total",
              "Requests given up because upstreams ended while running them.",
              counters.m_given_up);
  AppendCount(text, "filbertspar_forwarded_total",
              "Requests forwarded to a peer.", counters.m_forwarded);
  AppendUses(text, engine);
  AppendGauge(text, "filbertspar_store_reachable",
              "1 while the platform's table answers.",
              store.Reachable() ? 1 : 0);
  AppendGauge(text, "filbertspar_config_version",
              "Configuration version in force, 0 before the first.",
              static_cast<double>(config.Version().Value()));
  const std::optional<TimePoint> confirmed = config.Confirmed();
  if (confirmed) {
    AppendGauge(text, "filbertspar_config_age_seconds",
                "Time since the version in force was confirmed as the newest.",
                ToSeconds(now - *confirmed));
  }
  return text.Text();
}

}  // namespace filbertspar
