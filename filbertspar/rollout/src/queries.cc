#include <algorithm>
#include <utility>

#include "filbertspar/rollout/src/diff.h"
#include "filbertspar/rollout/src/rollout.h"

namespace filbertspar {

using internal::PendingQuery;

namespace {

// Takes the record in force, or asks the store for another version.
void Ask(Rollout& rollout, ConfigVersion version, ConfigRecordPtr& record,
         ConfigReadId& read, RolloutEffects& effects) {
  const ConfigVersion in_force = VersionInForce(rollout);
  if (rollout.m_in_force != nullptr &&
      (version.IsNone() || version == in_force)) {
    record = rollout.m_in_force;
    return;
  }
  read = internal::NextRead(rollout);
  effects.push_back(
      ReadVersion{read, version.IsNone() ? rollout.m_newest : version});
}

void Answer(const PendingQuery& query, Code code, RolloutEffects& effects) {
  if (query.m_is_compare) {
    CompareReply reply{query.m_id, code, {}};
    if (code == Code::kOk) {
      reply.m_lines = DiffCatalogues(query.m_from_record->m_catalogue,
                                     query.m_to_record->m_catalogue);
    }
    effects.push_back(std::move(reply));
  } else {
    effects.push_back(ExportReply{query.m_id, code, query.m_from_record});
  }
}

bool IsComplete(const PendingQuery& query) {
  return query.m_from_record != nullptr &&
         (!query.m_is_compare || query.m_to_record != nullptr);
}

void Begin(Rollout& rollout, PendingQuery query, RolloutEffects& effects) {
  if (rollout.m_queries.size() >= kMaxConfigQueries) {
    Answer(query, Code::kRateBudgetSpent, effects);
    return;
  }
  Ask(rollout, query.m_from, query.m_from_record, query.m_from_read, effects);
  if (query.m_is_compare) {
    Ask(rollout, query.m_to, query.m_to_record, query.m_to_read, effects);
  }
  if (IsComplete(query)) {
    Answer(query, Code::kOk, effects);
  } else {
    rollout.m_queries.push_back(std::move(query));
  }
}

}  // namespace

void Export(Rollout& rollout, ConfigQueryId id, ConfigVersion version,
            RolloutEffects& effects) {
  PendingQuery query;
  query.m_id = id;
  query.m_from = version;
  Begin(rollout, std::move(query), effects);
}

void Compare(Rollout& rollout, ConfigQueryId id, ConfigVersion from,
             ConfigVersion to, RolloutEffects& effects) {
  PendingQuery query;
  query.m_id = id;
  query.m_is_compare = true;
  query.m_from = from;
  query.m_to = to;
  Begin(rollout, std::move(query), effects);
}

namespace internal {

bool QueryVersionRead(Rollout& rollout, ConfigReadId read, Code code,
                      const ConfigRecordPtr& record, RolloutEffects& effects) {
  const auto found = std::find_if(
      rollout.m_queries.begin(), rollout.m_queries.end(),
      [&](const PendingQuery& query) {
        return query.m_from_read == read || query.m_to_read == read;
      });
  if (found == rollout.m_queries.end()) {
    return false;
  }
  if (record != nullptr) {
    (found->m_from_read == read ? found->m_from_record : found->m_to_record) =
        record;
    if (!IsComplete(*found)) {
      return true;
    }
  }
  Answer(*found, record == nullptr ? code : Code::kOk, effects);
  rollout.m_queries.erase(found);
  return true;
}

}  // namespace internal

}  // namespace filbertspar
