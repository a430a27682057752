#pragma once

#include "include/quetzal/jobs/Configuration.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/** Jobs, their steps and their tasks. */
namespace quetzal::jobs {

/** The last millisecond of the year 9999. Sums of times up to it cannot overflow. */
inline constexpr std::int64_t kMaxUnixMs = 253'402'300'799'999;

/** The most steps that a job may have. */
inline constexpr std::size_t kMaxSteps = 64;

/** A step's resource requests for each task, and its dependencies on other steps. */
struct StepSpec
{
  int count_ = 0;           ///< Number of tasks.
  std::int64_t cpu_ = 0;    ///< Thousandths of a core for each task.
  std::int64_t memory_ = 0; ///< Megabytes for each task.
  std::int64_t accelerators_ = 0;
  std::int64_t estimateMs_ = 0; ///< The caller's rough estimate of a task's duration.
  std::vector<int> after_;      ///< Earlier steps that must be done before this one starts.
  bool checkpointing_ = false;
  bool gang_ = false;     ///< Either all tasks of the step run at the same time, or none.
  bool sameRack_ = false; ///< The tasks should share a rack, because a gang is slow across racks.
  std::string requiredLabel_;        ///< A label the worker must have; empty: any worker.
  std::string dataRack_;             ///< The rack that holds the data; empty: none.
  int maxPerWorker_ = 0;             ///< Tasks of this step that may share a worker; 0: any number.
  bool speculative_ = false;         ///< Stragglers may get a speculative copy.
  bool longRunning_ = false;         ///< Tasks run until their job is cancelled.
  std::string image_;                ///< Tasks with the same image behave alike.
  std::int64_t latencyTargetMs_ = 0; ///< Response time limit of a latency-sensitive task; 0: none.
  bool bestEffort_ = false;          ///< Uses only processor time that other tasks leave.
  int maxUnavailable_ =
    0; ///< If longRunning_: how many tasks planned work may evict at the same time.

  auto operator<=>(const StepSpec&) const = default;
};

/** A job as its caller submitted it. */
struct JobSpec
{
  std::string payload_; ///< Passed to every task unchanged.
  std::vector<StepSpec> steps_;
  int repetitions_ = 0;         ///< 0: runs once, immediately.
  std::int64_t firstMs_ = 0;    ///< Due time of the first repetition, Unix milliseconds.
  std::int64_t intervalMs_ = 0; ///< Time between repetitions.

  auto operator<=>(const JobSpec&) const = default;
};

/** A job that a caller submits to a queue. */
struct Submission
{
  std::string queue_; ///< The queue's name.
  std::string id_;
  JobSpec spec_;
  std::optional<QueueTerms> terms_; ///< Of the queue at acceptance; unset if not known.
  std::string organisation_{};      ///< Whose key it was submitted with; empty: none.
  std::string entryHost_{};         ///< The host that its caller reached, for logs; empty: unknown.
  int attempt_ = 1;                 ///< Counts the sendings of the same request, for logs.
};

enum class JobState : std::uint8_t
{
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/** Returns whether no task of the job will run again. */
inline bool
IsFinal(JobState aState)
{
  return aState >= JobState::kCompleted;
}

/** Returns the state's name in logs, such as "queued". */
const char*
ToString(JobState aState);

/** How a run of a task ended. */
enum class EndKind : std::uint8_t
{
  kDone,
  kFailed,
  kStopped,
  kLapsed,         ///< The worker's lease expired.
  kGangBroken,     ///< Another member of the gang ended early.
  kGangIncomplete, ///< The other members of the gang did not start.
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

/** Returns whether a job can be run: it has steps, they depend on earlier steps only, and all
 * amounts are within limits. @param aWhy set to the reason if the job is invalid. */
bool
IsValid(const JobSpec& aSpec, std::string& aWhy);

/** Returns whether the job runs until it is cancelled. */
bool
IsLongRunning(const JobSpec& aSpec);

/** Returns the core-seconds of one repetition, from the caller's estimates. */
double
EstimatedCoreSeconds(const JobSpec& aSpec);

/** Returns the estimated duration of the critical path through one repetition's steps. */
std::chrono::milliseconds
EstimatedCriticalPath(const JobSpec& aSpec);

} // namespace quetzal::jobs
