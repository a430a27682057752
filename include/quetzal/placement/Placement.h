#pragma once

#include "include/quetzal/jobs/Job.h"
#include "include/quetzal/workers/WorkerState.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** Placement: selects the worker of each task. */
namespace quetzal::placement {

/** A worker on which tasks may be started now. The texts belong to the worker's registration. */
struct Candidate
{
  std::string_view id_;
  std::string_view rack_;
  const std::vector<std::string>* labels_ = nullptr;
  workers::Capacity free_;
  bool hasLongRunning_ = false;
  bool hasLatencySensitive_ = false; ///< Runs tasks with a latency target.
  bool hasBestEffort_ = false;
  double failureScore_ = 0; ///< 0: no recent failures; 1: many.
};

/** How the tasks of a step are spread over the candidates, and which candidates the step
 * cannot use. */
struct StepUse
{
  std::vector<int> taskCounts_; ///< Tasks of the step, by candidate.
  std::vector<bool> excluded_;  ///< By candidate; empty: none is excluded.
};

/** Returns the candidate for one task; nothing if the task fits on none. The order of preference
 * is: a low failure score, the rack that holds the data, no mix of latency-sensitive and
 * best-effort tasks, no mix of tasks that run until cancelled with other tasks, and the least free
 * processor time. This order suits both light and heavy load. A worker's capacity is never
 * exceeded. */
std::optional<std::size_t>
ChooseWorker(const jobs::StepSpec& aStep,
             const std::vector<Candidate>& aCandidates,
             const StepUse& aUse);

/** Returns the candidate for the next task of a step, as ChooseWorker does. The candidate that got
 * the step's last task has become fuller, and so stays the choice while it has room.
 * @param aLast that candidate; nothing for the step's first task. */
std::optional<std::size_t>
ChooseNextWorker(const jobs::StepSpec& aStep,
                 const std::vector<Candidate>& aCandidates,
                 const StepUse& aUse,
                 std::optional<std::size_t> aLast);

/** Returns a candidate for every task of a gang; empty if not all of them fit. A gang that prefers
 * one rack is placed on one if any rack can hold it. */
std::vector<std::size_t>
ChooseGang(const jobs::StepSpec& aStep, const std::vector<Candidate>& aCandidates);

/** Subtracts a task's demand from a candidate's free capacity. */
void
Reserve(Candidate& aCandidate, const jobs::StepSpec& aStep);

/** Returns the capacity that a task uses on a worker. */
workers::Capacity
NeedOf(const jobs::StepSpec& aStep);

/** Returns the record of a new run of one of a step's tasks. */
workers::Run
MakeRun(const jobs::StepSpec& aStep,
        std::int64_t aRun,
        workers::RunState aState,
        clock::Moment aNow);

} // namespace quetzal::placement
