#include "include/quetzal/workers/RunBounds.h"

#include <algorithm>

namespace quetzal::workers {
namespace {

constexpr clock::Moment kNever{};

/** Margin of a worker's age: the difference between two hosts' times of day, and the time until an
 * owner notices that the incarnation before has ended. */
constexpr clock::Milliseconds kAgeMargin{ 5'000 };
/** Margin of a lease's end, since clock readings are rounded to milliseconds. */
constexpr clock::Milliseconds kLeaseMargin{ 100 };
/** Margin between two clocks that are rounded to milliseconds. */
constexpr double kClockMarginMs = 5;
/** Longest time between an answer's clock reading and its arrival, in milliseconds. */
constexpr double kMaxTransitMs = 2'000;

double
MillisecondsBetween(clock::Moment aThen, clock::Moment aNow)
{
  return std::chrono::duration<double, std::milli>(aNow - aThen).count();
}

/** Returns the earliest reading that the present incarnation's clock can have had at a moment. */
double
EarliestClockAt(const WorkerState& aState, clock::Moment aAt)
{
  const double passed = MillisecondsBetween(aState.clock_->readAt_, aAt);
  const double slowest = passed > 0 ? passed * (1 - kMaxClockDrift) : passed;
  return static_cast<double>(aState.clock_->clockMs_) + slowest - kClockMarginMs;
}

/** Returns the latest moment at which a run may be alive that an unknown incarnation has begun on a
 * call sent at the given time. Later calls may have made its lease longer. */
clock::Moment
LatestEndInDoubt(const WorkerState& aState, clock::Moment aSentAt, const LeaseTimes& aTimes)
{
  return std::max(aSentAt, aState.leaseSentAt_) + aTimes.maxCallDelay_ +
         LongestTime(aTimes.longest_) + kLeaseMargin;
}

/** Returns whether an incarnation is too young for all calls that were meant for the one before it
 * to have been carried out, and for leases that they granted to have ended. */
bool
MayHaveStaleLease(std::optional<clock::Milliseconds> aAge, const LeaseTimes& aTimes)
{
  const clock::Milliseconds oldest =
    aTimes.maxCallDelay_ + LongestTime(aTimes.longest_) + kAgeMargin;
  return !aAge || *aAge < oldest;
}

void
RemoveOrphans(WorkerState& aState)
{
  while (!aState.orphans_.empty()) {
    const RunKey key = aState.orphans_.begin()->first;
    RemoveRun(aState, key.task_, key.number_);
  }
}

/** Removes and returns the runs that fulfil a condition. */
template<typename Condition>
std::map<jobs::TaskId, Run>
TakeRunsIf(WorkerState& aState, const Condition& aCondition)
{
  std::map<jobs::TaskId, Run> taken;
  for (const auto& [task, run] : aState.runs_) {
    if (aCondition(run)) {
      taken.emplace(task, run);
    }
  }
  for (const auto& [task, run] : taken) {
    RemoveRun(aState, task, run.number_);
  }
  return taken;
}

} // namespace

clock::Milliseconds
LongestTime(clock::Milliseconds aLease)
{
  return std::chrono::duration_cast<clock::Milliseconds>(aLease / (1 - kMaxClockDrift));
}

bool
IsOfPresentIncarnation(const WorkerState& aState,
                       clock::Moment aSentAt,
                       clock::Moment aReceivedAt,
                       std::int64_t aClockMs)
{
  if (!aState.clock_ || aClockMs == 0) {
    return false;
  }
  const double sinceReading =
    std::max(0.0, MillisecondsBetween(aState.clock_->readAt_, aReceivedAt));
  const double latest =
    static_cast<double>(aState.clock_->clockMs_) + sinceReading * (1 + kMaxClockDrift);
  const auto clock = static_cast<double>(aClockMs);
  return clock >= EarliestClockAt(aState, aSentAt) && clock <= latest + kMaxTransitMs;
}

bool
ProvesPresentIncarnation(const WorkerState& aState,
                         clock::Moment aSentAt,
                         clock::Moment aReceivedAt,
                         std::int64_t aClockMs)
{
  // The clocks of two incarnations that began within the margin read alike.
  const double sinceReading =
    MillisecondsBetween(aState.clock_ ? aState.clock_->readAt_ : aSentAt, aReceivedAt);
  return IsOfPresentIncarnation(aState, aSentAt, aReceivedAt, aClockMs) &&
         static_cast<double>(aClockMs) > sinceReading + kMaxTransitMs;
}

bool
MayStillBegin(const Run& aRun, clock::Moment aAt, const LeaseTimes& aTimes)
{
  const bool isInFlight = aRun.inFlightSince_ != kNever;
  const bool isUnanswered = aRun.unansweredAt_ != kNever;
  return isInFlight || (isUnanswered && aAt <= aRun.unansweredAt_ + aTimes.maxCallDelay_);
}

bool
MayBeAlive(const WorkerState& aState, const Run& aRun, clock::Moment aNow, const LeaseTimes& aTimes)
{
  const bool isInFlight = aRun.inFlightSince_ != kNever;
  if (isInFlight || (aRun.confirmed_ && !HasLeaseLapsed(aState, aNow))) {
    return true;
  }
  const clock::Moment calledAt =
    aRun.confirmed_ ? aRun.unansweredAt_ : std::max(aRun.unansweredAt_, aRun.answeredAt_);
  return calledAt != kNever && aNow <= LatestEndInDoubt(aState, calledAt, aTimes);
}

std::map<jobs::TaskId, Run>
TakeLapsedRuns(WorkerState& aState, clock::Moment aNow, const LeaseTimes& aTimes)
{
  if (HasLeaseLapsed(aState, aNow)) {
    RemoveOrphans(aState);
  }
  return TakeRunsIf(aState, [&aState, aNow, &aTimes](const Run& aRun) {
    return !MayBeAlive(aState, aRun, aNow, aTimes);
  });
}

std::map<jobs::TaskId, Run>
TakeTerminatedRuns(WorkerState& aState, clock::Moment aSeenGoneAt, const LeaseTimes& aTimes)
{
  if (aState.clock_ && aState.clock_->readAt_ > aSeenGoneAt) {
    return {}; // The present incarnation has answered since, so that it is not the one that was
               // gone.
  }
  RemoveOrphans(aState);
  std::erase_if(aState.openOrders_, [aSeenGoneAt, &aTimes](const auto& aOrder) {
    return aSeenGoneAt > aOrder.second + aTimes.maxCallDelay_;
  });
  return TakeRunsIf(aState, [aSeenGoneAt, &aTimes](const Run& aRun) {
    return aRun.answeredAt_ <= aSeenGoneAt && !MayStillBegin(aRun, aSeenGoneAt, aTimes);
  });
}

std::map<jobs::TaskId, Run>
TakeConfirmedRuns(WorkerState& aState, clock::Moment aPolledAt, const LeaseTimes& aTimes)
{
  RemoveOrphans(aState);
  auto confirmed = TakeRunsIf(aState, [aPolledAt, &aTimes](const Run& aRun) {
    return aRun.confirmed_ && aRun.answeredAt_ < aPolledAt &&
           !MayStillBegin(aRun, aPolledAt, aTimes);
  });
  for (auto& [task, run] : aState.runs_) {
    run.confirmed_ = false;
    run.stopConfirmedAt_ = {};
    run.speedPercent_ = kUnknownSpeed;
    if (run.state_ == RunState::kRunning) {
      run.state_ = RunState::kUnconfirmed;
    }
  }
  return confirmed;
}

void
RemoveEndedRun(WorkerState& aState, const RunKey& aKey, jobs::EndKind aKind)
{
  const Run* const run = FindRun(aState, aKey);
  if (run != nullptr && aKind != jobs::EndKind::kDone) {
    const clock::Moment unansweredAt = std::max(run->unansweredAt_, run->inFlightSince_);
    if (unansweredAt != kNever) {
      aState.openOrders_[aKey] = unansweredAt;
    }
  }
  RemoveRun(aState, aKey.task_, aKey.number_);
}

void
SettleOrders(WorkerState& aState, clock::Moment aPolledAt, const LeaseTimes& aTimes)
{
  const clock::Moment latest = aPolledAt - aTimes.maxCallDelay_;
  std::erase_if(aState.openOrders_,
                [latest](const auto& aOrder) { return aOrder.second < latest; });
  for (auto& [task, run] : aState.runs_) {
    if (run.confirmed_ && run.unansweredAt_ < latest && run.inFlightSince_ == kNever) {
      run.unansweredAt_ = kNever;
      run.order_.reset();
    }
  }
}

void
ExpireOrders(WorkerState& aState, clock::Moment aNow, const LeaseTimes& aTimes)
{
  std::erase_if(aState.openOrders_, [&aState, aNow, &aTimes](const auto& aOrder) {
    return aNow > LatestEndInDoubt(aState, aOrder.second, aTimes);
  });
}

clock::Milliseconds
LeaseAtFirstAnswer(std::optional<clock::Milliseconds> aAge, const LeaseTimes& aTimes)
{
  return MayHaveStaleLease(aAge, aTimes) ? aTimes.longest_ : LongestTime(aTimes.lease_);
}

clock::Milliseconds
LongestLifeOfPredecessorsRuns(const LeaseTimes& aTimes)
{
  return aTimes.maxCallDelay_ + LongestTime(aTimes.longest_);
}

} // namespace quetzal::workers
