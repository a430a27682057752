#include "include/quetzal/placement/Speculation.h"

namespace quetzal::placement {
namespace {

/** How many times as long as its siblings a task runs before it is copied. */
constexpr double kOverSiblings = 1.8;
/** The same over an estimate, which is rough. */
constexpr double kOverEstimate = 3;
/** Below this age a task is never copied. */
constexpr clock::Milliseconds kLeastAge{ 300 };

} // namespace

bool
IsStraggler(const RunTiming& aRun)
{
  if (aRun.age_ < kLeastAge) {
    return false;
  }
  if (aRun.siblingsDone_ > 0 && 2 * aRun.siblingsDone_ >= aRun.siblings_) {
    return aRun.age_ > kOverSiblings * aRun.meanSiblingTime_;
  }
  return aRun.age_ > kOverEstimate * aRun.estimate_;
}

} // namespace quetzal::placement
