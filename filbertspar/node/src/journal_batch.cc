#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/journal.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

/// The owner's row takes two entries of each transaction, a condition and a
/// write.
constexpr std::size_t kMaxEntries = adapter::kMaxTransactionEntries - 4;

StoreKey KeyOf(const char* table, const JobId& id, std::size_t part) {
  return {table, job_table::kPartition, PartKey(id.Value(), part)};
}

std::size_t FindParts(const absl::flat_hash_map<JobId, std::size_t>& parts,
                      const JobId& id) {
  const auto found = parts.find(id);
  return found == parts.end() ? 1 : found->second;
}

void SetParts(absl::flat_hash_map<JobId, std::size_t>& parts, const JobId& id,
              std::size_t count) {
  if (count > 1) {
    parts[id] = count;
  } else {
    parts.erase(id);
  }
}

}  // namespace

bool Journal::HasRoom(const Batch& batch) const {
  return batch.CountItems() < m_rejections.m_max_items &&
         batch.m_change.EntryCount() < kMaxEntries &&
         batch.m_bytes < m_max_bytes;
}

void Journal::SetJobParts(const JobId& job, std::size_t parts) {
  SetParts(m_job_parts, job, parts);
}

void Journal::SetProgressParts(const JobId& job, std::size_t parts) {
  SetParts(m_progress_parts, job, parts);
}

void Journal::AddJobs(Batch& batch) {
  while (!m_unsent_jobs.empty() && HasRoom(batch)) {
    const auto job = m_unsent_jobs.front();
    const std::string row = EncodeJob(job->m_spec);
    const std::vector<std::string> parts = SplitValue(row, m_max_part_bytes);
    const std::size_t bytes = batch.m_bytes + row.size();
    if (batch.CountItems() > 0 &&
        (batch.m_change.EntryCount() + parts.size() > kMaxEntries ||
         bytes > m_max_bytes)) {
      break;
    }
    m_unsent_jobs.pop_front();
    batch.m_bytes = bytes;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      batch.m_change.m_writes.push_back(
          {KeyOf(job_table::kJobs, job->m_spec.m_id, i), parts[i]});
    }
    batch.m_jobs.push_back(job);
    batch.m_job_parts.push_back(parts.size());
  }
}

void Journal::AddProgress(Batch& batch) {
  m_progress_goes_first = false;
  if (!HasRoom(batch)) {
    return;
  }
  StoreTransaction& change = batch.m_change;
  bool is_alone = batch.CountItems() == 0;
  const auto add_if_it_fits = [&](const scheduler::JobWrite& write) {
    const std::vector<std::string> parts =
        SplitValue(write.m_progress, m_max_part_bytes);
    // Beside its parts: rows of parts that it no longer has, and the job's row.
    const std::size_t stored_parts = FindParts(m_progress_parts, write.m_id);
    const bool is_over = IsFinal(write.m_state) && !write.m_has_runs;
    const std::size_t job_parts =
        is_over ? FindParts(m_job_parts, write.m_id) : 0;
    const std::size_t entries =
        std::max(parts.size(), stored_parts) + job_parts;
    const std::size_t bytes = batch.m_bytes + write.m_progress.size();
    // One that is too large even alone is left to the store to reject.
    if (!is_alone &&
        (change.EntryCount() + entries > kMaxEntries || bytes > m_max_bytes)) {
      m_progress_goes_first = true;
      return false;
    }
    is_alone = false;
    batch.m_bytes = bytes;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      change.m_writes.push_back(
          {KeyOf(job_table::kProgress, write.m_id, i), parts[i]});
    }
    for (std::size_t i = parts.size(); i < stored_parts; ++i) {
      change.m_deletes.push_back(KeyOf(job_table::kProgress, write.m_id, i));
    }
    for (std::size_t i = 0; i < job_parts; ++i) {
      change.m_deletes.push_back(KeyOf(job_table::kJobs, write.m_id, i));
    }
    return true;
  };
  batch.m_progress = scheduler::TakePendingWrites(
      m_scheduler, BootNow(), m_rejections.m_max_items - batch.CountItems(),
      add_if_it_fits);
}

void Journal::AddRemovals(Batch& batch) {
  while (!m_removed_jobs.empty() && HasRoom(batch) &&
         batch.m_change.EntryCount() +
                 FindParts(m_progress_parts, m_removed_jobs.front()) <=
             kMaxEntries) {
    const JobId& job = m_removed_jobs.front();
    const std::size_t parts = FindParts(m_progress_parts, job);
    for (std::size_t i = 0; i < parts; ++i) {
      batch.m_change.m_deletes.push_back(KeyOf(job_table::kProgress, job, i));
    }
    batch.m_removed_jobs.push_back(job);
    m_removed_jobs.pop_front();
  }
}

