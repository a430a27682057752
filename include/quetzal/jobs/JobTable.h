#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/jobs/Configuration.h"
#include "include/quetzal/jobs/Records.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzal::jobs {

enum class TaskPhase : std::uint8_t
{
  kWaiting,
  kPlaced, ///< Ordered to a worker, whose book says how far it is.
  kDone,
};

/** One task of one repetition. */
struct TaskState
{
  TaskPhase phase_ = TaskPhase::kWaiting;
  std::int64_t run_ = 0;              ///< The run that is placed, or was last.
  std::set<std::int64_t> failedRuns_; ///< Runs that ended as failed; each counts once.
  std::string checkpoint_;
  std::string worker_;
  std::int64_t copyRun_ = 0; ///< A second run of a step that allows copies; 0: none.
  std::string copyWorker_;
  clock::Moment copiedAt_{};
  bool evicting_ = false; ///< Its run is being ended so that it can start elsewhere.
  clock::Moment placedAt_{};
  clock::Moment notBefore_{}; ///< Not placed again before this moment.
};

struct StepState
{
  std::vector<TaskState> tasks_;
  int doneTasks_ = 0;
  int timedTasks_ = 0;                  ///< Tasks whose duration is in timedTotal_.
  clock::Milliseconds timedTotal_{ 0 }; ///< Durations of tasks that are done, added up.

  bool IsDone() const { return doneTasks_ == static_cast<int>(tasks_.size()); }
};

/** One repetition that is due and has not ended. */
struct Occurrence
{
  std::vector<StepState> steps_;
};

/** One accepted job, as its cell's owner knows it. */
struct Job
{
  std::string id_;
  std::string queue_;
  JobSpec spec_;
  JobState state_ = JobState::kQueued;
  std::int64_t acceptedMs_ = 0; ///< Unix milliseconds.
  std::int64_t endedMs_ = 0;    ///< Unix milliseconds; 0 while it has not ended.
  clock::Moment arrivedAt_{};
  std::map<int, Occurrence> liveOccurrences_;
  std::set<int> occurrencesDone_;
  int nextOccurrence_ = 0;       ///< The first repetition that has not been due yet.
  bool started_ = false;         ///< A task has been placed.
  bool fromPredecessor_ = false; ///< Accepted by an earlier owner, which may have placed tasks.
  bool longRunning_ = false;
  bool stored_ = false;      ///< The store holds the job.
  bool ending_ = false;      ///< Its end is being stored.
  bool hasProgress_ = false; ///< The store holds, or may hold, a progress record.
  int waitingTasks_ = 0;     ///< Tasks that could be placed now, their steps allowing it.
  int placedTasks_ = 0;
  double estimatedCoreSeconds_ = 0; ///< Estimated core-seconds of one repetition.
  clock::Milliseconds criticalPath_{ 0 };
};

/** What one end of a run changed. */
struct EndEffect
{
  bool known_ = false;        ///< The run belongs to a task of a live repetition.
  bool changed_ = false;      ///< Something must be stored before the end is acknowledged.
  bool jobCompleted_ = false; ///< Every task of every repetition is done.
  bool jobFailed_ = false;    ///< A task has failed as often as it may.
};

/** Makes a job from what its caller sent, or from the store. */
Job
MakeJob(const std::string& aId, const std::string& aQueue, const JobSpec& aSpec);

/** Opens every repetition that is due. @return the Unix milliseconds of the next; 0: none. */
std::int64_t
OpenDueOccurrences(Job& aJob, std::int64_t aNowMs);

/** Marks what the store says is done. */
void
ApplyProgress(Job& aJob, const ProgressRecord& aRecord);

/** Returns what the store is to keep of the job's progress. */
ProgressRecord
ProgressOf(const Job& aJob);

/** Returns the task's state; null where its repetition is not live or there is no such task. */
TaskState*
FindTask(Job& aJob, const TaskId& aTask);

/** Tells whether every step that must come first is done. */
bool
IsUnblocked(const Job& aJob, const Occurrence& aOccurrence, int aStep);

/** Counts anew how many tasks could be placed now. */
void
CountWaiting(Job& aJob);

/** Marks a task as placed. */
void
Place(Job& aJob,
      const TaskId& aTask,
      const std::string& aWorker,
      std::int64_t aRun,
      clock::Moment aNow);

/** Marks a placed task as having a copy on a second worker. */
void
PlaceCopy(Job& aJob,
          const TaskId& aTask,
          const std::string& aWorker,
          std::int64_t aRun,
          clock::Moment aNow);

/** Marks a placed task as waiting again: its run did not happen, or is over without effect. Where a
 * task has a copy, the other run goes on as its only one. */
void
ClearPlacement(Job& aJob, const TaskId& aTask, std::int64_t aRun, clock::Moment aNotBefore);

/** Applies the end of a run. A task that is done stays so.
 * @param aMaxAttempts failed runs after which the job has failed; 0: no limit. */
EndEffect
ApplyEnd(Job& aJob,
         const TaskId& aTask,
         std::int64_t aRun,
         EndKind aKind,
         const std::string& aCheckpoint,
         int aMaxAttempts);

/** What remains of a job's repetitions that are due, by the caller's estimates. */
struct RemainingWork
{
  double coreSeconds_ = 0;                ///< Core-seconds of tasks that are not done.
  double maxCores_ = 0;                   ///< Cores that it can use at once at most.
  clock::Milliseconds criticalPath_{ 0 }; ///< Longest chain of steps that are not done.
};

RemainingWork
RemainingWorkOf(const Job& aJob);

/** Returns the moment until which the job earns its full worth. */
clock::Moment
ObjectiveOf(const Job& aJob, const Queue* aQueue);

} // namespace quetzal::jobs
