#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar::standin {

/// \brief One row with the version and attempt id of its last write.
struct Row {
  std::uint64_t m_version = 0;
  std::uint64_t m_sequence = 0;
  std::string m_attempt;
  /// Null after a delete.
  Json m_value;
};

/// \brief One row change of a write.
struct RowChange {
  std::string m_table;
  std::string m_key;
  std::uint64_t m_expect = 0;
  Json m_value;
};

/// \brief Answer of a write: status 200 or 409 and its body.
struct WriteAnswer {
  int m_status = 200;
  JsonObject m_body;
};

/// \brief Transactional table, object store and VM list of the platform.
class Store {
 public:
  /// \brief All rows or none; repeats of an attempt get the first answer.
  WriteAnswer Write(const std::string& attempt,
                    const std::vector<RowChange>& changes);

  /// \brief The row, or null when it does not exist.
  const Row* Find(const std::string& table, const std::string& key) const;

  /// \brief Rows changed after a sequence number, in order of change.
  JsonObject Changes(const std::string& table, std::uint64_t since,
                     std::size_t limit) const;

  std::map<std::string, std::string> m_objects;
  /// VM list as it is now; the server shows it with a lag.
  std::map<std::string, JsonObject> m_vms;

 private:
  struct Table {
    std::map<std::string, Row> m_rows;
    std::map<std::uint64_t, std::string> m_by_sequence;
  };

  std::map<std::string, Table> m_tables;
  std::uint64_t m_sequence = 0;
  std::map<std::string, WriteAnswer> m_answers;
  std::deque<std::string> m_answer_order;
};

}  // namespace filbertspar::standin
