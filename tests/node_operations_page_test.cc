#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "filbertspar/node/src/metric_names.h"

namespace filbertspar {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  REQUIRE(file);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Guards against metrics missing from the operations page, and against listed
// metrics that do not exist.
TEST_CASE("docs/OPERATIONS.md lists each metric") {
  std::set<std::string> known;
  for (const MetricFamily& family : metric::kAll) {
    known.insert(std::string(family.m_name));
  }
  std::set<std::string> listed;
  const std::string page = ReadFile("docs/OPERATIONS.md");
  const std::regex row(R"(\n\| `(filbertspar_[a-z_]+)` \|)");
  for (std::sregex_iterator match(page.begin(), page.end(), row), end;
       match != end; ++match) {
    listed.insert((*match)[1].str());
  }
  CHECK(listed == known);
}

// Guards against documented log events that no process writes.
TEST_CASE("docs/OPERATIONS.md names only events that are logged") {
  std::string sources;
  for (const char* file : {"filbertspar/node/src/owner_term.cc",
                           "filbertspar/node/src/owner_term_calls.cc",
                           "filbertspar/node/src/owner_term_workers.cc",
                           "filbertspar/node/src/job_api.cc",
                           "filbertspar/node/src/owner_watch.cc",
                           "filbertspar/node/src/journal.cc",
                           "filbertspar/node/src/journal_batch.cc",
                           "filbertspar/node/src/event_log.cc",
                           "filbertspar/node/src/vm_manager.cc",
                           "filbertspar/node/src/link_client.cc",
                           "filbertspar/node/src/store_client.cc",
                           "filbertspar/node/src/worker_connections.cc",
                           "filbertspar/node/src/worker_connections_starts.cc",
                           "filbertspar/node/src/start_relay.cc",
                           "filbertspar/node/src/configuration.cc",
                           "filbertspar/node/src/node.cc",
                           "filbertspar/scheduler/src/jobs.cc",
                           "filbertspar/scheduler/src/crashes.cc",
                           "filbertspar/scheduler/src/leases.cc",
                           "filbertspar/scheduler/src/superseded.cc",
                           "filbertspar/scheduler/src/workers.cc",
                           "filbertspar/scheduler/src/dispatch.cc"}) {
    sources += ReadFile(file);
  }
  const std::string page = ReadFile("docs/OPERATIONS.md");
  const std::regex event(R"(event=([a-z_]+))");
  for (std::sregex_iterator match(page.begin(), page.end(), event), end;
       match != end; ++match) {
    const std::string name = (*match)[1].str();
    INFO(name);
    CHECK((sources.find("\"" + name + "\"") != std::string::npos ||
           sources.find("event=" + name) != std::string::npos));
  }
}

}  // namespace
}  // namespace filbertspar
