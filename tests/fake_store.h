#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/fake_table.h"
#include "tests/virtual_time.h"

namespace filbertspar::testing {

struct StoreFaults {
  double m_lose_request = 0;
  double m_lose_answer = 0;
  Duration m_min_delay = Milliseconds(1);
  Duration m_max_delay = Milliseconds(3);
};

/// \brief The table in virtual time, behind the contract of the platform
/// client: a lost write is repeated with its attempt id until it is settled.
struct FakeStore {
  VirtualTime& m_time;
  Rng m_rng{1};
  StoreFaults m_faults;
  FakeTable m_table;
  bool m_down = false;
  /// Nodes that cannot reach the store.
  std::set<int> m_cut;
  std::uint64_t m_attempts = 0;
};

inline constexpr Duration kFakeTimeout = Milliseconds(500);

inline bool Reaches(const FakeStore& store, int node) {
  return !store.m_down && !store.m_cut.contains(node);
}

inline Duration StoreDelay(FakeStore& store) {
  return RandomDuration(store.m_rng, store.m_faults.m_min_delay,
                        store.m_faults.m_max_delay);
}

/// \brief One exchange: `serve` runs at the store unless the request is lost;
/// `end(true)` after the answer, `end(false)` after the timeout.
inline void Exchange(FakeStore& store, int node, std::function<void()> serve,
                     std::function<void(bool)> end) {
  const bool sent = Reaches(store, node) &&
                    !store.m_rng.Chance(store.m_faults.m_lose_request);
  const TimePoint timeout = store.m_time.Now() + kFakeTimeout;
  if (!sent) {
    store.m_time.At(timeout, [end] { end(false); });
    return;
  }
  store.m_time.After(StoreDelay(store), [&store, node, serve, end, timeout] {
    serve();
    const bool answered = Reaches(store, node) &&
                          !store.m_rng.Chance(store.m_faults.m_lose_answer);
    const TimePoint back = store.m_time.Now() + StoreDelay(store);
    const bool in_time = answered && back < timeout;
    store.m_time.At(in_time ? back : timeout, [end, in_time] { end(in_time); });
  });
}

using WriteCallback = std::function<void(const WriteReport&)>;
/// \brief False once the writing process has crashed: it repeats no more.
using AliveCallback = std::function<bool()>;

namespace internal {

inline void TryWrite(FakeStore& store, int node, const WriteBody& write,
                     TimePoint deadline, bool told, const AliveCallback& alive,
                     const WriteCallback& report) {
  auto result = std::make_shared<WriteReport>();
  Exchange(
      store, node,
      [&store, write, result] {
        result->m_conflicts =
            WriteRows(store.m_table, write, &result->m_versions);
        result->m_outcome = result->m_conflicts.empty()
                                ? WriteOutcome::kCommitted
                                : WriteOutcome::kConflict;
      },
      [&store, node, write, deadline, told, alive, report,
       result](bool answered) {
        if (!alive()) {
          return;
        }
        if (answered) {
          report(*result);
          return;
        }
        const bool tell = !told && store.m_time.Now() >= deadline;
        if (tell) {
          report({.m_operation = {},
                  .m_outcome = WriteOutcome::kUnsettled,
                  .m_code = Code::kPlatformUnsettled});
        }
        store.m_time.After(
            RandomDuration(store.m_rng, Milliseconds(20), Milliseconds(500)),
            [&store, node, write, deadline, told = told || tell, alive,
             report] {
              if (alive()) {
                TryWrite(store, node, write, deadline, told, alive, report);
              }
            });
      });
}

}  // namespace internal

inline void SendWrite(FakeStore& store, int node, std::vector<RowWrite> rows,
                      Duration deadline, const AliveCallback& alive,
                      const WriteCallback& report) {
  const WriteBody write{"a" + std::to_string(++store.m_attempts),
                        std::move(rows)};
  internal::TryWrite(store, node, write, store.m_time.Now() + deadline, false,
                     alive, report);
}

inline void SendRead(FakeStore& store, int node, const RowKey& key,
                     const std::function<void(Code, const Row&)>& end) {
  auto row = std::make_shared<Row>();
  Exchange(
      store, node,
      [&store, key, row] {
        ++store.m_table.m_reads;
        *row = ReadRow(store.m_table, key);
      },
      [row, end](bool answered) {
        end(answered ? Code::kOk : Code::kPlatformTimeout, *row);
      });
}

inline void SendChanges(
    FakeStore& store, int node, const std::string& table, std::uint64_t since,
    const std::function<void(Code, const ChangeList&)>& end) {
  auto changes = std::make_shared<ChangeList>();
  Exchange(
      store, node,
      [&store, table, since, changes] {
        ++store.m_table.m_reads;
        *changes = ReadChanges(store.m_table, table, since);
      },
      [changes, end](bool answered) {
        end(answered ? Code::kOk : Code::kPlatformTimeout, *changes);
      });
}

}  // namespace filbertspar::testing
