#pragma once

#include "include/quetzal/jobs/Job.h"
#include "include/quetzal/workers/WorkerState.h"

#include <optional>
#include <string>
#include <vector>

/** Which worker runs which task. */
namespace quetzal::placement {

/** One worker that may be given tasks now. */
struct Candidate
{
  std::string id_;
  std::string rack_;
  const std::vector<std::string>* labels_ = nullptr;
  workers::Capacity free_;
  bool hasLongRunning_ = false;
  bool hasLatencySensitive_ = false; ///< Runs tasks with a response time to keep.
  bool hasBestEffort_ = false;
  double failureScore_ = 0; ///< 0: sound; 1: as bad as can be.
};

/** What a task needs beyond its step: how many of its step each candidate already runs. */
struct StepUse
{
  std::vector<int> taskCounts_; ///< By candidate.
  std::vector<bool> excluded_;  ///< By candidate; empty: none is barred.
};

/** Returns the worker for one task: sound ones first, then those that keep other work together:
 * lasting tasks beside lasting ones, others away from them, and the fullest worker that still has
 * room. Answers light and heavy load alike; it never overfills. Nothing where none fits. */
std::optional<std::size_t>
ChooseWorker(const jobs::StepSpec& aStep,
             const std::vector<Candidate>& aCandidates,
             const StepUse& aUse);

/** Chooses a worker for every task of a gang at once; empty where not all fit. A gang that wants
 * one rack gets one wherever any has the room. */
std::vector<std::size_t>
ChooseGang(const jobs::StepSpec& aStep, const std::vector<Candidate>& aCandidates);

/** Takes a task's need out of a candidate's room. */
void
Reserve(Candidate& aCandidate, const jobs::StepSpec& aStep);

/** Returns what a task takes of a worker's capacity. */
workers::Capacity
NeedOf(const jobs::StepSpec& aStep);

/** Returns the entry of a worker's book for a run of a step's task. */
workers::Run
MakeRun(const jobs::StepSpec& aStep,
        std::int64_t aRun,
        workers::RunState aState,
        clock::Moment aNow);

} // namespace quetzal::placement
