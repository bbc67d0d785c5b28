#include "filbertspar/job/src/rows.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
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

/// Values of the columns of a job with many tasks.
struct Columns {
  /// Names of the workers, by the number that stands for them.
  std::vector<std::string> m_workers;
  /// Subtracted from all run numbers.
  std::uint64_t m_first_run = 0;
};

/// Calls `read` with the task of each entry and the entry's position.
template <typename Tasks, typename Values, typename Read>
void ForEachEntry(const Tasks* tasks, const Values* values, Read read) {
  if (tasks == nullptr || values == nullptr) {
    return;
  }
  const auto count = std::min(tasks->size(), values->size());
  for (flatbuffers::uoffset_t i = 0; i < count; ++i) {
    read(tasks->Get(i), values->Get(i));
  }
}

void ReadColumns(const fbs::StepProgressRow& row, const Columns& columns,
                 StepProgress& step) {
  std::map<std::uint32_t, TaskProgress> tasks;
  for (TaskProgress& task : step.m_tasks) {
    const std::uint32_t index = task.m_index;
    tasks[index] = std::move(task);
  }
  const auto task_of = [&tasks](std::uint16_t index) -> TaskProgress& {
    tasks[index].m_index = index;
    return tasks[index];
  };
  ForEachEntry(row.run_tasks(), row.run_workers(), [&](auto task, auto worker) {
    if (worker < columns.m_workers.size()) {
      task_of(task).m_worker = columns.m_workers[worker];
    }
  });
  ForEachEntry(row.failed_tasks(), row.failed_runs(), [&](auto task, auto run) {
    task_of(task).m_failed_runs.push_back(columns.m_first_run + run);
  });
  ForEachEntry(row.checkpoint_tasks(), row.checkpoints(),
               [&](auto task, const auto* checkpoint) {
                 task_of(task).m_checkpoint = ToString(checkpoint);
               });
  step.m_tasks.clear();
  for (auto& [index, task] : tasks) {
    step.m_tasks.push_back(std::move(task));
  }
}

StepProgress ReadStepProgress(const fbs::StepProgressRow& row,
                              const Columns& columns) {
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
  if (row.run_tasks() != nullptr || row.failed_tasks() != nullptr ||
      row.checkpoint_tasks() != nullptr) {
    ReadColumns(row, columns, step);
  }
  return step;
}

using TaskRows = std::vector<Offset<fbs::TaskProgressRow>>;

void AddTaskRow(FlatBufferBuilder& builder, const TaskProgress& task,
                TaskRows& rows) {
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
  rows.push_back(fbs::CreateTaskProgressRow(builder, task.m_index, failed_runs,
                                            checkpoint, worker, crash_rows));
}

Offset<flatbuffers::Vector<std::uint8_t>> WriteDone(FlatBufferBuilder& builder,
                                                    const StepProgress& step) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(step.m_done.data()),
      step.m_done.size());
}

Offset<fbs::StepProgressRow> WriteStepProgress(FlatBufferBuilder& builder,
                                               const StepProgress& step) {
  TaskRows rows;
  for (const TaskProgress& task : step.m_tasks) {
    AddTaskRow(builder, task, rows);
  }
  const auto done = WriteDone(builder, step);
  const auto task_rows = builder.CreateVector(rows);
  return fbs::CreateStepProgressRow(builder, done, task_rows);
}

/// Largest difference of the run numbers that a column holds.
constexpr std::uint64_t kMaxRunSpan = std::numeric_limits<std::uint32_t>::max();

/// Number that stands for each worker.
using WorkerNumbers = std::map<std::string, std::uint16_t>;

Offset<fbs::StepProgressRow> WriteStepColumns(FlatBufferBuilder& builder,
                                              const StepProgress& step,
                                              const WorkerNumbers& workers,
                                              std::uint64_t first_run) {
  TaskRows rows;
  std::vector<std::uint16_t> run_tasks;
  std::vector<std::uint16_t> run_workers;
  std::vector<std::uint16_t> failed_tasks;
  std::vector<std::uint32_t> failed_runs;
  std::vector<std::uint16_t> checkpoint_tasks;
  std::vector<Offset<flatbuffers::String>> checkpoints;
  for (const TaskProgress& task : step.m_tasks) {
    const auto index = static_cast<std::uint16_t>(task.m_index);
    const bool runs_fit =
        std::all_of(task.m_failed_runs.begin(), task.m_failed_runs.end(),
                    [first_run](std::uint64_t run) {
                      return run >= first_run && run - first_run <= kMaxRunSpan;
                    });
    if (!task.m_crashes.empty() || !runs_fit) {
      const std::vector<std::uint64_t> no_runs;
      AddTaskRow(builder,
                 {task.m_index, runs_fit ? no_runs : task.m_failed_runs, "", "",
                  task.m_crashes},
                 rows);
    }
    if (!task.m_worker.empty()) {
      run_tasks.push_back(index);
      run_workers.push_back(workers.at(task.m_worker));
    }
    for (const std::uint64_t run : task.m_failed_runs) {
      if (runs_fit) {
        failed_tasks.push_back(index);
        failed_runs.push_back(static_cast<std::uint32_t>(run - first_run));
      }
    }
    if (!task.m_checkpoint.empty()) {
      checkpoint_tasks.push_back(index);
      checkpoints.push_back(builder.CreateString(task.m_checkpoint));
    }
  }
  const auto vector_of = [&builder](const auto& values) {
    return values.empty() ? 0 : builder.CreateVector(values);
  };
  const auto done = WriteDone(builder, step);
  const auto task_rows = builder.CreateVector(rows);
  const auto run_task_rows = vector_of(run_tasks);
  const auto run_worker_rows = vector_of(run_workers);
  const auto failed_task_rows = vector_of(failed_tasks);
  const auto failed_run_rows = vector_of(failed_runs);
  const auto checkpoint_task_rows = vector_of(checkpoint_tasks);
  const auto checkpoint_rows = vector_of(checkpoints);
  return fbs::CreateStepProgressRow(
      builder, done, task_rows, run_task_rows, run_worker_rows,
      failed_task_rows, failed_run_rows, checkpoint_task_rows, checkpoint_rows);
}

