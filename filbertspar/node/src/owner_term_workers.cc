#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/owner_term.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

constexpr Duration kWorkerFeedWait = Seconds(2);
/// A registration that lapsed while the store was away is back within 2 s.
constexpr Duration kUnlistAfter = Milliseconds(2200);

}  // namespace

asio::awaitable<bool> OwnerTerm::ReadWorkers(RowVersion& version) {
  const StoreResponse rows =
      co_await m_parts.m_store.ReadAll(std::string(adapter::kWorkerTable), "");
  if (rows.m_result != StoreResult::kDone || !m_running) {
    co_return false;
  }
  version = rows.m_version;
  std::map<std::string, bool> listed;
  for (const StoreRow& row : rows.m_rows) {
    listed[row.m_key.m_key] = true;
    TakeWorkerRow(row);
  }
  for (const auto& worker : m_scheduler.m_workers) {
    const std::string& name = worker.m_record.m_name.Value();
    if (worker.m_registered && !listed.contains(name)) {
      UnlistAfter(name);
    }
  }
  Changed();
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
      TakeWorkerRow(row);
    }
    if (!answer.m_rows.empty()) {
      Changed();
    }
  }
}

void OwnerTerm::TakeWorkerRow(const StoreRow& row) {
  const std::string& name = row.m_key.m_key;
  if (row.m_deleted) {
    UnlistAfter(name);
    return;
  }
  const absl::StatusOr<WorkerRecord> record =
      adapter::DecodeWorkerRecord(name, row.m_value);
  if (!record.ok()) {
    // Such a row names no worker to use; one that was known is kept until its
    // lease shows that it is gone.
    m_parts.m_log.Warn(
        "worker", "registration_unreadable",
        absl::StrCat("worker=", name, " version=", row.m_version.Value(),
                     " reason=\"", record.status().message(), "\""));
    UnlistAfter(name);
    return;
  }
  m_unlisted.erase(name);
  m_workers->StartPolling(
      scheduler::RegisterWorker(m_scheduler, BootNow(), *record));
}

void OwnerTerm::UnlistAfter(const std::string& name) {
  m_unlisted.try_emplace(name, BootNow());
}

void OwnerTerm::UnlistDue(TimePoint now) {
  for (auto it = m_unlisted.begin(); it != m_unlisted.end();) {
    if (now - it->second < kUnlistAfter) {
      ++it;
      continue;
    }
    scheduler::UnregisterWorker(m_scheduler, now, WorkerName(it->first));
    it = m_unlisted.erase(it);
  }
}

}  // namespace filbertspar
