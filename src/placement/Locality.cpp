#include "include/quetzal/placement/Locality.h"

#include <algorithm>
#include <cmath>

namespace quetzal::placement {
namespace {

/** Time over which demand is averaged: long against one task, short against bursts of seconds. */
constexpr std::chrono::duration<double, std::milli> kDemandTime{ 2'000 };

workers::Capacity
Sum(const workers::Capacity& aLeft, const workers::Capacity& aRight)
{
  return { aLeft.cpu_ + aRight.cpu_,
           aLeft.memory_ + aRight.memory_,
           aLeft.accelerators_ + aRight.accelerators_ };
}

workers::Capacity
Negative(const workers::Capacity& aCapacity)
{
  return { -aCapacity.cpu_, -aCapacity.memory_, -aCapacity.accelerators_ };
}

bool
Holds(const workers::Capacity& aFree, const workers::Capacity& aNeed)
{
  return aNeed.cpu_ <= aFree.cpu_ && aNeed.memory_ <= aFree.memory_ &&
         aNeed.accelerators_ <= aFree.accelerators_;
}

bool
HasRequiredLabel(const WorkerForecast& aWorker, const std::string& aLabel)
{
  return aLabel.empty() || (aWorker.labels_ != nullptr &&
                            std::find(aWorker.labels_->begin(), aWorker.labels_->end(), aLabel) !=
                              aWorker.labels_->end());
}

clock::Milliseconds
Scaled(clock::Milliseconds aTime, double aFactor)
{
  return std::chrono::duration_cast<clock::Milliseconds>(aTime * aFactor);
}

/** Returns the time from which on a worker is expected to have room for a need, in spite of all
 * reservations. */
std::optional<clock::Moment>
FreeFrom(const WorkerForecast& aWorker, const workers::Capacity& aNeed, clock::Moment aNow)
{
  workers::Capacity free = aWorker.free_;
  std::optional<clock::Moment> from;
  if (Holds(free, aNeed)) {
    from = aNow;
  }
  for (std::size_t i = 0; i < aWorker.changes_.size(); ++i) {
    const CapacityChange& change = aWorker.changes_[i];
    free = Sum(free, change.amount_);
    const bool isLastOfMoment =
      i + 1 == aWorker.changes_.size() || aWorker.changes_[i + 1].at_ != change.at_;
    if (!isLastOfMoment) {
      continue;
    }
    if (!Holds(free, aNeed)) {
      from = std::nullopt;
    } else if (!from) {
      from = std::max(change.at_, aNow);
    }
  }
  return from;
}

/** Returns whether a step may use a worker, whatever its free capacity is. */
bool
MayUse(const WorkerForecast& aWorker, const jobs::StepSpec& aStep, const StepUse& aUse)
{
  const bool isExcluded = !aUse.excluded_.empty() && aUse.excluded_.at(aWorker.candidate_);
  const bool isAtLimit =
    aStep.maxPerWorker_ > 0 && aUse.taskCounts_.at(aWorker.candidate_) >= aStep.maxPerWorker_;
  return !isExcluded && !isAtLimit && HasRequiredLabel(aWorker, aStep.requiredLabel_);
}

} // namespace

std::optional<clock::Moment>
NearWaitEnd(const NearWait& aWait, clock::Moment aNow)
{
  if (aWait.longRunning_ || aWait.farFactor_ <= 1 || !aWait.slotAt_) {
    return std::nullopt;
  }
  const clock::Milliseconds farTime = Scaled(aWait.expected_, aWait.farFactor_);
  const clock::Moment since = aWait.since_.value_or(aNow);
  const clock::Milliseconds saved = farTime - aWait.expected_;
  const double fraction = WaitFraction(aWait.demand_, (aWait.farFactor_ - 1) * aWait.slots_);
  clock::Moment until = since + std::min(Scaled(saved, fraction), kMaxNearWait);
  if (aWait.endLimit_ && aNow + farTime <= *aWait.endLimit_) {
    until = std::min(until, *aWait.endLimit_ - farTime);
  }
  const bool endsEarlier = *aWait.slotAt_ + aWait.expected_ < aNow + farTime;
  if (!endsEarlier || *aWait.slotAt_ > until || until <= aNow) {
    return std::nullopt;
  }
  return until;
}

double
WaitFraction(double aDemand, double aQueueLimit)
{
  // An accepted task delays the tasks that arrive until the queue is empty again.
  double delayed = 0;
  double cost = 0;
  double length = 0;
  while (length < aQueueLimit) {
    delayed = 1 + aDemand * delayed;
    cost += delayed;
    if (cost > aQueueLimit) {
      break;
    }
    ++length;
  }
  return std::min(length / aQueueLimit, 1.0);
}

void
AddDemand(RackDemand& aDemand,
          const jobs::StepSpec& aStep,
          clock::Milliseconds aExpected,
          clock::Moment aNow)
{
  aDemand.millicoreMs_ = WantedMillicores(aDemand, aNow) * kDemandTime.count();
  aDemand.millicoreMs_ +=
    static_cast<double>(NeedOf(aStep).cpu_) * static_cast<double>(aExpected.count());
  aDemand.at_ = aNow;
}

double
WantedMillicores(const RackDemand& aDemand, clock::Moment aNow)
{
  const std::chrono::duration<double, std::milli> age = aNow - aDemand.at_;
  return aDemand.millicoreMs_ * std::exp(-age / kDemandTime) / kDemandTime.count();
}

double
SlotsOf(const RackForecast& aRack, const jobs::StepSpec& aStep)
{
  const workers::Capacity need = NeedOf(aStep);
  const auto quotient = [](std::int64_t aCapacity, std::int64_t aNeed) {
    return static_cast<double>(aCapacity) / static_cast<double>(std::max(aNeed, std::int64_t{ 1 }));
  };
  const double slots =
    std::min({ quotient(aRack.capacity_.cpu_, need.cpu_),
               quotient(aRack.capacity_.memory_, need.memory_),
               need.accelerators_ > 0 ? quotient(aRack.capacity_.accelerators_, need.accelerators_)
                                      : quotient(aRack.capacity_.memory_, need.memory_) });
  return std::max(slots, 1.0);
}

void
AddWorker(RackForecast& aRack, WorkerForecast aWorker, const workers::Capacity& aCapacity)
{
  aRack.capacity_ = Sum(aRack.capacity_, aCapacity);
  aRack.workers_.push_back(std::move(aWorker));
}

bool
IsNearData(const jobs::StepSpec& aStep, const std::vector<std::string>& aLabels)
{
  return std::find(aLabels.begin(), aLabels.end(), aStep.dataRack_) != aLabels.end();
}

void
AddChange(WorkerForecast& aWorker, const CapacityChange& aChange)
{
  const auto place =
    std::upper_bound(aWorker.changes_.begin(),
                     aWorker.changes_.end(),
                     aChange,
                     [](const CapacityChange& aLeft, const CapacityChange& aRight) {
                       return aLeft.at_ < aRight.at_;
                     });
  aWorker.changes_.insert(place, aChange);
}

bool
HasRoom(const RackForecast& aRack, const jobs::StepSpec& aStep, const StepUse& aUse)
{
  const workers::Capacity need = NeedOf(aStep);
  return std::any_of(
    aRack.workers_.begin(), aRack.workers_.end(), [&](const WorkerForecast& aWorker) {
      return MayUse(aWorker, aStep, aUse) && Holds(aWorker.free_, need);
    });
}

std::optional<ExpectedSlot>
FindSlot(const RackForecast& aRack,
         const jobs::StepSpec& aStep,
         const StepUse& aUse,
         clock::Moment aNow)
{
  const workers::Capacity need = NeedOf(aStep);
  std::optional<ExpectedSlot> first;
  for (std::size_t i = 0; i < aRack.workers_.size(); ++i) {
    const WorkerForecast& worker = aRack.workers_[i];
    if (!MayUse(worker, aStep, aUse)) {
      continue;
    }
    const auto from = FreeFrom(worker, need, aNow);
    if (from && (!first || *from < first->at_)) {
      first = ExpectedSlot{ i, *from };
    }
  }
  return first;
}

void
ReserveSlot(RackForecast& aRack,
            const ExpectedSlot& aSlot,
            const jobs::StepSpec& aStep,
            clock::Milliseconds aExpected)
{
  WorkerForecast& worker = aRack.workers_.at(aSlot.worker_);
  const workers::Capacity need = NeedOf(aStep);
  AddChange(worker, { aSlot.at_, Negative(need) });
  AddChange(worker, { aSlot.at_ + aExpected, need });
  ++aRack.reservations_;
}

std::optional<clock::Moment>
ReserveGang(RackForecast& aRack,
            const jobs::StepSpec& aStep,
            const StepUse& aUse,
            clock::Moment aNow,
            clock::Milliseconds aExpected)
{
  // Members run at the same time, so that none may be expected to use the slot of another one.
  const clock::Milliseconds reserved = std::max(aExpected, 2 * kMaxNearWait);
  StepUse use = aUse;
  clock::Moment last = aNow;
  for (int i = 0; i < aStep.count_; ++i) {
    const auto slot = FindSlot(aRack, aStep, use, aNow);
    if (!slot || slot->at_ > aNow + kMaxNearWait) {
      return std::nullopt;
    }
    ReserveSlot(aRack, *slot, aStep, reserved);
    ++use.taskCounts_.at(aRack.workers_[slot->worker_].candidate_);
    last = std::max(last, slot->at_);
  }
  return last;
}

} // namespace quetzal::placement
