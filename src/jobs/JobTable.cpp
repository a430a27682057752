#include "include/quetzal/jobs/JobTable.h"

#include <algorithm>
#include <array>

namespace quetzal::jobs {
namespace {

constexpr std::int64_t kDefaultEstimateMs = 600;
constexpr double kMillicoresPerCore = 1'000;
constexpr double kMillisecondsPerSecond = 1'000;

std::int64_t
EstimateOf(const StepSpec& aSpec)
{
  return aSpec.estimateMs_ > 0 ? aSpec.estimateMs_ : kDefaultEstimateMs;
}

int
RepetitionsOf(const JobSpec& aSpec)
{
  return std::max(aSpec.repetitions_, 1);
}

std::int64_t
DueMs(const JobSpec& aSpec, int aOccurrence)
{
  return aSpec.repetitions_ > 0 ? aSpec.firstMs_ + aOccurrence * aSpec.intervalMs_ : 0;
}

Occurrence
MakeOccurrence(const JobSpec& aSpec, int aIndex)
{
  Occurrence occurrence;
  occurrence.dueMs_ = DueMs(aSpec, aIndex);
  for (const StepSpec& step : aSpec.steps_) {
    StepState state;
    state.tasks_.resize(static_cast<std::size_t>(step.count_));
    occurrence.steps_.push_back(std::move(state));
  }
  return occurrence;
}

/** Makes the next repetition live, unless it is done. */
void
OpenNextOccurrence(Job& aJob)
{
  const int index = aJob.nextOccurrence_++;
  if (!aJob.occurrencesDone_.contains(index)) {
    aJob.liveOccurrences_.emplace(index, MakeOccurrence(aJob.spec_, index));
  }
}

bool
IsDone(const Occurrence& aOccurrence)
{
  return std::all_of(aOccurrence.steps_.begin(),
                     aOccurrence.steps_.end(),
                     [](const StepState& aStep) { return aStep.IsDone(); });
}

const StepSpec&
SpecOfStep(const Job& aJob, int aStep)
{
  return aJob.spec_.steps_.at(static_cast<std::size_t>(aStep));
}

bool
HasUnfinishedTasks(const StepState& aStep)
{
  return aStep.doneTasks_ < static_cast<int>(aStep.tasks_.size());
}

void
MarkDone(Job& aJob, StepState& aStep, TaskState& aTask)
{
  if (aTask.phase_ == TaskPhase::kDone) {
    return;
  }
  if (aTask.phase_ == TaskPhase::kPlaced) {
    --aJob.placedTasks_;
  }
  aTask.phase_ = TaskPhase::kDone;
  aTask.checkpoint_.clear();
  ++aStep.doneTasks_;
}

/** Marks every task of a gang as done, because a gang is done once any of its tasks is done. */
void
MarkGangDone(Job& aJob, StepState& aStep)
{
  for (TaskState& task : aStep.tasks_) {
    MarkDone(aJob, aStep, task);
  }
}

void
CompleteOccurrenceIfDone(Job& aJob, int aOccurrence, EndEffect& aEffect)
{
  const auto live = aJob.liveOccurrences_.find(aOccurrence);
  if (live == aJob.liveOccurrences_.end() || !IsDone(live->second)) {
    return;
  }
  aJob.liveOccurrences_.erase(live);
  aJob.occurrencesDone_.insert(aOccurrence);
  aEffect.jobCompleted_ =
    static_cast<int>(aJob.occurrencesDone_.size()) == RepetitionsOf(aJob.spec_);
}

} // namespace

const char*
ToString(WaitReason aReason)
{
  static constexpr std::array kNames{ "none",      "not-tried", "predecessor", "not-due",
                                      "no-ticket", "no-room",   "quota",       "near-slot" };
  return kNames.at(static_cast<std::size_t>(aReason));
}

Job
MakeJob(const std::string& aId, const std::string& aQueue, const JobSpec& aSpec)
{
  Job job;
  job.id_ = aId;
  job.queue_ = aQueue;
  job.spec_ = aSpec;
  job.longRunning_ = IsLongRunning(aSpec);
  job.estimatedCoreSeconds_ = EstimatedCoreSeconds(aSpec);
  job.criticalPath_ = EstimatedCriticalPath(aSpec);
  return job;
}

std::int64_t
OpenDueOccurrences(Job& aJob, std::int64_t aNowMs)
{
  const int total = RepetitionsOf(aJob.spec_);
  const int before = aJob.nextOccurrence_;
  while (aJob.nextOccurrence_ < total && DueMs(aJob.spec_, aJob.nextOccurrence_) <= aNowMs) {
    OpenNextOccurrence(aJob);
  }
  if (aJob.nextOccurrence_ != before) {
    Recount(aJob);
  }
  return aJob.nextOccurrence_ < total ? DueMs(aJob.spec_, aJob.nextOccurrence_) : 0;
}

void
OpenOccurrencesThrough(Job& aJob, int aOccurrence)
{
  const int end = std::min(aOccurrence + 1, RepetitionsOf(aJob.spec_));
  const int before = aJob.nextOccurrence_;
  while (aJob.nextOccurrence_ < end) {
    OpenNextOccurrence(aJob);
  }
  if (aJob.nextOccurrence_ != before) {
    Recount(aJob);
  }
}

void
ApplyProgress(Job& aJob, const ProgressRecord& aRecord)
{
  for (const int occurrence : aRecord.occurrencesDone_) {
    aJob.occurrencesDone_.insert(occurrence);
    aJob.liveOccurrences_.erase(occurrence);
    aJob.started_ = true;
  }
  for (const StepProgress& progress : aRecord.doneTasks_) {
    OpenOccurrencesThrough(aJob, progress.occurrence_);
    for (std::size_t i = 0; i < progress.doneMask_.size(); ++i) {
      const TaskId id{ aJob.id_, progress.occurrence_, progress.step_, static_cast<int>(i) };
      TaskState* task = progress.doneMask_[i] == '1' ? FindTask(aJob, id) : nullptr;
      if (task != nullptr) {
        MarkDone(aJob,
                 aJob.liveOccurrences_.at(progress.occurrence_)
                   .steps_.at(static_cast<std::size_t>(progress.step_)),
                 *task);
        aJob.started_ = true;
      }
    }
  }
  for (const TaskProgress& progress : aRecord.failures_) {
    OpenOccurrencesThrough(aJob, progress.occurrence_);
    const TaskId id{ aJob.id_, progress.occurrence_, progress.step_, progress.index_ };
    if (TaskState* task = FindTask(aJob, id)) {
      task->failedRuns_ = progress.failedRuns_;
      aJob.started_ = true;
    }
  }
  for (const TaskProgress& progress : aRecord.checkpoints_) {
    OpenOccurrencesThrough(aJob, progress.occurrence_);
    const TaskId id{ aJob.id_, progress.occurrence_, progress.step_, progress.index_ };
    if (TaskState* task = FindTask(aJob, id)) {
      task->checkpoint_ = progress.checkpoint_;
    }
  }
  Recount(aJob);
}

ProgressRecord
ProgressOf(const Job& aJob)
{
  ProgressRecord record;
  record.occurrencesDone_.assign(aJob.occurrencesDone_.begin(), aJob.occurrencesDone_.end());
  for (const auto& [index, occurrence] : aJob.liveOccurrences_) {
    for (int s = 0; s < static_cast<int>(occurrence.steps_.size()); ++s) {
      const StepState& step = occurrence.steps_[static_cast<std::size_t>(s)];
      StepProgress progress{ index, s, std::string(step.tasks_.size(), '0') };
      for (int i = 0; i < static_cast<int>(step.tasks_.size()); ++i) {
        const TaskState& task = step.tasks_[static_cast<std::size_t>(i)];
        if (task.phase_ == TaskPhase::kDone) {
          progress.doneMask_[static_cast<std::size_t>(i)] = '1';
          continue;
        }
        if (!task.failedRuns_.empty()) {
          record.failures_.push_back({ index, s, i, task.failedRuns_, {} });
        }
        if (!task.checkpoint_.empty()) {
          record.checkpoints_.push_back({ index, s, i, {}, task.checkpoint_ });
        }
      }
      if (step.doneTasks_ > 0) {
        record.doneTasks_.push_back(std::move(progress));
      }
    }
  }
  return record;
}

TaskState*
FindTask(Job& aJob, const TaskId& aTask)
{
  const auto live = aJob.liveOccurrences_.find(aTask.occurrence_);
  if (live == aJob.liveOccurrences_.end() || aTask.step_ < 0 || aTask.index_ < 0) {
    return nullptr;
  }
  auto& steps = live->second.steps_;
  if (static_cast<std::size_t>(aTask.step_) >= steps.size()) {
    return nullptr;
  }
  auto& tasks = steps[static_cast<std::size_t>(aTask.step_)].tasks_;
  if (static_cast<std::size_t>(aTask.index_) >= tasks.size()) {
    return nullptr;
  }
  return &tasks[static_cast<std::size_t>(aTask.index_)];
}

bool
IsUnblocked(const Job& aJob, const Occurrence& aOccurrence, int aStep)
{
  const auto& after = SpecOfStep(aJob, aStep).after_;
  return std::all_of(after.begin(), after.end(), [&aOccurrence](int aEarlier) {
    return aOccurrence.steps_.at(static_cast<std::size_t>(aEarlier)).IsDone();
  });
}

void
Recount(Job& aJob)
{
  aJob.waitingTasks_ = 0;
  aJob.remainingPath_ = RemainingWorkOf(aJob).criticalPath_;
  if (IsFinal(aJob.state_) || aJob.ending_) {
    return;
  }
  for (const auto& [index, occurrence] : aJob.liveOccurrences_) {
    for (int s = 0; s < static_cast<int>(occurrence.steps_.size()); ++s) {
      const StepState& step = occurrence.steps_[static_cast<std::size_t>(s)];
      if (!HasUnfinishedTasks(step) || !IsUnblocked(aJob, occurrence, s)) {
        continue;
      }
      aJob.waitingTasks_ += static_cast<int>(
        std::count_if(step.tasks_.begin(), step.tasks_.end(), [](const TaskState& aTask) {
          return aTask.phase_ == TaskPhase::kWaiting;
        }));
    }
  }
}

void
Place(Job& aJob,
      const TaskId& aTask,
      const std::string& aWorker,
      std::int64_t aRun,
      clock::Moment aNow)
{
  TaskState* task = FindTask(aJob, aTask);
  if (task == nullptr || task->phase_ == TaskPhase::kDone) {
    return;
  }
  if (task->phase_ == TaskPhase::kWaiting) {
    ++aJob.placedTasks_;
    aJob.waitingTasks_ = std::max(0, aJob.waitingTasks_ - 1);
  }
  task->phase_ = TaskPhase::kPlaced;
  task->evicting_ = false;
  task->run_ = aRun;
  task->worker_ = aWorker;
  task->placedAt_ = aNow;
  if (!aJob.started_) {
    aJob.startedAt_ = aNow;
  }
  aJob.started_ = true;
  aJob.lastChangeAt_ = aNow;
  if (aJob.state_ == JobState::kQueued) {
    aJob.state_ = JobState::kRunning;
  }
}

void
PlaceCopy(Job& aJob,
          const TaskId& aTask,
          const std::string& aWorker,
          std::int64_t aRun,
          clock::Moment aNow)
{
  TaskState* task = FindTask(aJob, aTask);
  if (task != nullptr && task->phase_ == TaskPhase::kPlaced) {
    task->copyRun_ = aRun;
    task->copyWorker_ = aWorker;
    task->copiedAt_ = aNow;
  }
}

void
ClearPlacement(Job& aJob, const TaskId& aTask, std::int64_t aRun, clock::Moment aNotBefore)
{
  TaskState* task = FindTask(aJob, aTask);
  if (task == nullptr || task->phase_ != TaskPhase::kPlaced) {
    return;
  }
  if (task->copyRun_ != 0 && (aRun == task->copyRun_ || aRun == task->run_)) {
    if (aRun == task->run_) {
      task->run_ = task->copyRun_;
      task->worker_ = task->copyWorker_;
      task->placedAt_ = task->copiedAt_;
    }
    task->copyRun_ = 0;
    task->copyWorker_.clear();
    return;
  }
  if (task->run_ != aRun) {
    return;
  }
  task->phase_ = TaskPhase::kWaiting;
  task->worker_.clear();
  task->notBefore_ = aNotBefore;
  --aJob.placedTasks_;
  Recount(aJob);
}

EndEffect
ApplyEnd(Job& aJob,
         const TaskId& aTask,
         std::int64_t aRun,
         EndKind aKind,
         const std::string& aCheckpoint,
         int aMaxAttempts)
{
  EndEffect effect;
  OpenOccurrencesThrough(aJob, aTask.occurrence_);
  TaskState* task = FindTask(aJob, aTask);
  if (task == nullptr) {
    return effect;
  }
  effect.known_ = true;
  if (task->phase_ == TaskPhase::kDone) {
    return effect;
  }
  const StepSpec& spec = SpecOfStep(aJob, aTask.step_);
  StepState& step =
    aJob.liveOccurrences_.at(aTask.occurrence_).steps_.at(static_cast<std::size_t>(aTask.step_));
  if (aKind == EndKind::kDone && !spec.longRunning_) {
    if (spec.gang_) {
      MarkGangDone(aJob, step);
    } else {
      MarkDone(aJob, step, *task);
    }
    effect.changed_ = true;
    CompleteOccurrenceIfDone(aJob, aTask.occurrence_, effect);
    Recount(aJob);
    return effect;
  }
  if (!aCheckpoint.empty()) {
    task->checkpoint_ = aCheckpoint;
  }
  // A worker may list an end again to the next owner after the end has been stored, and may list
  // the ends of several runs in any order.
  if (aKind == EndKind::kFailed && !spec.longRunning_ && task->failedRuns_.insert(aRun).second) {
    effect.changed_ = true;
    effect.jobFailed_ =
      aMaxAttempts > 0 && static_cast<int>(task->failedRuns_.size()) >= aMaxAttempts;
  }
  ClearPlacement(aJob, aTask, aRun, {});
  return effect;
}

RemainingWork
RemainingWorkOf(const Job& aJob)
{
  RemainingWork remaining;
  for (const auto& [index, occurrence] : aJob.liveOccurrences_) {
    std::vector<std::int64_t> ends;
    for (std::size_t s = 0; s < occurrence.steps_.size(); ++s) {
      const StepSpec& spec = aJob.spec_.steps_[s];
      const StepState& step = occurrence.steps_[s];
      std::int64_t start = 0;
      for (const int earlier : spec.after_) {
        start = std::max(start, ends.at(static_cast<std::size_t>(earlier)));
      }
      const std::int64_t estimate = step.IsDone() ? 0 : EstimateOf(spec);
      ends.push_back(start + estimate);
      const double cores =
        spec.bestEffort_
          ? 0
          : static_cast<double>(spec.cpu_) * (spec.count_ - step.doneTasks_) / kMillicoresPerCore;
      remaining.coreSeconds_ += cores * static_cast<double>(estimate) / kMillisecondsPerSecond;
      remaining.maxCores_ = std::max(remaining.maxCores_, cores);
      remaining.criticalPath_ = std::max(remaining.criticalPath_, clock::Milliseconds(ends.back()));
    }
  }
  return remaining;
}

const QueueTerms&
TermsInForce(const Job& aJob, const Configuration& aConfiguration)
{
  const Queue* queue = FindQueueByName(aConfiguration, aJob.queue_);
  return queue == nullptr ? aJob.terms_ : queue->terms_;
}

clock::Moment
ObjectiveOf(const Job& aJob, const QueueTerms& aTerms)
{
  const auto stretchedPath = std::chrono::duration_cast<clock::Milliseconds>(
    aJob.criticalPath_ * std::max(aTerms.stretch_, 1.0));
  return aJob.arrivedAt_ + stretchedPath + clock::Milliseconds(aTerms.objectiveMs_);
}

} // namespace quetzal::jobs
