#include <catch2/catch.hpp>

#include "platform/platform.h"

namespace filbertspar::adapter {
namespace {

CallResult Answer(int status, std::string body) {
  CallResult result;
  result.m_end = CallEnd::kAnswered;
  result.m_response.result(static_cast<unsigned>(status));
  result.m_response.body() = std::move(body);
  return result;
}

// Guards against a configuration that is refused as a whole, or read wrongly,
// because one entry is damaged.
TEST_CASE("a damaged entry of the configuration is left out and named") {
  std::vector<std::string> damaged;
  const auto deployment = DecodeDeploymentConfig(
      R"({"version":7,"routes":[
        {"name":"r1","host":"h","path_prefix":"/a/","timeout_ms":3000,
         "target_latency_ms":600,"priority":1,"service":"s","attempts":3,
         "stretch":1.6,"public":false,"recommendation":{"decision_ms":5}},
        {"name":"r2","host":"h","path_prefix":7,"service":"s"}],
       "services":[{"name":"s","rejects_overload":true,"standby":true}, 4],
       "tenants":[{"name":"t","api_keys":["k1","k2"],"weight":3,
                   "ceiling":{"cpu":100,"mem_mb":200,"gpu":0}}],
       "limits":{"max_body_bytes":2048}})",
      damaged);
  REQUIRE(deployment.ok());
  CHECK(deployment->m_version == ConfigVersion(7));
  CHECK(damaged == std::vector<std::string>{"routes[1]", "services[1]"});
  REQUIRE(deployment->m_queues.size() == 1);
  const QueueConfig& queue = deployment->m_queues[0];
  CHECK(queue.m_policy.m_pool == PoolName("s"));
  CHECK(queue.m_policy.m_max_attempts == 3);
  CHECK(queue.m_policy.m_needs_recommendation);
  CHECK(queue.m_policy.m_target == Milliseconds(600));
  CHECK(deployment->m_pools.at(PoolName("s")).m_standby);
  CHECK(deployment->m_workspaces[0].m_quota.m_cpu == Millicores(100));
  CHECK(deployment->m_limits.m_body_bytes == 2048);
  CHECK_FALSE(DecodeDeploymentConfig("{}", damaged).ok());
  CHECK_FALSE(DecodeDeploymentConfig("{", damaged).ok());
}

// Guards against a registration by another writer that is taken for a worker.
TEST_CASE("registrations with missing or odd fields name no worker") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"draining",
          "remaining_ms":900,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
          "labels":["a","r1-3"],"born":1700000000000})";
  const auto worker = DecodeWorkerRecord("i-1", good);
  REQUIRE(worker.ok());
  CHECK(worker->m_rack == RackName("r1-3"));
  CHECK(worker->m_draining);
  CHECK(worker->m_remaining == Milliseconds(900));
  CHECK(worker->m_incarnation == 1700000000000);
  const auto with = [&good](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return DecodeWorkerRecord("i-1", text).ok();
  };
  CHECK_FALSE(with("\"draining\"", "\"resting\""));
  CHECK_FALSE(with("\"10.0.0.9:80\"", "\"nowhere\""));
  CHECK_FALSE(with("16000", "\"many\""));
  CHECK_FALSE(with("16000", "-1"));
  CHECK_FALSE(with("[\"a\",\"r1-3\"]", "\"a\""));
  CHECK_FALSE(with("1700000000000", "1.5"));
  CHECK_FALSE(DecodeWorkerRecord("i-1", "\x01\x02").ok());
}

// Guards against one unreadable row that hides the others of a look, and
// against an answer without lists that is taken for an idle worker.
TEST_CASE("a look skips and counts rows that cannot be read") {
  std::size_t damaged = 0;
  const auto look = DecodeWorkerStatus(Answer(200,
                                              R"({"clock_ms":5000,"born":3,
                 "running":[["0011223344556677.0.1.2",4,"c",100,35],["x",1]],
                 "finished":[[9,"0011223344556677.0.0.0",2,"failed",""],
                             [10,"0011223344556677.0.0.1",2,"eaten",""]]})"),
                                       damaged);
  REQUIRE(look);
  CHECK(damaged == 2);
  REQUIRE(look->m_running.size() == 1);
  CHECK(look->m_running[0].m_task ==
        TaskId{JobId("0011223344556677"), 0, 1, 2});
  CHECK(look->m_running[0].m_load == 35);
  REQUIRE(look->m_finished.size() == 1);
  CHECK(look->m_finished[0].m_outcome == RunOutcome::kFailed);
  CHECK_FALSE(DecodeWorkerStatus(Answer(200, R"({"clock_ms":1})"), damaged));
  CHECK_FALSE(DecodeWorkerStatus(Answer(421, "{}"), damaged));
}

