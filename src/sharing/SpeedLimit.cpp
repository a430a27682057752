#include "include/quetzal/sharing/SpeedLimit.h"

#include <algorithm>

namespace quetzal::sharing {
namespace {

/** Share of the target above which filling tasks give way. */
constexpr double kTight = 0.85;
/** Share of the target below which they may work faster. */
constexpr double kRelaxed = 0.6;
constexpr int kStepUp = 15; ///< Per cent of full speed.
/** A pace below this is as good as none, and its tasks rest. */
constexpr int kLeastPace = 10;

double
LoadOf(const LatencySensitiveTask& aTask)
{
  return aTask.latencyTargetMs_ <= 0 ? 0
                                     : static_cast<double>(aTask.tailLatencyMs_) /
                                         static_cast<double>(aTask.latencyTargetMs_);
}

} // namespace

int
NextSpeedPercent(int aPace, const std::vector<LatencySensitiveTask>& aServing)
{
  double highest = 0;
  for (const LatencySensitiveTask& task : aServing) {
    highest = std::max(highest, LoadOf(task));
  }
  if (highest > kTight) {
    const int halved = aPace / 2;
    return halved < kLeastPace ? 0 : halved;
  }
  return highest < kRelaxed ? std::min(kFullSpeedPercent, aPace + kStepUp) : aPace;
}

} // namespace quetzal::sharing
