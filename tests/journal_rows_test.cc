#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <numeric>
#include <set>

#include "filbertspar/journal/journal.h"

namespace filbertspar {
namespace {

std::vector<StoreRow> RowsOf(const std::string& key, const std::string& value,
                             std::size_t max_bytes) {
  std::vector<StoreRow> rows;
  for (const std::string& part : SplitValue(value, max_bytes)) {
    StoreRow row;
    row.m_key = {"t", "p", PartKey(key, rows.size())};
    row.m_value = part;
    rows.push_back(row);
  }
  return rows;
}

// Guards against the progress of a wide job that exceeds the size of a row.
TEST_CASE("a value of any size is read back from rows of bounded size") {
  Rng rng(5);
  for (int i = 0; i < 200; ++i) {
    const std::size_t max_bytes = 1 + rng.Below(40);
    std::string value;
    for (auto bytes = rng.Below(500); bytes > 0; --bytes) {
      value += static_cast<char>(rng.Below(256));
    }
    std::vector<StoreRow> rows = RowsOf("job", value, max_bytes);
    REQUIRE(rows.size() == CountParts(value.size(), max_bytes));
    for (const StoreRow& row : rows) {
      REQUIRE(row.m_value.size() <= max_bytes);
    }
    const std::vector<StoreRow> other = RowsOf("other", "x", max_bytes);
    rows.insert(rows.begin(), other.begin(), other.end());
    const auto joined = JoinParts(rows);
    REQUIRE(joined.size() == 2);
    CHECK(joined.at("job").m_value == value);
    CHECK(joined.at("job").m_parts == rows.size() - 1);
    CHECK(joined.at("job").m_is_complete);
  }
}

// Guards against a job that the pages allow and that fits no transaction.
TEST_CASE("the largest value fits into one transaction") {
  constexpr std::size_t kTransactionBytes = 1'000'000;
  constexpr std::size_t kTransactionEntries = 100;
  for (const std::int64_t row_bytes : {1024, 4096, 65536, 1 << 20}) {
    const std::size_t part_bytes = MaxPartBytes(row_bytes);
    const std::size_t value_bytes = MaxValueBytes(part_bytes);
    CHECK((part_bytes + 2) / 3 * 4 <= static_cast<std::size_t>(row_bytes));
    CHECK(CountParts(value_bytes, part_bytes) < kTransactionEntries - 10);
    CHECK(value_bytes / 3 * 4 < kTransactionBytes - 100'000);
  }
}

// Guards against progress without its middle that is taken for complete.
TEST_CASE("a value with a missing part is reported") {
  std::vector<StoreRow> rows = RowsOf("job", "0123456789", 3);
  rows.erase(rows.begin() + 1);
  const auto joined = JoinParts(rows);
  CHECK_FALSE(joined.at("job").m_is_complete);
  CHECK(joined.at("job").m_parts == 4);
}

// Guards against a foreign row that changes or hides a value.
TEST_CASE("keys that name no part are values of their own") {
  std::vector<StoreRow> rows = RowsOf("job", "value", 100);
  for (const char* key : {"job/", "job/x", "job/-1", "job/0", "/", "a/b/c"}) {
    StoreRow row;
    row.m_key = {"t", "p", key};
    row.m_value = "odd";
    rows.push_back(row);
  }
  const auto joined = JoinParts(rows);
  CHECK(joined.size() == 7);
  CHECK(joined.at("job").m_value == "value");
}

struct SearchResult {
  std::set<int> m_stored;
  std::set<int> m_dropped;
  int m_batches = 0;
};

/// Stores items through batches of which the store takes all or none.
SearchResult StoreItems(int count, const std::set<int>& bad,
                        int all_rejected_batches) {
  std::deque<int> pending(static_cast<std::size_t>(count));
  std::iota(pending.begin(), pending.end(), 0);
  RejectionSearch search;
  SearchResult result;
  while (!pending.empty() && result.m_batches < 2000) {
    const std::size_t size =
        std::min({pending.size(), search.m_max_items, std::size_t{48}});
    const auto batch_end = pending.begin() + static_cast<std::ptrdiff_t>(size);
    const std::vector<int> batch(pending.begin(), batch_end);
    const bool rejected =
        result.m_batches++ < all_rejected_batches ||
        std::any_of(batch.begin(), batch.end(),
                    [&bad](int item) { return bad.contains(item); });
    const bool dropped = rejected && HandleBatchRejected(search, size) ==
                                         RejectionVerdict::kDropItem;
    if (!rejected) {
      HandleBatchStored(search, size);
    }
    if (rejected && !dropped) {
      continue;
    }
    (dropped ? result.m_dropped : result.m_stored)
        .insert(batch.begin(), batch.end());
    pending.erase(pending.begin(), batch_end);
  }
  return result;
}

// Guards against one row that the store rejects and that takes the rows of
// other jobs with it.
TEST_CASE("only the items that the store rejects are dropped") {
  Rng rng(7);
  for (int i = 0; i < 300; ++i) {
    const int count = 1 + static_cast<int>(rng.Below(200));
    std::set<int> bad;
    for (auto number = rng.Below(5); number > 0; --number) {
      bad.insert(static_cast<int>(rng.Below(count)));
    }
    const SearchResult result = StoreItems(count, bad, 0);
    REQUIRE(result.m_dropped == bad);
    REQUIRE(result.m_stored.size() + bad.size() ==
            static_cast<std::size_t>(count));
    REQUIRE(result.m_batches < 30 + count / 10 + 30 * 5);
  }
}

// Guards against jobs that are given up while the store rejects everything.
TEST_CASE("nothing is dropped while the store rejects empty batches") {
  const SearchResult result = StoreItems(100, {17}, 500);
  CHECK(result.m_dropped == std::set<int>{17});
  CHECK(result.m_stored.size() == 99);
}

}  // namespace
}  // namespace filbertspar