/// Lowest number of a column that holds as many of the runs as possible.
std::uint64_t ChooseFirstRun(std::vector<std::uint64_t> runs) {
  std::sort(runs.begin(), runs.end());
  std::uint64_t first_run = 0;
  std::ptrdiff_t most = 0;
  auto end = runs.begin();
  for (auto begin = runs.begin(); begin != runs.end(); ++begin) {
    while (end != runs.end() && *end - *begin <= kMaxRunSpan) {
      ++end;
    }
    if (end - begin > most) {
      most = end - begin;
      first_run = *begin;
    }
  }
  return first_run;
}

/// What the columns of a job need; nullopt when its few tasks are written one
/// by one, in the form that earlier releases read, or when a value has no room
/// in a column.
struct ColumnPlan {
  WorkerNumbers m_workers;
  std::uint64_t m_first_run = 0;
};

std::optional<ColumnPlan> PlanColumns(const JobProgress& progress) {
  constexpr std::size_t kMaxTaskRows = 256;
  static_assert(kMaxTasksPerJob <= std::numeric_limits<std::uint16_t>::max());
  ColumnPlan plan;
  std::size_t tasks = 0;
  std::vector<std::uint64_t> failed_runs;
  for (const OccurrenceProgress& occurrence : progress.m_occurrences) {
    for (const StepProgress& step : occurrence.m_steps) {
      tasks += step.m_tasks.size();
      for (const TaskProgress& task : step.m_tasks) {
        plan.m_workers.try_emplace(task.m_worker, 0);
        failed_runs.insert(failed_runs.end(), task.m_failed_runs.begin(),
                           task.m_failed_runs.end());
      }
    }
  }
  if (tasks <= kMaxTaskRows ||
      plan.m_workers.size() > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  plan.m_first_run = ChooseFirstRun(std::move(failed_runs));
  std::uint16_t number = 0;
  for (auto& [worker, assigned] : plan.m_workers) {
    assigned = number++;
  }
  return plan;
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
  const std::optional<ColumnPlan> plan = PlanColumns(progress);
  std::vector<Offset<fbs::OccurrenceProgressRow>> occurrences;
  for (const OccurrenceProgress& occurrence : progress.m_occurrences) {
    std::vector<Offset<fbs::StepProgressRow>> steps;
    for (const StepProgress& step : occurrence.m_steps) {
      steps.push_back(plan ? WriteStepColumns(builder, step, plan->m_workers,
                                              plan->m_first_run)
                           : WriteStepProgress(builder, step));
    }
    const auto step_rows = builder.CreateVector(steps);
    occurrences.push_back(fbs::CreateOccurrenceProgressRow(
        builder, occurrence.m_number, step_rows));
  }
  const auto occurrence_rows = builder.CreateVector(occurrences);
  std::vector<std::string> workers;
  if (plan) {
    for (const auto& [worker, number] : plan->m_workers) {
      workers.push_back(worker);
    }
  }
  const auto worker_rows = plan ? builder.CreateVectorOfStrings(workers) : 0;
  const auto name_row = [&builder](const std::string& name) {
    return name.empty() ? 0 : builder.CreateString(name);
  };
  const auto queue = name_row(progress.m_queue.Value());
  const auto workspace = name_row(progress.m_workspace.Value());
  builder.Finish(fbs::CreateProgressRow(
      builder, static_cast<std::uint8_t>(progress.m_state), progress.m_ended_ms,
      progress.m_next_occurrence, occurrence_rows, worker_rows,
      plan ? plan->m_first_run : 0, queue, workspace));
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
  progress.m_queue = QueueName(ToString(row->queue()));
  progress.m_workspace = WorkspaceName(ToString(row->workspace()));
  Columns columns;
  columns.m_first_run = row->first_run();
  if (row->workers() != nullptr) {
    for (const auto* worker : *row->workers()) {
      columns.m_workers.push_back(ToString(worker));
    }
  }
  if (row->occurrences() != nullptr) {
    for (const auto* occurrence_row : *row->occurrences()) {
      OccurrenceProgress occurrence;
      occurrence.m_number = occurrence_row->number();
      if (occurrence_row->steps() != nullptr) {
        for (const auto* step : *occurrence_row->steps()) {
          occurrence.m_steps.push_back(ReadStepProgress(*step, columns));
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
