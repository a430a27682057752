#include "include/quetzal/workers/WorkerState.h"

#include <algorithm>

namespace quetzal::workers {
namespace {

/** Margin added to a lapse, since clock readings are rounded to milliseconds. */
constexpr clock::Milliseconds kLapseMargin{ 60 };

void
AddUse(Capacity& aUsed, const Capacity& aNeed, int aSign)
{
  aUsed.cpu_ += aSign * aNeed.cpu_;
  aUsed.memory_ += aSign * aNeed.memory_;
  aUsed.accelerators_ += aSign * aNeed.accelerators_;
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
    AddUse(aState.used_, entry->second.need_, -1);
    entry->second = aRunToAdd;
  }
  AddUse(aState.used_, aRunToAdd.need_, 1);
}

bool
RemoveRun(WorkerState& aState, const jobs::TaskId& aTask, std::int64_t aRun)
{
  const auto entry = aState.runs_.find(aTask);
  if (entry == aState.runs_.end() || entry->second.number_ != aRun) {
    return false;
  }
  AddUse(aState.used_, entry->second.need_, -1);
  aState.runs_.erase(entry);
  return true;
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
  return std::any_of(aState.runs_.begin(), aState.runs_.end(), [](const auto& aEntry) {
    return aEntry.second.longRunning_;
  });
}

bool
HasMixedLoad(const WorkerState& aState)
{
  bool hasLatencySensitive = false;
  bool hasBestEffort = false;
  for (const auto& [task, run] : aState.runs_) {
    hasLatencySensitive = hasLatencySensitive || run.latencyTargetMs_ > 0;
    hasBestEffort = hasBestEffort || run.bestEffort_;
  }
  return hasLatencySensitive && hasBestEffort;
}

} // namespace quetzal::workers
