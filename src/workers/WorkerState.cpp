#include "include/quetzal/workers/WorkerState.h"

#include <algorithm>

namespace quetzal::workers {
namespace {

/** Margin added to a lapse, since clock readings are rounded to milliseconds. */
constexpr clock::Milliseconds kLapseMargin{ 60 };

/** Adds a run to the worker's totals, or subtracts it. @param aSign 1 or -1. */
void
AddToTotals(WorkerState& aState, const Run& aRun, int aSign)
{
  aState.used_.cpu_ += aSign * aRun.need_.cpu_;
  aState.used_.memory_ += aSign * aRun.need_.memory_;
  aState.used_.accelerators_ += aSign * aRun.need_.accelerators_;
  aState.counts_.longRunning_ += aRun.longRunning_ ? aSign : 0;
  aState.counts_.latencySensitive_ += aRun.latencyTargetMs_ > 0 ? aSign : 0;
  aState.counts_.bestEffort_ += aRun.bestEffort_ ? aSign : 0;
  if (aState.quotaUse_ != nullptr) {
    // Only a run that this owner has ordered has a fence.
    organisations::CountRun(*aState.quotaUse_,
                            aRun.organisation_,
                            aRun.quotaUse_,
                            aRun.fence_ != 0,
                            aSign > 0 ? organisations::UseChange::kAdded
                                      : organisations::UseChange::kRemoved);
  }
}

double
MillisecondsSince(clock::Moment aThen, clock::Moment aNow)
{
  return std::chrono::duration<double, std::milli>(aNow - aThen).count();
}

} // namespace

void
AddRun(WorkerState& aState, const jobs::TaskId& aTask, const Run& aRunToAdd)
{
  const auto [entry, added] = aState.runs_.emplace(aTask, aRunToAdd);
  if (!added) {
    AddToTotals(aState, entry->second, -1);
    entry->second = aRunToAdd;
  }
  AddToTotals(aState, aRunToAdd, 1);
}

bool
AddOrphan(WorkerState& aState, const jobs::TaskId& aTask, const Run& aOrphan)
{
  const bool added = aState.orphans_.emplace(RunKey{ aTask, aOrphan.number_ }, aOrphan).second;
  if (added) {
    AddToTotals(aState, aOrphan, 1);
  }
  return added;
}

Run*
FindRun(WorkerState& aState, const RunKey& aKey)
{
  const auto run = aState.runs_.find(aKey.task_);
  if (run != aState.runs_.end() && run->second.number_ == aKey.number_) {
    return &run->second;
  }
  const auto orphan = aState.orphans_.find(aKey);
  return orphan == aState.orphans_.end() ? nullptr : &orphan->second;
}

bool
HasRuns(const WorkerState& aState)
{
  return !aState.runs_.empty() || !aState.orphans_.empty();
}

bool
RemoveRun(WorkerState& aState, const jobs::TaskId& aTask, std::int64_t aRun)
{
  if (const auto orphan = aState.orphans_.extract({ aTask, aRun }); !orphan.empty()) {
    AddToTotals(aState, orphan.mapped(), -1);
    return true;
  }
  const auto entry = aState.runs_.find(aTask);
  if (entry == aState.runs_.end() || entry->second.number_ != aRun) {
    return false;
  }
  AddToTotals(aState, entry->second, -1);
  aState.runs_.erase(entry);
  return true;
}

std::map<jobs::TaskId, Run>
TakeRuns(WorkerState& aState)
{
  for (const auto& [task, run] : aState.runs_) {
    AddToTotals(aState, run, -1);
  }
  for (const auto& [key, orphan] : aState.orphans_) {
    AddToTotals(aState, orphan, -1);
  }
  aState.orphans_.clear();
  std::map<jobs::TaskId, Run> runs;
  runs.swap(aState.runs_);
  return runs;
}

bool
IsRejectedBy(const Run& aRun, std::int64_t aFence)
{
  return !aRun.confirmed_ && aRun.fence_ < aFence;
}

bool
IsStopConfirmed(const Run& aRun, clock::Moment aBefore)
{
  return aRun.stopConfirmedAt_ != clock::Moment{} && aRun.stopConfirmedAt_ < aBefore;
}

std::int64_t
ClockAt(const WorkerState& aState, clock::Moment aNow)
{
  if (!aState.clock_) {
    return 0;
  }
  return aState.clock_->clockMs_ +
         static_cast<std::int64_t>(MillisecondsSince(aState.clock_->readAt_, aNow));
}

void
BeginClock(WorkerState& aState, const ClockReading& aReading, clock::Milliseconds aLongestLease)
{
  aState.clock_ = aReading;
  aState.leaseEndMs_ = aReading.clockMs_ + static_cast<std::int64_t>(aLongestLease.count());
}

bool
HasLeaseLapsed(const WorkerState& aState, clock::Moment aNow)
{
  if (!aState.clock_) {
    return false;
  }
  const double passed =
    MillisecondsSince(aState.clock_->readAt_ + kLapseMargin, aNow) * (1 - kMaxClockDrift);
  return static_cast<double>(aState.clock_->clockMs_) + passed >
         static_cast<double>(aState.leaseEndMs_);
}

std::int64_t
RecordedUpTo(const WorkerState& aState)
{
  return aState.unrecordedEnds_.empty() ? aState.lastReportedEnd_
                                        : *aState.unrecordedEnds_.begin() - 1;
}

Capacity
FreeCapacity(const WorkerState& aState, const Capacity& aCapacity)
{
  return { aCapacity.cpu_ - aState.used_.cpu_,
           aCapacity.memory_ - aState.used_.memory_,
           aCapacity.accelerators_ - aState.used_.accelerators_ };
}

bool
HasLongRunning(const WorkerState& aState)
{
  return aState.counts_.longRunning_ > 0;
}

bool
HasMixedLoad(const WorkerState& aState)
{
  return aState.counts_.latencySensitive_ > 0 && aState.counts_.bestEffort_ > 0;
}

} // namespace quetzal::workers
