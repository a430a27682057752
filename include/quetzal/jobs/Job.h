#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/** Jobs, their steps and their tasks. */
namespace quetzal::jobs {

/** What every task of a step asks of its worker, and how the step's tasks depend on others. */
struct StepSpec
{
  int count_ = 0;           ///< Number of tasks.
  std::int64_t cpu_ = 0;    ///< Thousandths of a core for each task.
  std::int64_t memory_ = 0; ///< Megabytes for each task.
  std::int64_t accelerators_ = 0;
  std::int64_t estimateMs_ = 0; ///< The caller's rough estimate of a task's duration.
  std::vector<int> after_;      ///< Earlier steps that must be done first.
  bool checkpointing_ = false;
  bool gang_ = false;                ///< Tasks run only together.
  bool sameRack_ = false;            ///< A gang that is slow across racks.
  std::string requiredLabel_;        ///< A label the worker must have; empty: any worker.
  std::string dataRack_;             ///< The rack that holds the data; empty: none.
  int maxPerWorker_ = 0;             ///< Tasks of this step that may share a worker; 0: any number.
  bool speculative_ = false;         ///< Copies of a task may run in parallel.
  bool longRunning_ = false;         ///< Tasks run until the job is cancelled.
  std::string image_;                ///< Tasks of one image behave alike.
  std::int64_t latencyTargetMs_ = 0; ///< Response time that a serving task must keep; 0: none.
  bool bestEffort_ = false;          ///< Uses only processor time that others leave.
  int maxUnavailable_ = 0;           ///< Lasting tasks that planned work may take away at once.

  auto operator<=>(const StepSpec&) const = default;
};

/** A job as its caller handed it in. */
struct JobSpec
{
  std::string payload_; ///< Passed to every task unchanged.
  std::vector<StepSpec> steps_;
  int repetitions_ = 0;         ///< 0: runs once, at once.
  std::int64_t firstMs_ = 0;    ///< Due time of the first repetition, Unix milliseconds.
  std::int64_t intervalMs_ = 0; ///< Time between repetitions.

  auto operator<=>(const JobSpec&) const = default;
};

enum class JobState : std::uint8_t
{
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/** Tells whether nothing of the job will ever run again. */
inline bool
IsFinal(JobState aState)
{
  return aState >= JobState::kCompleted;
}

/** Returns the name that logs carry, such as "queued". */
const char*
ToString(JobState aState);

/** How a run of a task ended. */
enum class EndKind : std::uint8_t
{
  kDone,
  kFailed,
  kStopped,
  kLapsed,         ///< The worker's lease ran out.
  kGangBroken,     ///< Another member of the gang ended.
  kGangIncomplete, ///< The other members of the gang did not come.
};

const char*
ToString(EndKind aKind);

/** One task of one repetition of a job. */
struct TaskId
{
  std::string job_;
  int occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;

  auto operator<=>(const TaskId&) const = default;
};

/** Returns "job.occurrence.step.index". */
std::string
ToString(const TaskId& aTask);

/** Returns "job.occurrence.step". */
std::string
StepName(const std::string& aJob, int aOccurrence, int aStep);

/** Tells whether a job can be run at all: steps exist, refer to earlier steps only, and ask for
 * sensible amounts. @param aWhy set to the reason where it cannot. */
bool
IsValid(const JobSpec& aSpec, std::string& aWhy);

/** Tells whether the job runs until it is cancelled. */
bool
IsLongRunning(const JobSpec& aSpec);

/** Returns the core-seconds that one repetition takes by the caller's estimates. */
double
EstimatedCoreSeconds(const JobSpec& aSpec);

/** Returns the longest chain of estimated durations through one repetition's steps. */
std::chrono::milliseconds
EstimatedCriticalPath(const JobSpec& aSpec);

} // namespace quetzal::jobs