void Journal::AddPuts(Batch& batch) {
  while (!m_puts.empty() && HasRoom(batch)) {
    auto put = m_puts.extract(m_puts.begin());
    batch.m_bytes += put.mapped().m_value.size();
    batch.m_change.m_writes.push_back({put.key(), put.mapped().m_value});
    batch.m_puts.insert(std::move(put));
  }
}

Journal::Batch Journal::NextBatch() {
  Batch batch;
  ++m_record.m_write_number;
  batch.m_change.m_conditions.push_back({OwnerRowKey(), m_version});
  if (m_progress_goes_first) {
    AddProgress(batch);
    AddJobs(batch);
  } else {
    AddJobs(batch);
    AddProgress(batch);
  }
  AddRemovals(batch);
  AddPuts(batch);
  m_record.m_released = m_releasing && m_unsent_jobs.empty() &&
                        !scheduler::HasPendingWrites(m_scheduler, BootNow());
  m_record.m_strongest_cpu = m_hooks.m_highest_cpu_capacity();
  m_record.m_all_starts_recorded =
      (m_all_recorded_at_start || m_scheduler.m_inherited_resolved) &&
      !m_writes_are_slow && scheduler::AllStartsRecorded(m_scheduler);
  batch.m_change.m_writes.push_back({OwnerRowKey(), EncodeOwner(m_record)});
  return batch;
}

void Journal::HandleRejected(Batch batch) {
  const RejectionVerdict verdict =
      HandleBatchRejected(m_rejections, batch.CountItems());
  m_log.Warn("journal", "write_rejected",
             absl::StrCat("write=", m_record.m_write_number,
                          " items=", batch.CountItems(), " entries=",
                          batch.m_change.EntryCount(), " bytes=", batch.m_bytes,
                          " dropped=", verdict == RejectionVerdict::kDropItem));
  // Nothing of the batch is stored.
  scheduler::ReturnWrites(m_scheduler, batch.m_progress);
  if (verdict == RejectionVerdict::kDropItem) {
    DropRejectedItem(batch);
    return;
  }
  m_unsent_jobs.insert(m_unsent_jobs.begin(), batch.m_jobs.begin(),
                       batch.m_jobs.end());
  m_removed_jobs.insert(m_removed_jobs.begin(), batch.m_removed_jobs.begin(),
                        batch.m_removed_jobs.end());
  // A later value for the same key stays.
  for (const auto& [key, put] : batch.m_puts) {
    const auto [later, is_new] = m_puts.try_emplace(key, put);
    if (!is_new) {
      later->second.m_numbers.insert(later->second.m_numbers.end(),
                                     put.m_numbers.begin(),
                                     put.m_numbers.end());
    }
  }
}

void Journal::DropRejectedItem(const Batch& batch) {
  for (const auto& job : batch.m_jobs) {
    m_log.Warn("journal", "job_rejected",
               absl::StrCat("job=", job->m_spec.m_id.Value(),
                            " bytes=", batch.m_bytes));
    Finish(job, Code::kInternal);
  }
  for (const scheduler::JobWrite& write : batch.m_progress) {
    m_log.Warn(
        "journal", "progress_rejected",
        absl::StrCat("job=", write.m_id.Value(), " bytes=", batch.m_bytes));
    scheduler::HandleWriteRejected(m_scheduler, BootNow(), write.m_id);
  }
  for (const JobId& job : batch.m_removed_jobs) {
    m_log.Warn("journal", "removal_rejected",
               absl::StrCat("job=", job.Value()));
  }
  for (const auto& [key, put] : batch.m_puts) {
    m_log.Warn("journal", "row_rejected",
               absl::StrCat("table=", key.m_table, " key=", key.m_key,
                            " bytes=", batch.m_bytes));
    SettlePut(put, /*stored=*/false);
  }
  m_put_settled_signal.Notify();
  m_hooks.m_stored();
}

void Journal::SettlePut(const PendingPut& put, bool stored) {
  for (const std::uint64_t number : put.m_numbers) {
    m_unsettled_puts.erase(number);
    if (!stored) {
      m_rejected_puts.insert(number);
    }
  }
}

}  // namespace filbertspar
