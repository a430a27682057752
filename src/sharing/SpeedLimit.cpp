#include "include/quetzal/sharing/SpeedLimit.h"

#include <algorithm>

namespace quetzal::sharing {
namespace {

/** Fraction of the latency target above which the limit is reduced. */
constexpr double kReduceAbove = 0.85;
/** Fraction of the latency target below which the limit is raised. */
constexpr double kRaiseBelow = 0.6;
constexpr int kRaiseStepPercent = 15;
/** Below this speed, tasks make too little progress and are paused. */
constexpr int kMinSpeedPercent = 10;

double
TargetFraction(const LatencySensitiveTask& aTask)
{
  return aTask.latencyTargetMs_ <= 0 ? 0
                                     : static_cast<double>(aTask.tailLatencyMs_) /
                                         static_cast<double>(aTask.latencyTargetMs_);
}

} // namespace

int
NextSpeedPercent(int aSpeedPercent, const std::vector<LatencySensitiveTask>& aTasks)
{
  double highest = 0;
  for (const LatencySensitiveTask& task : aTasks) {
    highest = std::max(highest, TargetFraction(task));
  }
  if (highest > kReduceAbove) {
    const int halved = aSpeedPercent / 2;
    return halved < kMinSpeedPercent ? 0 : halved;
  }
  return highest < kRaiseBelow ? std::min(kFullSpeedPercent, aSpeedPercent + kRaiseStepPercent)
                               : aSpeedPercent;
}

} // namespace quetzal::sharing
