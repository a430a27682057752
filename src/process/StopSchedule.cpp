#include "include/quetzal/process/StopSchedule.h"

#include <algorithm>

namespace quetzal::process {
namespace {

/** Left between the exit and the kill for a process that is slow to run. */
constexpr clock::Milliseconds kExitMargin{ 800 };
/** Time for which the last answers are sent. */
constexpr clock::Milliseconds kSendTime{ 400 };
/** A request that would have less time than this is refused. */
constexpr clock::Milliseconds kMinRequestTime{ 400 };

} // namespace

StopSchedule
MakeStopSchedule(clock::Milliseconds aStopTime, clock::Milliseconds aMinServingTime)
{
  constexpr clock::Milliseconds kNone{ 0 };
  StopSchedule schedule;
  schedule.exit_ = std::max(aStopTime - kExitMargin, kNone);
  schedule.lastAnswer_ = std::max(schedule.exit_ - kSendTime, kNone);
  schedule.minServingTime_ = std::min(aMinServingTime, schedule.lastAnswer_);
  return schedule;
}

std::optional<clock::Milliseconds>
TimeoutDuringStop(const StopSchedule& aSchedule,
                  clock::Milliseconds aElapsed,
                  clock::Milliseconds aTimeout)
{
  const clock::Milliseconds remaining = aSchedule.lastAnswer_ - aElapsed;
  if (remaining < kMinRequestTime) {
    return std::nullopt;
  }
  return std::min(aTimeout, remaining);
}

bool
MayEndListening(const StopSchedule& aSchedule, clock::Milliseconds aElapsed, bool aIsIdle)
{
  return aElapsed >= aSchedule.lastAnswer_ || (aIsIdle && aElapsed >= aSchedule.minServingTime_);
}

bool
MayExit(const StopSchedule& aSchedule, clock::Milliseconds aElapsed, bool aIsIdle)
{
  return aElapsed >= aSchedule.exit_ || (aIsIdle && aElapsed >= aSchedule.minServingTime_);
}

} // namespace quetzal::process
