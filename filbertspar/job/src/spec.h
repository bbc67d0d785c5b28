#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/job/src/resource_vector.h"

namespace filbertspar {

/// \brief Chosen by the caller; unique in a deployment.
using JobId = Name<struct JobTag>;
using QueueName = Name<struct QueueTag>;
/// \brief Property of a worker that a step can require.
using LabelName = Name<struct LabelTag>;
using ImageName = Name<struct ImageTag>;

/// \brief Tasks of one shape, and what they need.
struct StepSpec {
  std::uint32_t m_count = 1;
  ResourceVector m_demand;
  /// The caller's rough estimate of one task's run time.
  Duration m_estimate{0};
  /// Steps whose tasks must all be done first.
  std::vector<std::uint32_t> m_depends_on;
  /// The tasks work only together.
  bool m_gang = false;
  /// The tasks take far longer when they run in more than one rack.
  bool m_colocated = false;
  bool m_checkpointing = false;
  /// Copies of a task may run in parallel.
  bool m_speculative = false;
  /// The tasks run until the job is cancelled.
  bool m_long_running = false;
  /// The tasks use processor time that others leave; their processor demand
  /// is not counted.
  bool m_best_effort = false;
  LabelName m_required_label;
  /// Where the data is; elsewhere the tasks take far longer.
  RackName m_data_rack;
  /// Most tasks of the step on one worker; 0 means any number.
  std::uint32_t m_max_per_worker = 0;
  /// Most tasks that may be away at a time because of the system; 0: no limit
  /// was stated.
  std::uint32_t m_max_unavailable = 0;
  ImageName m_image;
  /// Bound of the tail of a serving task's response times; 0: none.
  Duration m_tail_latency_target{0};

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

/// \brief Rules of the queue that a job came through, kept with the job so
/// that it ends as it began when the queue is withdrawn.
struct QueuePolicy {
  PoolName m_pool;
  /// 0 comes first.
  std::uint32_t m_priority = 0;
  /// Failed runs of a task after which its job fails.
  std::uint32_t m_max_attempts = 1;
  /// Objective of a job: m_stretch times its longest chain plus m_target.
  double m_stretch = 1;
  Duration m_target{0};
  /// Whether workers must be approved by the recommendation service.
  bool m_needs_recommendation = false;

  friend bool operator==(const QueuePolicy&, const QueuePolicy&) = default;
};

/// \brief A job as accepted.
struct JobSpec {
  JobId m_id;
  QueueName m_queue;
  /// Empty for work of an open queue without a key.
  WorkspaceName m_workspace;
  QueuePolicy m_policy;
  /// Opaque text handed to every task.
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  /// Times the steps run, each at its due time; 0: once, at once.
  std::uint32_t m_occurrence_count = 0;
  /// Unix milliseconds.
  std::int64_t m_first_due_ms = 0;
  Duration m_interval{0};
  /// Unix milliseconds at the entry VM that accepted the job.
  std::int64_t m_received_ms = 0;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// \brief One task of a job.
struct TaskId {
  JobId m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  friend bool operator==(const TaskId&, const TaskId&) = default;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// \brief Numbers the starts of a task; a later start has a higher number.
using RunNumber = Id<struct RunTag>;

/// \brief Most tasks of one job over all its steps; bounds the memory that one
/// call can claim.
inline constexpr std::uint32_t kMaxTasksPerJob = 20000;
/// \brief Most steps of a job, for the same reason.
inline constexpr std::size_t kMaxStepsPerJob = 1000;

/// \brief kBadField when steps are missing, too many, or refer to later ones.
absl::Status CheckJob(const JobSpec& job);

}  // namespace filbertspar
