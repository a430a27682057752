#include "include/quetzal/sharing/Pace.h"

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
LoadOf(const ServingTask& aTask)
{
  return aTask.targetMs_ <= 0
           ? 0
           : static_cast<double>(aTask.tailMs_) / static_cast<double>(aTask.targetMs_);
}

} // namespace

int
NextPace(int aPace, const std::vector<ServingTask>& aServing)
{
  double highest = 0;
  for (const ServingTask& task : aServing) {
    highest = std::max(highest, LoadOf(task));
  }
  if (highest > kTight) {
    const int halved = aPace / 2;
    return halved < kLeastPace ? 0 : halved;
  }
  return highest < kRelaxed ? std::min(kFullPace, aPace + kStepUp) : aPace;
}

} // namespace quetzal::sharing
