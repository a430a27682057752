#include "include/quetzal/workers/WorkerState.h"

#include <algorithm>

namespace quetzal::workers {
namespace {

/** Added to the time of a lapse, which is reckoned to the millisecond. */
constexpr clock::Milliseconds kLapseSlack{ 60 };

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
AddRun(WorkerState& aBook, const jobs::TaskId& aTask, const Run& aSlot)
{
  const auto [row, added] = aBook.runs_.emplace(aTask, aSlot);
  if (!added) {
    AddUse(aBook.used_, row->second.need_, -1);
    row->second = aSlot;
  }
  AddUse(aBook.used_, aSlot.need_, 1);
}

bool
RemoveRun(WorkerState& aBook, const jobs::TaskId& aTask, std::int64_t aRun)
{
  const auto row = aBook.runs_.find(aTask);
  if (row == aBook.runs_.end() || row->second.number_ != aRun) {
    return false;
  }
  AddUse(aBook.used_, row->second.need_, -1);
  aBook.runs_.erase(row);
  return true;
}

std::int64_t
ClockAt(const WorkerState& aBook, clock::Moment aNow)
{
  if (!aBook.clock_) {
    return 0;
  }
  return aBook.clock_->clockMs_ +
         static_cast<std::int64_t>(MillisecondsSince(aBook.clock_->readAt_, aNow));
}

bool
HasLeaseLapsed(const WorkerState& aBook, clock::Moment aNow)
{
  if (!aBook.clock_) {
    return false;
  }
  const double passed =
    MillisecondsSince(aBook.clock_->readAt_ + kLapseSlack, aNow) * (1 - kMaxClockDrift);
  return static_cast<double>(aBook.clock_->clockMs_) + passed >
         static_cast<double>(aBook.leaseEndMs_);
}

std::int64_t
RecordedUpTo(const WorkerState& aBook)
{
  return aBook.unrecordedEnds_.empty() ? aBook.lastReportedEnd_
                                       : *aBook.unrecordedEnds_.begin() - 1;
}

Capacity
FreeCapacity(const WorkerState& aBook, const Capacity& aCapacity)
{
  return { aCapacity.cpu_ - aBook.used_.cpu_,
           aCapacity.memory_ - aBook.used_.memory_,
           aCapacity.accelerators_ - aBook.used_.accelerators_ };
}

bool
HasLongRunning(const WorkerState& aBook)
{
  return std::any_of(aBook.runs_.begin(), aBook.runs_.end(), [](const auto& aRow) {
    return aRow.second.longRunning_;
  });
}

bool
HasMixedLoad(const WorkerState& aBook)
{
  bool serves = false;
  bool fills = false;
  for (const auto& [task, slot] : aBook.runs_) {
    serves = serves || slot.latencyTargetMs_ > 0;
    fills = fills || slot.bestEffort_;
  }
  return serves && fills;
}

} // namespace quetzal::workers
