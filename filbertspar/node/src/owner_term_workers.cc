#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/owner_term.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

constexpr Duration kWorkerFeedWait = Seconds(2);
/// A registration that expired while the store was unavailable is renewed
/// within 2 s after its return, so that only time with the store counts.
constexpr Duration kUnregisterDelay = Milliseconds(2200);

}  // namespace

asio::awaitable<bool> OwnerTerm::ReadWorkers(RowVersion& version) {
  const StoreResponse rows =
      co_await m_parts.m_store.ReadAll(std::string(adapter::kWorkerTable), "");
  if (rows.m_result != StoreResult::kDone || !m_running) {
    co_return false;
  }
  version = rows.m_version;
  std::map<std::string, bool> registered;
  for (const StoreRow& row : rows.m_rows) {
    registered[row.m_key.m_key] = true;
    ApplyWorkerRow(row);
  }
  for (const auto& worker : m_scheduler.m_workers) {
    const std::string& name = worker.m_record.m_name.Value();
    if (worker.m_registered && !registered.contains(name)) {
      ScheduleUnregister(name);
    }
  }
  HandleStateChange();
  co_return true;
}

asio::awaitable<void> OwnerTerm::FollowWorkers() {
  RowVersion version;
  bool read = false;
  bool started = false;
  while (m_running) {
    if (!read) {
      read = co_await ReadWorkers(version);
      if (!read) {
        co_await SleepFor(kRetryPause);
        continue;
      }
    }
    if (!started) {
      started = true;
      m_vms->Start();
    }
    const StoreResponse answer = co_await m_parts.m_store.Feed(
        adapter::kWorkerTable, version, kWorkerFeedWait);
    if (!m_running) {
      co_return;
    }
    if (answer.m_result != StoreResult::kDone) {
      read = false;
      co_await SleepFor(kRetryPause);
      continue;
    }
    version = std::max(version, answer.m_version);
    for (const StoreRow& row : answer.m_rows) {
      ApplyWorkerRow(row);
    }
    if (!answer.m_rows.empty()) {
      HandleStateChange();
    }
  }
}

void OwnerTerm::ApplyWorkerRow(const StoreRow& row) {
  const std::string& name = row.m_key.m_key;
  if (row.m_deleted) {
    ScheduleUnregister(name);
    return;
  }
  const absl::StatusOr<WorkerRecord> record =
      adapter::DecodeWorkerRecord(name, row.m_value);
  if (!record.ok()) {
    // The row describes no usable worker. A worker that was registered before
    // is unregistered after a delay and kept until its lease has expired.
    m_parts.m_log.Warn(
        "worker", "registration_unreadable",
        absl::StrCat("worker=", name, " version=", row.m_version.Value(),
                     " reason=\"", record.status().message(), "\""));
    ScheduleUnregister(name);
    return;
  }
  m_unregistered_at.erase(name);
  const scheduler::WorkerIndex index =
      scheduler::RegisterWorker(m_scheduler, BootNow(), *record);
  m_workers->StartPolling(index);
  if (scheduler::MayHaveRestarted(m_scheduler.m_workers[index])) {
    m_workers->CheckIncarnation(index);
  }
}

void OwnerTerm::ScheduleUnregister(const std::string& name) {
  m_unregistered_at.try_emplace(name, BootNow());
}

void OwnerTerm::UnregisterDue(TimePoint now) {
  for (auto it = m_unregistered_at.begin(); it != m_unregistered_at.end();) {
    if (ReachableFor(m_parts.m_store.Contact(), it->second, now) <
        kUnregisterDelay) {
      ++it;
      continue;
    }
    scheduler::UnregisterWorker(m_scheduler, now, WorkerName(it->first));
    it = m_unregistered_at.erase(it);
  }
}

}  // namespace filbertspar
