#include "standins/platform/store.h"

#include <utility>

namespace filbertspar::standin {
namespace {

constexpr std::size_t kMaxAnswers = 200'000;

}  // namespace

const Row* Store::Find(const std::string& table, const std::string& key) const {
  const auto found_table = m_tables.find(table);
  if (found_table == m_tables.end()) {
    return nullptr;
  }
  const auto found = found_table->second.m_rows.find(key);
  if (found == found_table->second.m_rows.end() ||
      found->second.m_value.is_null()) {
    return nullptr;
  }
  return &found->second;
}

WriteAnswer Store::Write(const std::string& attempt,
                         const std::vector<RowChange>& changes) {
  if (const auto before = m_answers.find(attempt); before != m_answers.end()) {
    return before->second;
  }
  JsonArray conflicts;
  for (const RowChange& change : changes) {
    const Row* row = Find(change.m_table, change.m_key);
    const std::uint64_t version = row == nullptr ? 0 : row->m_version;
    if (version != change.m_expect) {
      conflicts.push_back(
          JsonObject{{"table", change.m_table},
                     {"key", change.m_key},
                     {"version", version},
                     {"attempt", row == nullptr ? "" : row->m_attempt}});
    }
  }
  if (!conflicts.empty()) {
    return {409, JsonObject{{"conflicts", std::move(conflicts)}}};
  }
  JsonArray versions;
  for (const RowChange& change : changes) {
    Table& table = m_tables[change.m_table];
    Row& row = table.m_rows[change.m_key];
    table.m_by_sequence.erase(row.m_sequence);
    ++row.m_version;
    row.m_sequence = ++m_sequence;
    row.m_attempt = attempt;
    row.m_value = change.m_value;
    table.m_by_sequence[row.m_sequence] = change.m_key;
    versions.push_back(row.m_version);
  }
  WriteAnswer answer{200, JsonObject{{"versions", std::move(versions)}}};
  m_answers[attempt] = answer;
  m_answer_order.push_back(attempt);
  if (m_answer_order.size() > kMaxAnswers) {
    m_answers.erase(m_answer_order.front());
    m_answer_order.pop_front();
  }
  return answer;
}

JsonObject Store::Changes(const std::string& table, std::uint64_t since,
                          std::size_t limit) const {
  JsonArray rows;
  std::uint64_t last = since;
  if (const auto found = m_tables.find(table); found != m_tables.end()) {
    const auto& by_sequence = found->second.m_by_sequence;
    for (auto it = by_sequence.upper_bound(since);
         it != by_sequence.end() && rows.size() < limit; ++it) {
      const Row& row = found->second.m_rows.at(it->second);
      rows.push_back(JsonObject{{"key", it->second},
                                {"version", row.m_version},
                                {"sequence", row.m_sequence},
                                {"value", row.m_value}});
      last = row.m_sequence;
    }
  }
  return {{"rows", std::move(rows)}, {"sequence", last}};
}

}  // namespace filbertspar::standin
