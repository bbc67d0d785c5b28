#include <catch2/catch.hpp>

#include "platform/platform.h"

namespace filbertspar::adapter {
namespace {

CallResult MakeResult(int status, std::string body) {
  CallResult result;
  result.m_end = CallEnd::kAnswered;
  result.m_response.result(static_cast<unsigned>(status));
  result.m_response.body() = std::move(body);
  return result;
}

// Guards against one invalid entry that makes the whole configuration fail to
// decode or changes how the other entries are decoded.
TEST_CASE("an invalid entry of the configuration is skipped and named") {
  std::vector<std::string> invalid_entries;
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
      invalid_entries);
  REQUIRE(deployment.ok());
  CHECK(deployment->m_version == ConfigVersion(7));
  CHECK(invalid_entries ==
        std::vector<std::string>{"routes[1]", "services[1]"});
  REQUIRE(deployment->m_queues.size() == 1);
  const QueueConfig& queue = deployment->m_queues[0];
  CHECK(queue.m_policy.m_pool == PoolName("s"));
  CHECK(queue.m_policy.m_max_attempts == 3);
  CHECK(queue.m_policy.m_needs_recommendation);
  CHECK(queue.m_policy.m_target == Milliseconds(600));
  CHECK(deployment->m_pools.at(PoolName("s")).m_standby);
  CHECK(deployment->m_workspaces[0].m_quota.m_cpu == Millicores(100));
  CHECK(deployment->m_limits.m_body_bytes == 2048);
  CHECK_FALSE(DecodeDeploymentConfig("{}", invalid_entries).ok());
  CHECK_FALSE(DecodeDeploymentConfig("{", invalid_entries).ok());
}

// Guards against a row by another writer in the registration table that is
// taken for a worker.
TEST_CASE("registrations with missing or invalid fields are rejected") {
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

// Guards against one invalid row that hides the others of a worker's status,
// and against a response without lists that is taken for an idle worker.
TEST_CASE("a worker status skips and counts invalid rows") {
  std::size_t invalid_count = 0;
  const auto status =
      DecodeWorkerStatus(MakeResult(200,
                                    R"({"clock_ms":5000,"born":3,
                 "running":[["0011223344556677.0.1.2",4,"c",100,35],["x",1]],
                 "finished":[[9,"0011223344556677.0.0.0",2,"failed",""],
                             [10,"0011223344556677.0.0.1",2,"eaten",""]]})"),
                         invalid_count);
  REQUIRE(status);
  CHECK(invalid_count == 2);
  REQUIRE(status->m_running.size() == 1);
  CHECK(status->m_running[0].m_task ==
        TaskId{JobId("0011223344556677"), 0, 1, 2});
  CHECK(status->m_running[0].m_load == 35);
  REQUIRE(status->m_finished.size() == 1);
  CHECK(status->m_finished[0].m_outcome == RunOutcome::kFailed);
  // What cannot be read may be any run, so that none counts as absent.
  CHECK(status->m_truncated);
  CHECK_FALSE(
      DecodeWorkerStatus(MakeResult(200, R"({"clock_ms":1})"), invalid_count));
  CHECK_FALSE(DecodeWorkerStatus(MakeResult(421, "{}"), invalid_count));
}

// Guards against runs that are taken for ended because a list was cut.
TEST_CASE("a worker status is whole unless it holds as many ends as it can") {
  for (const int ends : {0, 499, 500}) {
    std::string finished;
    for (int i = 1; i <= ends; ++i) {
      finished += (i > 1 ? ",[" : "[") + std::to_string(i) +
                  R"(,"0011223344556677.0.0.0",2,"done",""])";
    }
    std::size_t invalid_count = 3;
    const auto status = DecodeWorkerStatus(
        MakeResult(200,
                   R"({"clock_ms":5000,"born":3,"running":[],"finished":[)" +
                       finished + "]}"),
        invalid_count);
    REQUIRE(status);
    CHECK(status->m_truncated == (ends == 500));
    CHECK(invalid_count == 3);
  }
}

// Guards against a refused order that is taken for accepted, or the reverse.
TEST_CASE("responses to orders map to distinct results") {
  const auto result = [](int status, const std::string& body) {
    return DecodeOrderResponse(MakeResult(status, body)).m_result;
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

// Guards against a start request with the fields of another worker or run.
TEST_CASE("a start request carries worker, run, lease and checkpoint") {
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

// Guards against rows that count as absent because a page was taken for the
// last one.
TEST_CASE("a page of rows is the last one only if it says so or is empty") {
  const auto has_more = [](const std::string& body) {
    return DecodeStoreResponse(MakeResult(200, body)).m_more;
  };
  const std::string row = R"("rows":[{"table":"t","key":"k","value":"aGk="}])";
  CHECK(has_more("{" + row + R"(,"has_more":true})"));
  CHECK_FALSE(has_more("{" + row + R"(,"has_more":false})"));
  CHECK(has_more("{" + row + "}"));
  CHECK_FALSE(has_more(R"({"rows":[]})"));
}

// Guards against a failed store request that is taken for a successful one.
TEST_CASE("responses of the store map to distinct results") {
  const auto result = [](int status) {
    return DecodeStoreResponse(MakeResult(status, "{}")).m_result;
  };
  CHECK(result(200) == StoreResult::kDone);
  CHECK(result(412) == StoreResult::kConflict);
  CHECK(result(410) == StoreResult::kHistoryGone);
  CHECK(result(429) == StoreResult::kRefused);
  CHECK(result(503) == StoreResult::kRefused);
  CHECK(result(400) == StoreResult::kInvalid);
  CHECK(result(500) == StoreResult::kUnknown);
  CHECK(DecodeStoreResponse(MakeResult(200, "half a bo")).m_result ==
        StoreResult::kUnknown);
  const StoreResponse response = DecodeStoreResponse(MakeResult(
      200, R"({"rows":[{"table":"t","part":"p","key":"k","value":"aGk=",
                        "schema_version":5},
                       {"table":"t","key":"gone","deleted":true,
                        "schema_version":6}, 3],
               "has_more":true,"schema_version":9,"now_ms":77})"));
  REQUIRE(response.m_rows.size() == 2);
  CHECK(response.m_rows[0].m_value == "hi");
  CHECK(response.m_rows[1].m_deleted);
  CHECK(response.m_version == RowVersion(9));
  CHECK(response.m_now_ms == 77);
  CHECK(response.m_more);
}

// Guards against a transaction that is sent without one of its conditions.
TEST_CASE("a transaction carries conditions, writes and deletes") {
  StoreTransaction transaction;
  transaction.m_conditions.push_back({{"t", "p", "k"}, RowVersion(4)});
  transaction.m_writes.push_back({{"t", "p", "k"}, "hi"});
  transaction.m_deletes.push_back({"u", "p", "old"});
  CHECK(*ParseJson(MakeTransactionRequest(transaction).body()) ==
        *ParseJson(R"({"expected_revision":[{"table":"t","part":"p","key":"k",
                         "schema_version":4}],
                       "set_keys":[{"table":"t","part":"p","key":"k",
                         "value":"aGk="}],
                       "remove":[{"table":"u","part":"p","key":"old"}]})"));
  CHECK(MakeReadRequest("t", "0", "a", 20).target() ==
        "/rows-get?table=t&part=0&from=a&limit=20");
  CHECK(MakeReadRequest("t", "0", "a\x01").target() ==
        "/rows-get?table=t&part=0&from=a%01");
}