// Guards against a refusal that is taken for a run, or the reverse.
TEST_CASE("answers to orders are told apart") {
  const auto result = [](int status, const std::string& body) {
    return DecodeOrderResponse(Answer(status, body)).m_result;
  };
  CHECK(result(200, R"({"clock_ms":1})") == OrderResult::kAccepted);
  CHECK(result(409, R"({"reason":"fence"})") == OrderResult::kFenced);
  CHECK(result(409, R"({"reason":"room"})") == OrderResult::kNoCapacity);
  CHECK(result(409, R"({"reason":"late"})") == OrderResult::kDeadlinePassed);
  CHECK(result(409, R"({"reason":"old"})") == OrderResult::kStaleRun);
  CHECK(result(409, R"({"reason":"?"})") == OrderResult::kUnknown);
  CHECK(result(421, "") == OrderResult::kOtherInstance);
  CHECK(result(429, "") == OrderResult::kUnhealthy);
  CHECK(result(500, "") == OrderResult::kUnknown);
  CallResult lost;
  lost.m_end = CallEnd::kLost;
  CHECK(DecodeOrderResponse(lost).m_result == OrderResult::kUnknown);
}

// Guards against a start that carries another worker's or run's fields.
TEST_CASE("a start names worker, run, lease and checkpoint") {
  StartOrder order;
  order.m_task = {JobId("0011223344556677"), 3, 1, 17};
  order.m_run = RunNumber(2);
  order.m_payload = "text";
  order.m_deadline_ms = 486000;
  order.m_fencing = FencingNumber(7);
  order.m_checkpoint = "c";
  const HttpRequest request = MakeStartRequest(WorkerName("i-1"), order);
  CHECK(HeaderOf(request, "X-Expected-Instance") == "i-1");
  CHECK(*ParseJson(request.body()) ==
        *ParseJson(R"({"task":"0011223344556677.3.1.17","run":2,"spec":"text",
                       "deadline_ms":486000,"fencing_token":7,
                       "checkpoint":"c"})"));
  CHECK(ParseTaskId("0011223344556677.3.1.17") == order.m_task);
  CHECK_FALSE(ParseTaskId("0011223344556677.3.1"));
  CHECK_FALSE(ParseTaskId("a.b.c.d"));
}

// Guards against a store answer that is read as done when it was not.
TEST_CASE("answers of the store are told apart") {
  const auto result = [](int status) {
    return DecodeStoreResponse(Answer(status, "{}")).m_result;
  };
  CHECK(result(200) == StoreResult::kDone);
  CHECK(result(412) == StoreResult::kConflict);
  CHECK(result(410) == StoreResult::kHistoryGone);
  CHECK(result(429) == StoreResult::kRefused);
  CHECK(result(503) == StoreResult::kRefused);
  CHECK(result(400) == StoreResult::kInvalid);
  CHECK(result(500) == StoreResult::kUnknown);
  CHECK(DecodeStoreResponse(Answer(200, "half a bo")).m_result ==
        StoreResult::kUnknown);
  const StoreResponse answer = DecodeStoreResponse(
      Answer(200, R"({"rows":[{"table":"t","part":"p","key":"k","value":"aGk=",
                        "schema_version":5},
                       {"table":"t","key":"gone","deleted":true,
                        "schema_version":6}, 3],
               "has_more":true,"schema_version":9,"now_ms":77})"));
  REQUIRE(answer.m_rows.size() == 2);
  CHECK(answer.m_rows[0].m_value == "hi");
  CHECK(answer.m_rows[1].m_deleted);
  CHECK(answer.m_version == RowVersion(9));
  CHECK(answer.m_now_ms == 77);
  CHECK(answer.m_more);
}

