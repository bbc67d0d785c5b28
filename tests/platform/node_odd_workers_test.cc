#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "platform/platform.h"
#include "tests/scheduler_simulation.h"

namespace filbertspar {
namespace {

using scheduler::Simulation;

const std::string kGood =
    R"({"service":"p","address":"10.0.0.9:80","zone":"z","state":"ready",
        "remaining_ms":900,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
        "labels":["a","r1"],"born":1700000000000})";

std::string Nested(const std::string& open, const std::string& close,
                   int depth) {
  std::string text;
  for (int i = 0; i < depth; ++i) {
    text += open;
  }
  text += "1";
  for (int i = 0; i < depth; ++i) {
    text += close;
  }
  return text;
}

/// Values that another writer may have put in the place of a field's value.
std::vector<std::string> OddValues() {
  return {"1e999",
          "-1e999",
          "1e18",
          "9223372036854775807",
          "-9223372036854775808",
          "18446744073709551615",
          "99999999999999999999999999",
          "1.5",
          "-1",
          "null",
          "true",
          "\"\"",
          "\"10.0.0.9:65536\"",
          "\"10.0.0.9:0\"",
          "\"10.0.0.9:-1\"",
          "\"10.0.0.9:99999999999\"",
          "\"999.0.0.1:80\"",
          "[]",
          "{}",
          "[null]",
          "\"\\u0000\\ud800\"",
          "\"" + std::string(100'000, 'x') + "\"",
          Nested("[", "]", 31),
          Nested("[", "]", 100'000),
          Nested("{\"a\":", "}", 100'000)};
}

std::vector<std::string> OddEntries() {
  std::vector<std::string> entries = {
      "", "\x01\x02", "[]", "null", "{", Nested("[", "]", 100'000)};
  for (const char* value :
       {"\"p\"", "\"10.0.0.9:80\"", "\"z\"", "\"ready\"", "900", "16000",
        "32768", "0}", "\"a\"", "[\"a\",\"r1\"]", "1700000000000",
        R"({"cpu":16000,"mem_mb":32768,"gpu":0})"}) {
    for (const std::string& odd : OddValues()) {
      std::string entry = kGood;
      const std::string from = value;
      entry.replace(entry.find(from), from.size(),
                    from == "0}" ? odd + "}" : odd);
      entries.push_back(entry);
    }
  }
  return entries;
}

// Guards against one odd entry among those of the workers that ends the
// processes that read it, again and again, or keeps them from the others.
TEST_CASE("odd entries among the workers harm nothing") {
  Simulation simulation;
  simulation.AddWorker("sound", "p", 16);
  std::size_t usable = 0;
  std::size_t number = 0;
  for (const std::string& entry : OddEntries()) {
    const auto record =
        adapter::DecodeWorkerRecord("odd-" + std::to_string(number++), entry);
    if (!record.ok()) {
      continue;
    }
    ++usable;
    CHECK(record->m_endpoint.m_port != 0);
    CHECK(record->m_capacity.m_cpu.Count() <= 1'000'000'000'000);
    RegisterWorker(*simulation.m_owner, simulation.m_now, *record);
  }
  INFO(usable << " of " << number);
  CHECK(usable < number);
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.Submit(Simulation::MakeJob("j", "p", 8, Seconds(1))));
  simulation.RunFor(Seconds(20));
  CHECK(simulation.StateOfJob("j") == JobState::kCompleted);
}

// Guards against a worker's name that adds a header to the orders sent to it.
TEST_CASE("a registration under a name with control characters is rejected") {
  CHECK(adapter::DecodeWorkerRecord("i-1", kGood).ok());
  for (const char* name :
       {"", "i 1", "i-1\r\nX-Other: 1", "i-\x7f", "i-\xff"}) {
    CHECK_FALSE(adapter::DecodeWorkerRecord(name, kGood).ok());
  }
}

// Guards against damaged numbers in a worker's lists that hide its later ends
// or push the numbers of runs out of range.
TEST_CASE("odd numbers in the status of a worker are skipped") {
  for (const std::string& odd : OddValues()) {
    std::size_t damaged = 0;
    CallResult result;
    result.m_end = CallEnd::kAnswered;
    result.m_response.result(200);
    const std::string task = "\"00000000000000aa.0.0.0\"";
    result.m_response.body() = absl::StrCat(
        R"({"clock_ms":5,"running":[[)", task, ",", odd,
        R"(,"",100]],"finished":[[)", odd, ",", task, R"(,1,"done",""],[1,)",
        task, ",", odd, R"(,"done",""]]})");
    const auto status = adapter::DecodeWorkerStatus(result, damaged);
    if (!status) {
      continue;
    }
    for (const auto& run : status->m_running) {
      CHECK(run.m_run.Value() <= 1ULL << 50);
    }
    for (const auto& run : status->m_finished) {
      CHECK(run.m_run.Value() <= 1ULL << 50);
      CHECK(run.m_number <= 1ULL << 50);
    }
  }
}

// Guards against a configuration or a wave with numbers out of range.
TEST_CASE("odd numbers of operators stay within bounds") {
  for (const std::string& odd : OddValues()) {
    const auto wave = adapter::DecodeWave(
        R"({"wave":1,"machines":["m"],"ceiling":1,"duration_s":)" + odd + "}");
    if (wave.ok()) {
      CHECK(wave->m_duration <= Seconds(1'000'000'000));
    }
    std::vector<std::string> invalid;
    const auto config = adapter::DecodeDeploymentConfig(
        absl::StrCat(
            R"({"version":1,"routes":[{"name":"q","host":"h",)",
            R"("path_prefix":"/q/","service":"p","timeout_ms":)", odd,
            R"(,"stretch":)", odd, R"(,"target_latency_ms":)", odd,
            R"(}],"services":[],"tenants":[{"name":"t","api_keys":[],)",
            R"("weight":)", odd, R"(,"ceiling":{"cpu":)", odd, "}}]}"),
        invalid);
    if (config.ok() && !config->m_queues.empty()) {
      CHECK(config->m_queues[0].m_policy.m_stretch <= 100);
      CHECK(config->m_queues[0].m_call_timeout <= Seconds(1'000'000'000'000));
    }
  }
}

}  // namespace
}  // namespace filbertspar
