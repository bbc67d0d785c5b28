#include <catch2/catch.hpp>

#include "filbertspar/job/job.h"

namespace filbertspar {
namespace {

JobSpec MakeJob() {
  JobSpec job;
  job.m_id = JobId("0011223344556677");
  job.m_queue = QueueName("q");
  job.m_workspace = WorkspaceName("w");
  job.m_policy = {PoolName("p"), 2, 3, 1.5, Milliseconds(600), true};
  job.m_payload = std::string("a\0b", 3);
  StepSpec step;
  step.m_count = 4;
  step.m_demand = {Millicores(500), Megabytes(256), Accelerators(1)};
  step.m_estimate = Milliseconds(900);
  step.m_gang = step.m_colocated = true;
  step.m_required_label = LabelName("a");
  step.m_data_rack = RackName("r1");
  step.m_max_per_worker = 2;
  step.m_max_unavailable = 1;
  step.m_image = ImageName("i");
  step.m_tail_latency_target = Milliseconds(50);
  job.m_steps.push_back(step);
  step = StepSpec();
  step.m_depends_on = {0};
  step.m_checkpointing = step.m_speculative = true;
  job.m_steps.push_back(step);
  job.m_occurrence_count = 6;
  job.m_first_due_ms = 1700000000000;
  job.m_interval = Milliseconds(2000);
  job.m_received_ms = 1700000000001;
  return job;
}

// Guards against a field that a successor does not get.
TEST_CASE("a job is read as written") {
  const JobSpec job = MakeJob();
  const auto read = DecodeJob(EncodeJob(job));
  REQUIRE(read.ok());
  CHECK(*read == job);
}

// Guards against progress that a successor does not get.
TEST_CASE("progress is read as written") {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_next_occurrence = 3;
  progress.m_occurrences.push_back(
      {2, {{"\x05", {{1, {7, 9}, "c", "w1"}}}, {"", {}}}});
  const auto read = DecodeProgress(EncodeProgress(progress));
  REQUIRE(read.ok());
  CHECK(*read == progress);
}

// Guards against a damaged row that ends the process or becomes a job.
TEST_CASE("damaged rows are refused at every byte and length") {
  const std::string whole = EncodeJob(MakeJob());
  CHECK_FALSE(DecodeJob("").ok());
  for (std::size_t length = 0; length < whole.size(); length += 7) {
    DecodeJob(whole.substr(0, length)).status().IgnoreError();
  }
  for (std::size_t i = 0; i < whole.size(); ++i) {
    std::string changed = whole;
    changed[i] = static_cast<char>(changed[i] ^ 0x5a);
    const auto read = DecodeJob(changed);
    if (read.ok()) {
      CHECK(CheckJob(*read).ok());
    }
    DecodeProgress(changed).status().IgnoreError();
  }
}

}  // namespace
}  // namespace filbertspar
