#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/node/src/journal.h"
#include "filbertspar/node/src/node.h"
#include "filbertspar/node/src/vm_manager.h"
#include "tests/platform/stub_store.h"

namespace filbertspar {
namespace {

/// Lets time pass until the condition holds; false when it never does.
template <typename Condition>
bool RunUntil(asio::io_context& context, Condition condition) {
  const TimePoint deadline = BootNow() + Seconds(20);
  while (!condition() && BootNow() < deadline && !context.stopped()) {
    context.run_one_for(std::chrono::milliseconds(100));
  }
  return condition();
}

NodeOptions OptionsOf(const StubStore& store) {
  NodeOptions options;
  options.m_vm = VmName("vm-1");
  options.m_zone = ZoneName("z1");
  for (Endpoint* endpoint :
       {&options.m_caller_listen, &options.m_ready_listen,
        &options.m_link_listen, &options.m_metrics_listen}) {
    *endpoint = {"127.0.0.1", 0};
  }
  options.m_cpu_capacity = Millicores(1000);
  options.m_memory_bytes = 256 << 20;
  options.m_max_client_connections = 100;
  options.m_max_client_bytes = 1 << 20;
  options.m_client_read_time = Seconds(1);
  options.m_link_mbps = 1000;
  options.m_store = store.Address();
  options.m_store_reads_per_s = options.m_store_writes_per_s = 1000;
  options.m_partition_transactions_per_s = 200;
  options.m_max_row_bytes = 65536;
  options.m_fleet_orders_per_s = options.m_fleet_reads_per_s = 64;
  options.m_worker_report_interval = Milliseconds(1500);
  options.m_max_lease = Seconds(6);
  options.m_revocation_time = Seconds(5);
  options.m_grace_period = Seconds(6);
  return options;
}

// Guards against jobs without an owner until its row has been silent for long:
// a claim that is answered after the process began to stop begins a term that
// nobody gives up.
TEST_CASE("a claim that a stopping process wins is given up") {
  asio::io_context context;
  StubStore store(context);
  bool has_claimed = false;
  bool is_released = false;
  store.m_holds = [&](const std::string& target) {
    has_claimed = has_claimed || absl::StartsWith(target, "/rows-tx");
    return absl::StartsWith(target, "/rows-tx");
  };
  store.m_on_transaction = [&](const JsonObject& transaction) {
    const JsonObject owner = StubStore::ValueOf(transaction, job_table::kOwner);
    is_released = is_released || (owner.contains("released") &&
                                  owner.at("released").as_bool());
  };
  Node node(context, OptionsOf(store));
  REQUIRE(node.Start().ok());
  REQUIRE(RunUntil(context, [&] { return has_claimed; }));
  node.Stop();
  context.poll();
  store.LetGo();
  CHECK(RunUntil(context, [&] { return is_released; }));
}

/// What a journal and a manager of VMs need beside the store.
struct TermParts {
  explicit TermParts(asio::io_context& context)
      : m_store_stub(context),
        m_options(OptionsOf(m_store_stub)),
        m_log(context, EventLogLimits(), STDERR_FILENO),
        m_client(context, HttpClientLimits()),
        m_traffic(m_metrics, 1000),
        m_store(m_client, m_metrics, m_traffic, m_log, m_store_stub.Address(),
                {1000, 1000}),
        m_configuration(context, m_store, m_log, Seconds(3)),
        m_journal(std::make_shared<Journal>(
            context, m_store, m_traffic, m_log, m_scheduler, WonClaim(),
            Journal::Limits{200, 65536}, Journal::Hooks())) {}

  StubStore m_store_stub;
  NodeOptions m_options;
  EventLog m_log;
  MetricsBook m_metrics;
  HttpClient m_client;
  TrafficMeter m_traffic;
  StoreClient m_store;
  Configuration m_configuration;
  scheduler::Scheduler m_scheduler;
  std::shared_ptr<Journal> m_journal;
};

// Guards against the use of a journal that ended with its term while an order
// to a VM waited for its row to be stored.
TEST_CASE("a journal lasts until those that wait for it know its end") {
  asio::io_context context;
  TermParts parts(context);
  bool has_ended = false;
  bool was_stored = true;
  asio::co_spawn(
      context,
      [&, journal = parts.m_journal.get()]() -> asio::awaitable<void> {
        const StoreKey key{"table", "0", "key"};
        std::string value = "value";
        was_stored = co_await journal->PutAndWait(key, std::move(value));
        has_ended = true;
      },
      asio::detached);
  context.poll();
  const std::weak_ptr<Journal> journal = parts.m_journal;
  parts.m_journal->Stop();
  parts.m_journal.reset();
  REQUIRE_FALSE(journal.expired());
  CHECK(RunUntil(context, [&] { return has_ended; }));
  CHECK_FALSE(was_stored);
  CHECK(RunUntil(context, [&] { return journal.expired(); }));
}

// Guards against the use of an owner's term by its manager of VMs, which
// outlives it while it waits for the store, and against a wave whose state is
// written after the term.
TEST_CASE("a manager of VMs asks nothing of its term once that has ended") {
  asio::io_context context;
  TermParts parts(context);
  StubStore& store = parts.m_store_stub;
  store.m_rows["op"]["wave/1"] =
      R"({"wave":1,"machines":["m1"],"duration_s":30,"ceiling":1})";
  bool is_reading_status = false;
  store.m_holds = [&](const std::string& target) {
    const bool is_status = absl::StrContains(target, "table=status");
    is_reading_status = is_reading_status || is_status;
    return is_status;
  };
  parts.m_configuration.Start([] {});
  REQUIRE(RunUntil(context,
                   [&] { return !parts.m_configuration.Waves().empty(); }));
  parts.m_options.m_fleet = store.Address();
  bool has_ended = false;
  int asked_after_end = 0;
  const auto manager = std::make_shared<VmManager>(
      VmManager::Parts{context, parts.m_options, parts.m_client, parts.m_store,
                       parts.m_configuration, parts.m_metrics, parts.m_log,
                       parts.m_scheduler, *parts.m_journal},
      VmManager::Hooks{[&] {
                         asked_after_end += has_ended ? 1 : 0;
                         return true;
                       },
                       [] {}});
  int transactions = 0;
  store.m_on_transaction = [&](const JsonObject&) { ++transactions; };
  manager->Start();
  REQUIRE(RunUntil(context, [&] { return is_reading_status; }));
  manager->Stop();
  has_ended = true;
  store.LetGo();
  std::weak_ptr<VmManager> weak = manager;
  CHECK(RunUntil(context, [&] { return weak.use_count() == 1; }));
  CHECK(asked_after_end == 0);
  CHECK(transactions == 0);
}

}  // namespace
}  // namespace filbertspar
