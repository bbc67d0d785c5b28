#include "filbertspar/node/src/configuration.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/clock.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

/// Maximum wait of one feed request, so that responses confirm often enough
/// that nothing has changed.
constexpr Duration kFeedWait = Milliseconds(1000);
constexpr Duration kRetryPause = Milliseconds(100);

}  // namespace

Configuration::Configuration(asio::io_context& context, StoreClient& store,
                             EventLog& log, Duration max_age)
    : m_context(context), m_store(store), m_log(log) {
  m_freshness.m_max_age = max_age;
}

void Configuration::Start(std::function<void()> changed) {
  m_changed = std::move(changed);
  asio::co_spawn(m_context, Follow(), asio::detached);
}

asio::awaitable<void> Configuration::Follow() {
  bool read = false;
  while (true) {
    if (!read) {
      read = co_await ReadRows();
    }
    if (!read) {
      co_await SleepFor(kRetryPause);
      continue;
    }
    const TimePoint sent = BootNow();
    const StoreResponse answer =
        co_await m_store.Feed(adapter::kOperatorTable, m_version, kFeedWait);
    if (answer.m_result == StoreResult::kDone) {
      m_version = std::max(m_version, answer.m_version);
      m_freshness.m_confirmed_at = sent;
      ApplyRows(answer.m_rows);
    } else if (answer.m_result == StoreResult::kHistoryGone) {
      m_log.Info("config", "history_gone",
                 absl::StrCat("after=", m_version.Value()));
      read = false;
    } else {
      // The feed may fail while plain reads still work.
      read = false;
      co_await SleepFor(kRetryPause);
    }
  }
}

asio::awaitable<bool> Configuration::ReadRows() {
  const TimePoint sent = BootNow();
  const StoreResponse answer =
      co_await m_store.ReadAll(std::string(adapter::kOperatorTable), "");
  if (answer.m_result != StoreResult::kDone) {
    co_return false;
  }
  m_version = answer.m_version;
  m_freshness.m_confirmed_at = sent;
  ApplyRows(answer.m_rows);
  co_return true;
}

void Configuration::ApplyRows(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    if (row.m_deleted) {
      continue;
    }
    if (row.m_key.m_key == adapter::kConfigKey) {
      ApplyDeployment(row.m_value);
    } else if (row.m_key.m_key.starts_with(adapter::kWavePrefix)) {
      ApplyWave(row);
    }
  }
  if (!rows.empty() && m_changed) {
    m_changed();
  }
}

void Configuration::ApplyDeployment(const std::string& text) {
  std::vector<std::string> damaged;
  absl::StatusOr<DeploymentConfig> deployment =
      adapter::DecodeDeploymentConfig(text, damaged);
  if (!deployment.ok()) {
    m_log.Warn("config", "config_unreadable",
               absl::StrCat("reason=\"", deployment.status().message(), "\""));
    return;
  }
  if (m_current != nullptr && deployment->m_version <= m_current->m_version) {
    return;
  }
  const std::uint64_t before =
      m_current == nullptr ? 0 : m_current->m_version.Value();
  m_current = std::make_shared<const DeploymentConfig>(*std::move(deployment));
  m_log.Info("config", "config_in_force",
             absl::StrCat("version=", m_current->m_version.Value(), " before=",
                          before, " queues=", m_current->m_queues.size(),
                          " damaged=", absl::StrJoin(damaged, ",")));
}

void Configuration::ApplyWave(const StoreRow& row) {
  absl::StatusOr<UpkeepWave> wave = adapter::DecodeWave(row.m_value);
  if (!wave.ok()) {
    m_log.Warn("config", "wave_unreadable",
               absl::StrCat("key=", row.m_key.m_key));
    return;
  }
  m_log.Info("config", "wave_asked",
             absl::StrCat("wave=", wave->m_number, " vms=", wave->m_vms.size(),
                          " ceiling=", wave->m_max_down,
                          " duration_ms=", ToMilliseconds(wave->m_duration)));
  const std::uint64_t number = wave->m_number;
  m_waves[number] = *std::move(wave);
}

}  // namespace filbertspar
