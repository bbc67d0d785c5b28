#include "filbertspar/platform/src/batch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace filbertspar {
namespace {

using internal::BatchItem;

const RowConflict* FindConflict(const std::vector<RowConflict>& conflicts,
                                const RowKey& row) {
  const auto found = std::find_if(
      conflicts.begin(), conflicts.end(),
      [&](const RowConflict& conflict) { return conflict.m_row == row; });
  return found == conflicts.end() ? nullptr : &*found;
}

// Takes up to kMaxBatchRows waiting items with distinct rows, oldest first.
std::vector<BatchItem> TakeBatch(WriteBatcher& batcher) {
  std::vector<BatchItem> batch;
  std::vector<BatchItem> rest;
  std::set<RowKey> rows;
  for (BatchItem& item : batcher.m_waiting) {
    if (batch.size() < kMaxBatchRows && rows.insert(item.m_row.m_row).second) {
      batch.push_back(std::move(item));
    } else {
      rest.push_back(std::move(item));
    }
  }
  batcher.m_waiting = std::move(rest);
  return batch;
}

void ReportAll(const std::vector<BatchItem>& items, const WriteReport& report,
               ItemReports& reports) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    ItemReport item{.m_item = items[i].m_id,
                    .m_outcome = report.m_outcome,
                    .m_code = report.m_code};
    if (i < report.m_versions.size()) {
      item.m_version = report.m_versions[i];
    }
    reports.push_back(std::move(item));
  }
}

// Ends the items whose rows conflict and puts the others back in front.
void SplitConflict(WriteBatcher& batcher, TimePoint now,
                   std::vector<BatchItem> items, const WriteReport& report,
                   ItemReports& reports) {
  std::vector<BatchItem> again;
  for (BatchItem& item : items) {
    const RowConflict* conflict =
        FindConflict(report.m_conflicts, item.m_row.m_row);
    if (conflict != nullptr) {
      reports.push_back({item.m_id, WriteOutcome::kConflict, report.m_code,
                         conflict->m_version, conflict->m_attempt});
    } else if (now >= item.m_deadline) {
      reports.push_back({.m_item = item.m_id,
                         .m_outcome = WriteOutcome::kNotWritten,
                         .m_code = Code::kPlatformTimeout});
    } else {
      again.push_back(std::move(item));
    }
  }
  if (again.size() == items.size()) {
    // The conflict names none of our rows; sending them again would not end.
    WriteReport bad;
    bad.m_outcome = WriteOutcome::kNotWritten;
    bad.m_code = Code::kPlatformBadAnswer;
    ReportAll(again, bad, reports);
    return;
  }
  batcher.m_waiting.insert(batcher.m_waiting.begin(),
                           std::make_move_iterator(again.begin()),
                           std::make_move_iterator(again.end()));
}

}  // namespace

BatchItemId AddItem(WriteBatcher& batcher, TimePoint now, RowWrite row,
                    Duration deadline, ItemReports& reports) {
  const BatchItemId id(++batcher.m_last_item);
  if (batcher.m_waiting.size() >= kMaxBatchItems) {
    reports.push_back({.m_item = id,
                       .m_outcome = WriteOutcome::kNotWritten,
                       .m_code = Code::kRateBudgetSpent});
    return id;
  }
  batcher.m_waiting.push_back({id, std::move(row), now, now + deadline});
  return id;
}

void FlushBatches(WriteBatcher& batcher, PlatformClient& client, TimePoint now,
                  PlatformEffects& effects, ItemReports& reports) {
  while (!batcher.m_waiting.empty() &&
         (batcher.m_waiting.size() >= kMaxBatchRows ||
          now >= batcher.m_waiting.front().m_added + kMaxBatchWait)) {
    std::vector<BatchItem> batch = TakeBatch(batcher);
    std::vector<RowWrite> rows;
    TimePoint deadline = TimePoint::max();
    for (const BatchItem& item : batch) {
      rows.push_back(item.m_row);
      deadline = std::min(deadline, item.m_deadline);
    }
    PlatformEffects out;
    const OperationId id =
        SubmitWrite(client, now, std::move(rows),
                    std::max(Duration(0), deadline - now), out);
    batcher.m_sent.emplace(id, std::move(batch));
    for (PlatformEffect& effect : out) {
      const auto* report = std::get_if<WriteReport>(&effect);
      if (report == nullptr || !BatchEnded(batcher, now, *report, reports)) {
        effects.push_back(std::move(effect));
      }
    }
  }
}

bool BatchEnded(WriteBatcher& batcher, TimePoint now, const WriteReport& report,
                ItemReports& reports) {
  const auto found = batcher.m_sent.find(report.m_operation);
  if (found == batcher.m_sent.end()) {
    return false;
  }
  if (!report.IsFinal()) {
    ReportAll(found->second, report, reports);
    return true;
  }
  std::vector<BatchItem> items = std::move(found->second);
  batcher.m_sent.erase(found);
  if (report.m_outcome == WriteOutcome::kConflict) {
    SplitConflict(batcher, now, std::move(items), report, reports);
  } else {
    ReportAll(items, report, reports);
  }
  return true;
}

TimePoint NextFlush(const WriteBatcher& batcher) {
  if (batcher.m_waiting.empty()) {
    return TimePoint::max();
  }
  return batcher.m_waiting.size() >= kMaxBatchRows
             ? batcher.m_waiting.front().m_added
             : batcher.m_waiting.front().m_added + kMaxBatchWait;
}

}  // namespace filbertspar
