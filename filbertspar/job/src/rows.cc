#include "filbertspar/job/src/rows.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "filbertspar/job/src/rows_generated.h"

namespace filbertspar {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

std::string BuilderBytes(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::string ToString(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

Offset<fbs::StepRow> WriteStep(FlatBufferBuilder& builder,
                               const StepSpec& step) {
  const auto after = builder.CreateVector(step.m_depends_on);
  const auto label = builder.CreateString(step.m_required_label.Value());
  const auto rack = builder.CreateString(step.m_data_rack.Value());
  const auto image = builder.CreateString(step.m_image.Value());
  return fbs::CreateStepRow(
      builder, step.m_count, step.m_demand.m_cpu.Count(),
      step.m_demand.m_memory.Count(), step.m_demand.m_accelerators.Count(),
      static_cast<std::uint64_t>(ToMilliseconds(step.m_estimate)), after,
      step.m_gang, step.m_colocated, step.m_checkpointing, step.m_speculative,
      step.m_long_running, step.m_best_effort, label, rack,
      step.m_max_per_worker, step.m_max_unavailable, image,
      static_cast<std::uint64_t>(ToMilliseconds(step.m_tail_latency_target)));
}

/// Upper bound of decoded durations. It keeps the conversion to microseconds
/// from overflowing, and CheckJob still rejects it as out of range.
constexpr std::uint64_t kMaxMs = 1ULL << 52;

Duration FromMs(std::uint64_t count) {
  return Milliseconds(static_cast<std::int64_t>(std::min(count, kMaxMs)));
}

StepSpec ReadStep(const fbs::StepRow& row) {
  StepSpec step;
  step.m_count = row.count();
  step.m_demand = {Millicores(row.cpu()), Megabytes(row.memory_mb()),
                   Accelerators(row.accelerators())};
  step.m_estimate = FromMs(row.estimate_ms());
  if (row.after() != nullptr) {
    step.m_depends_on.assign(row.after()->begin(), row.after()->end());
  }
  step.m_gang = row.gang();
  step.m_colocated = row.colocated();
  step.m_checkpointing = row.checkpointing();
  step.m_speculative = row.speculative();
  step.m_long_running = row.long_running();
  step.m_best_effort = row.fills();
  step.m_required_label = LabelName(ToString(row.required_label()));
  step.m_data_rack = RackName(ToString(row.data_rack()));
  step.m_max_per_worker = row.max_per_worker();
  step.m_max_unavailable = row.max_unavailable();
  step.m_image = ImageName(ToString(row.image()));
  step.m_tail_latency_target = FromMs(row.tail_target_ms());
  return step;
}

/// Returns null when the bytes are not a valid row. Takes a vector, whose
/// storage has the alignment that FlatBuffers requires, unlike a string view.
template <typename Row>
const Row* VerifiedRoot(const std::vector<std::uint8_t>& bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (bytes.empty() || !verifier.VerifyBuffer<Row>(nullptr)) {
    return nullptr;
  }
  return flatbuffers::GetRoot<Row>(bytes.data());
}

StepProgress ReadStepProgress(const fbs::StepProgressRow& row) {
  StepProgress step;
  if (row.done() != nullptr) {
    step.m_done.assign(row.done()->begin(), row.done()->end());
  }
  if (row.tasks() != nullptr) {
    for (const auto* task : *row.tasks()) {
      TaskProgress progress;
      progress.m_index = task->index();
      if (task->failed_runs() != nullptr) {
        progress.m_failed_runs.assign(task->failed_runs()->begin(),
                                      task->failed_runs()->end());
      }
      progress.m_checkpoint = ToString(task->checkpoint());
      progress.m_worker = ToString(task->worker());
      if (task->crashes() != nullptr) {
        for (const auto* crash : *task->crashes()) {
          progress.m_crashes.push_back({crash->run(), ToString(crash->worker()),
                                        crash->age_ms(), crash->suspect(),
                                        crash->sole_cause()});
        }
      }
      step.m_tasks.push_back(std::move(progress));
    }
  }
  return step;
}

Offset<fbs::StepProgressRow> WriteStepProgress(FlatBufferBuilder& builder,
                                               const StepProgress& step) {
  std::vector<Offset<fbs::TaskProgressRow>> tasks;
  for (const TaskProgress& task : step.m_tasks) {
    const auto checkpoint = builder.CreateString(task.m_checkpoint);
    const auto failed_runs = builder.CreateVector(task.m_failed_runs);
    // The tasks of a job run on few workers, so each name is stored only once.
    const auto worker = builder.CreateSharedString(task.m_worker);
    std::vector<Offset<fbs::CrashRow>> crashes;
    for (const CrashRecord& crash : task.m_crashes) {
      const auto crashed = builder.CreateSharedString(crash.m_worker);
      crashes.push_back(fbs::CreateCrashRow(builder, crash.m_run, crashed,
                                            crash.m_age_ms, crash.m_is_suspect,
                                            crash.m_is_sole_cause));
    }
    const auto crash_rows = crashes.empty() ? 0 : builder.CreateVector(crashes);
    tasks.push_back(fbs::CreateTaskProgressRow(
        builder, task.m_index, failed_runs, checkpoint, worker, crash_rows));
  }
  const auto done = builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(step.m_done.data()),
      step.m_done.size());
  const auto task_rows = builder.CreateVector(tasks);
  return fbs::CreateStepProgressRow(builder, done, task_rows);
}

}  // namespace

std::string EncodeJob(const JobSpec& job) {
  FlatBufferBuilder builder(1024);
  std::vector<Offset<fbs::StepRow>> steps;
  for (const StepSpec& step : job.m_steps) {
    steps.push_back(WriteStep(builder, step));
  }
  const auto id = builder.CreateString(job.m_id.Value());
  const auto queue = builder.CreateString(job.m_queue.Value());
  const auto workspace = builder.CreateString(job.m_workspace.Value());
  const auto pool = builder.CreateString(job.m_policy.m_pool.Value());
  const auto payload = builder.CreateString(job.m_payload);
  const auto step_rows = builder.CreateVector(steps);
  const QueuePolicy& policy = job.m_policy;
  builder.Finish(fbs::CreateJobRow(
      builder, id, queue, workspace, pool, policy.m_priority,
      policy.m_max_attempts, policy.m_stretch,
      static_cast<std::uint64_t>(ToMilliseconds(policy.m_target)),
      policy.m_needs_recommendation, payload, step_rows, job.m_occurrence_count,
      job.m_first_due_ms,
      static_cast<std::uint64_t>(ToMilliseconds(job.m_interval)),
      job.m_received_ms));
  return BuilderBytes(builder);
}

absl::StatusOr<JobSpec> DecodeJob(std::string_view bytes) {
  const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
  const auto* row = VerifiedRoot<fbs::JobRow>(aligned);
  if (row == nullptr) {
    return Error(Code::kBadField, "not a valid job row");
  }
  JobSpec job;
  job.m_id = JobId(ToString(row->id()));
  job.m_queue = QueueName(ToString(row->queue()));
  job.m_workspace = WorkspaceName(ToString(row->workspace()));
  job.m_policy.m_pool = PoolName(ToString(row->pool()));
  job.m_policy.m_priority = row->priority();
  job.m_policy.m_max_attempts = row->attempts();
  job.m_policy.m_stretch = row->stretch();
  job.m_policy.m_target = FromMs(row->target_ms());
  job.m_policy.m_needs_recommendation = row->advised();
  job.m_payload = ToString(row->payload());
  if (row->steps() != nullptr) {
    for (const auto* step : *row->steps()) {
      job.m_steps.push_back(ReadStep(*step));
    }
  }
  job.m_occurrence_count = row->times();
  job.m_first_due_ms = row->first_due_ms();
  job.m_interval = FromMs(row->interval_ms());
  job.m_received_ms = row->received_ms();
  FS_RETURN_IF_ERROR(CheckJob(job));
  return job;
}

std::string EncodeProgress(const JobProgress& progress) {
  FlatBufferBuilder builder(256);
  std::vector<Offset<fbs::OccurrenceProgressRow>> occurrences;
  for (const OccurrenceProgress& occurrence : progress.m_occurrences) {
    std::vector<Offset<fbs::StepProgressRow>> steps;
    for (const StepProgress& step : occurrence.m_steps) {
      steps.push_back(WriteStepProgress(builder, step));
    }
    const auto step_rows = builder.CreateVector(steps);
    occurrences.push_back(fbs::CreateOccurrenceProgressRow(
        builder, occurrence.m_number, step_rows));
  }
  const auto occurrence_rows = builder.CreateVector(occurrences);
  builder.Finish(fbs::CreateProgressRow(
      builder, static_cast<std::uint8_t>(progress.m_state), progress.m_ended_ms,
      progress.m_next_occurrence, occurrence_rows));
  return BuilderBytes(builder);
}

absl::StatusOr<JobProgress> DecodeProgress(std::string_view bytes) {
  const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
  const auto* row = VerifiedRoot<fbs::ProgressRow>(aligned);
  if (row == nullptr ||
      row->state() > static_cast<std::uint8_t>(JobState::kCancelled)) {
    return Error(Code::kBadField, "not a valid progress row");
  }
  JobProgress progress;
  progress.m_state = static_cast<JobState>(row->state());
  progress.m_ended_ms = row->ended_ms();
  progress.m_next_occurrence = row->next_occurrence();
  if (row->occurrences() != nullptr) {
    for (const auto* occurrence_row : *row->occurrences()) {
      OccurrenceProgress occurrence;
      occurrence.m_number = occurrence_row->number();
      if (occurrence_row->steps() != nullptr) {
        for (const auto* step : *occurrence_row->steps()) {
          occurrence.m_steps.push_back(ReadStepProgress(*step));
        }
      }
      progress.m_occurrences.push_back(std::move(occurrence));
    }
  }
  return progress;
}

std::string_view JobStateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "";
}

}  // namespace filbertspar
