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

// Guards against a final job of which the next owner does not know whose it is.
TEST_CASE("the queue and workspace of a final job survive encoding") {
  JobProgress progress;
  progress.m_state = JobState::kCompleted;
  progress.m_ended_ms = 1700000000000;
  const std::string earlier = EncodeProgress(progress);
  progress.m_queue = QueueName("q");
  progress.m_workspace = WorkspaceName("w");
  const auto decoded = DecodeProgress(EncodeProgress(progress));
  REQUIRE(decoded.ok());
  CHECK(*decoded == progress);
  CHECK(DecodeProgress(earlier)->m_queue.Empty());
}

/// Progress of a job whose tasks all run, on a few workers.
JobProgress MakeWideProgress(std::uint32_t tasks) {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_next_occurrence = 1;
  StepProgress step;
  step.m_done.assign((tasks + 7) / 8, '\0');
  for (std::uint32_t i = 0; i < tasks; ++i) {
    step.m_tasks.push_back(
        {i, {}, "", "i-0123456789-" + std::to_string(i % 12), {}});
  }
  progress.m_occurrences.push_back({0, {step}});
  return progress;
}

// Guards against progress that the store rejects because it does not fit into a
// row (review/2: 2,200 tasks, 80 kB).
TEST_CASE("the progress of a wide job fits into a row") {
  constexpr std::size_t kRowBytes = 65536;
  const JobProgress progress = MakeWideProgress(2200);
  const std::string encoded = EncodeProgress(progress);
  CHECK(encoded.size() * 4 / 3 + 4 < kRowBytes / 4);
  const auto decoded = DecodeProgress(encoded);
  REQUIRE(decoded.ok());
  CHECK(*decoded == progress);
}

// Guards against a part of the progress that the columns of a wide job lose.
TEST_CASE("the progress of wide jobs survives encoding and decoding") {
  Rng rng(3);
  for (int i = 0; i < 50; ++i) {
    JobProgress progress =
        MakeWideProgress(200 + static_cast<std::uint32_t>(rng.Below(400)));
    for (TaskProgress& task : progress.m_occurrences[0].m_steps[0].m_tasks) {
      if (rng.Chance(0.3)) {
        task.m_worker.clear();
        task.m_failed_runs.push_back(5'000'000'001 + rng.Below(1000));
      }
      if (rng.Chance(0.2)) {
        task.m_failed_runs.push_back(5'000'000'001 + rng.Below(1000));
      }
      if (rng.Chance(0.2) || (task.m_worker.empty() && rng.Chance(0.5))) {
        task.m_checkpoint = "00000bb87a21d94b";
      }
      if (rng.Chance(0.1)) {
        task.m_crashes.push_back({7, "w0", 12, true, false});
      }
    }
    // A second occurrence whose steps differ.
    progress.m_occurrences.push_back(
        {3, {{"\x05", {}}, {"", {{2, {9}, "c", "w1", {}}}}}});
    const auto decoded = DecodeProgress(EncodeProgress(progress));
    REQUIRE(decoded.ok());
    REQUIRE(*decoded == progress);
  }
}

// Guards against progress of the largest job that no transaction takes.
TEST_CASE("the largest job's progress is bounded") {
  JobProgress progress = MakeWideProgress(kMaxTasksPerJob);
  CHECK(EncodeProgress(progress).size() < 100'000);
  for (TaskProgress& task : progress.m_occurrences[0].m_steps[0].m_tasks) {
    task.m_failed_runs = {1001, 1002, 1003};
  }
  CHECK(EncodeProgress(progress).size() < kMaxProgressBytes);
  for (TaskProgress& task : progress.m_occurrences[0].m_steps[0].m_tasks) {
    task.m_failed_runs = {1, std::uint64_t{1} << 50};
  }
  const auto decoded = DecodeProgress(EncodeProgress(progress));
  REQUIRE(decoded.ok());
  CHECK(*decoded == progress);
}

// Guards against a large job that stands still after a take-over, because no
// transaction takes its progress.
TEST_CASE("progress with failures of several terms stays in columns") {
  constexpr std::uint64_t kNextTerm = 1'000'000'000'000;
  JobProgress progress = MakeWideProgress(kMaxTasksPerJob);
  for (TaskProgress& task : progress.m_occurrences[0].m_steps[0].m_tasks) {
    if (task.m_index % 2 == 0) {
      task.m_failed_runs = {1001};
    } else if (task.m_index % 20 == 1) {
      task.m_failed_runs = {1002, kNextTerm + 1};
    } else if (task.m_index % 20 == 3) {
      task.m_failed_runs = {kNextTerm + 1, kNextTerm + 2};
    }
  }
  const std::string encoded = EncodeProgress(progress);
  CHECK(encoded.size() < kMaxProgressBytes);
  const auto decoded = DecodeProgress(encoded);
  REQUIRE(decoded.ok());
  CHECK(*decoded == progress);
}

// Guards against a damaged row that crashes the process or is decoded to an
// invalid job.
TEST_CASE("damaged rows of wide jobs crash nothing") {
  const std::string encoded = EncodeProgress(MakeWideProgress(300));
  for (std::size_t i = 0; i < encoded.size(); ++i) {
    std::string damaged = encoded;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x5a);
    DecodeProgress(damaged).status().IgnoreError();
    DecodeProgress(encoded.substr(0, i)).status().IgnoreError();
  }
}

// The same for jobs and for progress that is not in columns.
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
