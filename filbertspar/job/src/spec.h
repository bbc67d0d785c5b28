#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/job/src/resource_vector.h"

namespace filbertspar {

/// \brief Chosen by the caller; unique within a deployment.
using JobId = Name<struct JobTag>;
using QueueName = Name<struct QueueTag>;
/// \brief Property of a worker that a step may require.
using LabelName = Name<struct LabelTag>;
using ImageName = Name<struct ImageTag>;

/// \brief A group of identical tasks and their requirements.
struct StepSpec {
  /// Number of tasks.
  std::uint32_t m_count = 1;
  ResourceVector m_demand;
  /// Rough run time of one task, as estimated by the caller.
  Duration m_estimate{0};
  /// Indices of earlier steps, all of whose tasks must finish first.
  std::vector<std::uint32_t> m_depends_on;
  /// The tasks make progress only while all of them run.
  bool m_gang = false;
  /// The tasks run far slower when they are spread over several racks.
  bool m_colocated = false;
  bool m_checkpointing = false;
  /// Several copies of one task may run at the same time.
  bool m_speculative = false;
  /// The tasks run until the job is cancelled.
  bool m_long_running = false;
  /// The tasks use only CPU time that others leave idle; their CPU demand is
  /// not counted against the capacity of a worker.
  bool m_best_effort = false;
  LabelName m_required_label;
  /// Rack that holds the data; in other racks the tasks run far slower.
  RackName m_data_rack;
  /// Maximum number of the step's tasks on one worker; 0 means no limit.
  std::uint32_t m_max_per_worker = 0;
  /// Maximum number of tasks that the system may disrupt at a time; 0 if the
  /// caller stated no limit.
  std::uint32_t m_max_unavailable = 0;
  ImageName m_image;
  /// Bound on the tail latency of a serving task; 0 if there is none.
  Duration m_tail_latency_target{0};

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

/// \brief Policy of the queue that accepted a job. Stored with the job, so that
/// it still applies after the queue was removed from the configuration.
struct QueuePolicy {
  PoolName m_pool;
  /// Lower values come first.
  std::uint32_t m_priority = 0;
  /// Number of failed runs of a task after which its job fails.
  std::uint32_t m_max_attempts = 1;
  /// The target completion time of a job is m_stretch times its critical path
  /// plus m_target.
  double m_stretch = 1;
  Duration m_target{0};
  /// Whether the recommendation service must approve the worker of a task.
  bool m_needs_recommendation = false;

  friend bool operator==(const QueuePolicy&, const QueuePolicy&) = default;
};

/// \brief An accepted job.
struct JobSpec {
  JobId m_id;
  QueueName m_queue;
  /// Empty for a job that came without a key through a public queue.
  WorkspaceName m_workspace;
  QueuePolicy m_policy;
  /// Opaque text passed to every task.
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  /// Number of times the steps run, each when due; 0 means once, immediately.
  std::uint32_t m_occurrence_count = 0;
  /// When the first occurrence is due, in Unix milliseconds.
  std::int64_t m_first_due_ms = 0;
  /// Time from one due time to the next.
  Duration m_interval{0};
  /// When the job was accepted, in Unix milliseconds by the clock of the VM
  /// that received the call.
  std::int64_t m_received_ms = 0;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// \brief Identifies one task of a job.
struct TaskId {
  JobId m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  friend bool operator==(const TaskId&, const TaskId&) = default;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// \brief Identifies a run of a task; later runs have higher numbers.
using RunNumber = Id<struct RunTag>;

/// \brief Maximum number of tasks over all steps of a job; bounds the memory
/// that one call can claim.
inline constexpr std::uint32_t kMaxTasksPerJob = 20000;
/// \brief Maximum number of steps of a job, for the same reason.
inline constexpr std::size_t kMaxStepsPerJob = 1000;

/// \brief Returns kBadField when steps are missing, too many, empty or depend
/// on later ones, or when a time is out of range. The message is shown to the
/// caller.
absl::Status CheckJob(const JobSpec& job);

}  // namespace filbertspar