// Guards against a malformed submission that crashes the process or becomes a
// job.
TEST_CASE("malformed submissions are rejected with a code") {
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

// Guards against VMs, waves and results of VM orders that are decoded wrongly.
TEST_CASE("VMs and waves are decoded, invalid ones are skipped") {
  const auto page = DecodeVmPage(
      MakeResult(200,
                 R"({"machines":[{"machine":"m-1","pool":"s","state":"up",
                   "labels":["a","r1"],"capacity":{"cpu":16000},"id":"i-1"},
                  {"machine":"m-2","pool":"s","state":"asleep"},
                  {"pool":"s","state":"up"},7],
                 "next_token":"t"})"));
  REQUIRE(page);
  CHECK(page->m_invalid_vms == std::vector<VmName>{VmName("m-2")});
  CHECK(page->m_nameless_count == 2);
  REQUIRE(page->m_vms.size() == 1);
  CHECK(page->m_vms[0].m_worker == WorkerName("i-1"));
  CHECK(page->m_next == "t");
  const auto wave = DecodeWave(
      R"({"wave":1,"machines":["m-1"],"duration_s":2.5,"ceiling":3})");
  REQUIRE(wave.ok());
  CHECK(wave->m_duration == Milliseconds(2500));
  CHECK(wave->m_max_down == 3);
  CHECK_FALSE(DecodeWave(R"({"wave":"x"})").ok());
  CHECK(DecodeVmOrderResult(MakeResult(409, R"({"reason":"wave"})")) ==
        VmOrderResult::kNotInWave);
  CHECK(DecodeVmOrderResult(MakeResult(429, "")) == VmOrderResult::kTryLater);
  CHECK(DecodeVmOrderResult(MakeResult(500, "")) == VmOrderResult::kUnknown);
}

// Guards against a list that is taken for whole though a page is missing.
TEST_CASE("a list of VMs ends only where the page says so") {
  const auto next = [](const std::string& rest) {
    const auto page =
        DecodeVmPage(MakeResult(200, R"({"machines":[])" + rest + "}"));
    return page ? page->m_next : "unusable";
  };
  CHECK(next("").empty());
  CHECK(next(R"(,"next_token":"")").empty());
  CHECK(next(R"(,"next_token":null)").empty());
  CHECK(next(R"(,"next_token":"t")") == "t");
  CHECK(next(R"(,"next_token":7)") == "unusable");
  CHECK(next(R"(,"next_token":["t"])") == "unusable");
}

// Guards against a deployment on which nothing is served and no line says why.
TEST_CASE("only workers that are called can be ordered") {
  CHECK(IsSupportedOrderMode(""));
  CHECK(IsSupportedOrderMode("invocation"));
  CHECK_FALSE(IsSupportedOrderMode("heartbeat"));
}

}  // namespace
}  // namespace filbertspar::adapter
