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
  kPlaced, ///< Assigned to a worker; the worker's state tells whether the run has started.
  kDone,
};

/** One task of one repetition. */
struct TaskState
{
  TaskPhase phase_ = TaskPhase::kWaiting;
  std::int64_t run_ = 0;              ///< The current run, or the last one.
  std::set<std::int64_t> failedRuns_; ///< Runs that ended as failed; each counts once.
  std::string checkpoint_;
  std::string worker_;
  std::int64_t copyRun_ = 0; ///< Run number of the speculative copy; 0: none.
  std::string copyWorker_;
  clock::Moment copiedAt_{};
  bool evicting_ = false; ///< The run is being stopped to restart the task elsewhere.
  clock::Moment placedAt_{};
  clock::Moment notBefore_{}; ///< Earliest time of the next placement.
  /** When the task first waited for a slot near its data. It stays set when the task is placed
   * again, so that the time limit of the wait holds for all placements together. */
  std::optional<clock::Moment> nearWaitSince_;
};

struct StepState
{
  std::vector<TaskState> tasks_;
  int doneTasks_ = 0;
  int timedTasks_ = 0;                  ///< Tasks whose durations are included in timedTotal_.
  clock::Milliseconds timedTotal_{ 0 }; ///< Sum of the durations of completed tasks.

  bool IsDone() const { return doneTasks_ == static_cast<int>(tasks_.size()); }
};

/** A repetition that is due, or that an earlier owner has started, and that has not ended. */
struct Occurrence
{
  std::int64_t dueMs_ = 0; ///< Unix milliseconds; 0: at once.
  std::vector<StepState> steps_;
};

/** Why the last placement round that saw a job started none of its waiting tasks. */
enum class WaitReason : std::uint8_t
{
  kNone,
  kNotTried,    ///< The round ended before it.
  kPredecessor, ///< Not all workers have told which tasks an earlier owner started.
  kNotDue,      ///< A repetition, another try, or the other tasks of a gang are not due.
  kNoTicket,    ///< Waits for the placement advice service.
  kNoRoom,
  kQuota,    ///< Its organisation may not use more in this cell now.
  kNearSlot, ///< Waits for a slot near its data.
};

/** Returns the reason's name in logs, such as "no-room". */
const char*
ToString(WaitReason aReason);

/** An accepted job, as held by the owner of its cell. */
struct Job
{
  std::string id_;
  std::string queue_;
  std::string organisation_; ///< The organisation that submitted it; empty: none.
  /** It arrived beyond its organisation's rate; unknown, and false, after a change of owner. */
  bool overRate_ = false;
  JobSpec spec_;
  QueueTerms terms_; ///< Of the queue when the job was accepted.
  JobState state_ = JobState::kQueued;
  std::int64_t acceptedMs_ = 0; ///< Unix milliseconds.
  clock::Moment arrivedAt_{};
  std::map<int, Occurrence> liveOccurrences_;
  std::set<int> occurrencesDone_;
  int nextOccurrence_ = 0;       ///< The first repetition that is not yet due.
  bool started_ = false;         ///< A task has been placed or has made progress.
  clock::Moment startedAt_{};    ///< When this owner placed the first task.
  clock::Moment lastChangeAt_{}; ///< When this owner last placed a task or learnt of an end.
  bool fromPredecessor_ = false; ///< Accepted by an earlier owner, which may have placed tasks.
  bool longRunning_ = false;
  bool stored_ = false;      ///< The store holds the job.
  bool ending_ = false;      ///< The job's end is being stored.
  bool hasProgress_ = false; ///< The store holds, or may hold, a progress record.
  int waitingTasks_ = 0;     ///< Waiting tasks of steps whose dependencies are done.
  int placedTasks_ = 0;
  WaitReason waitReason_ = WaitReason::kNone;
  double estimatedCoreSeconds_ = 0; ///< Estimated core-seconds of one repetition.
  clock::Milliseconds criticalPath_{ 0 };
  clock::Milliseconds remainingPath_{ 0 }; ///< Critical path of the steps that are not done.
};

/** What the end of a run has changed. */
struct EndEffect
{
  bool known_ = false;        ///< The run belongs to a task of a live repetition.
  bool changed_ = false;      ///< The job's progress must be stored before the end is acknowledged.
  bool jobCompleted_ = false; ///< Every task of every repetition is done.
  bool jobFailed_ = false;    ///< A task has reached the limit of failed runs.
};

/** Makes a job from a specification that a caller sent or the store holds. */
Job
MakeJob(const std::string& aId, const std::string& aQueue, const JobSpec& aSpec);

/** Makes all due repetitions live. @return the due time of the next one in Unix
 * milliseconds; 0: none. */
std::int64_t
OpenDueOccurrences(Job& aJob, std::int64_t aNowMs);

/** Makes the repetitions up to this one live, even if they are not due by this host's clock: the
 * clock of an earlier owner that started one was ahead. */
void
OpenOccurrencesThrough(Job& aJob, int aOccurrence);

/** Restores a job's progress from its stored record. */
void
ApplyProgress(Job& aJob, const ProgressRecord& aRecord);

/** Returns the job's progress as a record for the store. */
ProgressRecord
ProgressOf(const Job& aJob);

/** Returns the task's state; null if its repetition is not live or the task does not exist. */
TaskState*
FindTask(Job& aJob, const TaskId& aTask);

/** Returns whether every step that a step depends on is done. */
bool
IsUnblocked(const Job& aJob, const Occurrence& aOccurrence, int aStep);

/** Computes again how many tasks could be placed now, and the critical path of what is left. */
void
Recount(Job& aJob);

/** Marks a task as placed. */
void
Place(Job& aJob,
      const TaskId& aTask,
      const std::string& aWorker,
      std::int64_t aRun,
      clock::Moment aNow);

/** Marks a placed task as having a speculative copy on a second worker. */
void
PlaceCopy(Job& aJob,
          const TaskId& aTask,
          const std::string& aWorker,
          std::int64_t aRun,
          clock::Moment aNow);

/** Marks a placed task as waiting again after its run did not start, or ended without completing
 * the task. If the task has two runs, the other one remains as its only run. */
void
ClearPlacement(Job& aJob, const TaskId& aTask, std::int64_t aRun, clock::Moment aNotBefore);

/** Applies the end of a run. A task that is done remains done.
 * @param aMaxAttempts failed runs of a task after which its job fails; 0: no limit. */
EndEffect
ApplyEnd(Job& aJob,
         const TaskId& aTask,
         std::int64_t aRun,
         EndKind aKind,
         const std::string& aCheckpoint,
         int aMaxAttempts);

/** The work left in a job's live repetitions, from the caller's estimates. */
struct RemainingWork
{
  double coreSeconds_ = 0; ///< Core-seconds of tasks that are not done.
  double maxCores_ = 0;    ///< Most cores that the unfinished tasks of one step can use.
  clock::Milliseconds criticalPath_{ 0 }; ///< Critical path of steps that are not done.
};

RemainingWork
RemainingWorkOf(const Job& aJob);

/** Returns the terms that hold for a job now, its limit of attempts aside: those of its queue, or
 * of its acceptance if the queue has been removed. */
const QueueTerms&
TermsInForce(const Job& aJob, const Configuration& aConfiguration);

/** Returns the time by which the job must complete to meet its queue's objective. */
clock::Moment
ObjectiveOf(const Job& aJob, const QueueTerms& aTerms);

} // namespace quetzal::jobs
