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

// Guards against a field that is not stored, and so is lost to the next owner.
TEST_CASE("a job survives encoding and decoding") {
  const JobSpec job = MakeJob();
  const auto decoded = DecodeJob(EncodeJob(job));
  REQUIRE(decoded.ok());
  CHECK(*decoded == job);
}

// Guards against progress that is not stored, and so is lost to the next owner.
TEST_CASE("progress survives encoding and decoding") {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_next_occurrence = 3;
  progress.m_occurrences.push_back(
      {2,
       {{"\x05",
         {{1, {7, 9}, "c", "w1", {{7, "w0", 12, true, false}}},
          {2, {}, "", "", {{8, "w0", 900, false, true}}}}},
        {"", {}}}});
  const auto decoded = DecodeProgress(EncodeProgress(progress));
  REQUIRE(decoded.ok());
  CHECK(*decoded == progress);
}

// Guards against a damaged row that crashes the process or is decoded to an
// invalid job.
TEST_CASE("damaged rows are rejected at every byte and length") {
  const std::string encoded = EncodeJob(MakeJob());
  CHECK_FALSE(DecodeJob("").ok());
  for (std::size_t length = 0; length < encoded.size(); length += 7) {
    DecodeJob(encoded.substr(0, length)).status().IgnoreError();
  }
  for (std::size_t i = 0; i < encoded.size(); ++i) {
    std::string damaged = encoded;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x5a);
    const auto decoded = DecodeJob(damaged);
    if (decoded.ok()) {
      CHECK(CheckJob(*decoded).ok());
    }
    DecodeProgress(damaged).status().IgnoreError();
  }
}

}  // namespace
}  // namespace filbertspar