// Guards against a change that loses a condition on its way.
TEST_CASE("a change carries conditions, values and removals") {
  StoreTransaction change;
  change.m_conditions.push_back({{"t", "p", "k"}, RowVersion(4)});
  change.m_writes.push_back({{"t", "p", "k"}, "hi"});
  change.m_deletes.push_back({"u", "p", "old"});
  CHECK(*ParseJson(MakeTransactionRequest(change).body()) ==
        *ParseJson(R"({"expected_revision":[{"table":"t","part":"p","key":"k",
                         "schema_version":4}],
                       "set_keys":[{"table":"t","part":"p","key":"k",
                         "value":"aGk="}],
                       "remove":[{"table":"u","part":"p","key":"old"}]})"));
  CHECK(MakeReadRequest("t", "0", "a\x01").target() ==
        "/rows-get?table=t&part=0&from=a%01");
}

// Guards against a malformed submit that ends a process or becomes a job.
TEST_CASE("malformed submits are refused with a reason") {
  const auto code = [](const std::string& body) {
    return CodeOf(DecodeJobSubmission(body).status());
  };
  CHECK(code(R"({"spec":"x","steps":[{"count":2,"cpu":500}]})") == Code::kOk);
  CHECK(code("") == Code::kBadJson);
  CHECK(code("[]") == Code::kBadJson);
  CHECK(code(R"({"spec":"x"})") == Code::kBadField);
  CHECK(code(R"({"spec":"x","steps":[]})") == Code::kBadField);
  CHECK(code(R"({"spec":"x","steps":[{"count":0}]})") == Code::kBadField);
  CHECK(code(R"({"spec":"x","steps":[{"count":-1}]})") == Code::kBadField);
  CHECK(code(R"({"spec":5,"steps":[{"count":1}]})") == Code::kBadField);
  CHECK(code(R"({"spec":"x","steps":[{"count":1,"gang":"yes"}]})") ==
        Code::kBadField);
  CHECK(code(R"({"spec":"x","steps":[{"count":1,"after":[0]}]})") ==
        Code::kBadField);
  CHECK(code(R"({"spec":"x","steps":[{"count":20000},{"count":1}]})") ==
        Code::kBadField);
  CHECK(IsJobId("0011223344556677"));
  CHECK_FALSE(IsJobId("00112233445566778"));
  CHECK_FALSE(IsJobId("001122334455667g"));
}

// Guards against VMs and waves that are read wrongly.
TEST_CASE("VMs and waves are read, damaged ones are left out") {
  std::size_t damaged = 0;
  const auto page = DecodeVmPage(
      Answer(200,
             R"({"machines":[{"machine":"m-1","pool":"s","state":"up",
                   "labels":["a","r1"],"capacity":{"cpu":16000},"id":"i-1"},
                  {"machine":"m-2","pool":"s","state":"asleep"}],
                 "next_token":"t"})"),
      damaged);
  REQUIRE(page);
  CHECK(damaged == 1);
  REQUIRE(page->m_vms.size() == 1);
  CHECK(page->m_vms[0].m_worker == WorkerName("i-1"));
  CHECK(page->m_next == "t");
  const auto wave = DecodeWave(
      R"({"wave":1,"machines":["m-1"],"duration_s":2.5,"ceiling":3})");
  REQUIRE(wave.ok());
  CHECK(wave->m_duration == Milliseconds(2500));
  CHECK(wave->m_max_down == 3);
  CHECK_FALSE(DecodeWave(R"({"wave":"x"})").ok());
  CHECK(DecodeVmOrderResult(Answer(409, R"({"reason":"wave"})")) ==
        VmOrderResult::kNotInWave);
  CHECK(DecodeVmOrderResult(Answer(429, "")) == VmOrderResult::kTryLater);
  CHECK(DecodeVmOrderResult(Answer(500, "")) == VmOrderResult::kUnknown);
}

}  // namespace
}  // namespace filbertspar::adapter
