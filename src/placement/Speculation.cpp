#include "include/quetzal/placement/Speculation.h"

namespace quetzal::placement {
namespace {

/** A task is copied once it has run for this multiple of its siblings' mean duration. */
constexpr double kSiblingTimeFactor = 1.8;
/** The same for a multiple of its estimate; larger, since estimates are rough. */
constexpr double kEstimateFactor = 3;
/** A task is never copied before this age. */
constexpr clock::Milliseconds kMinAge{ 300 };

} // namespace

bool
IsStraggler(const RunTiming& aRun)
{
  if (aRun.age_ < kMinAge) {
    return false;
  }
  if (aRun.siblingsDone_ > 0 && 2 * aRun.siblingsDone_ >= aRun.siblings_) {
    return aRun.age_ > kSiblingTimeFactor * aRun.meanSiblingTime_;
  }
  return aRun.age_ > kEstimateFactor * aRun.estimate_;
}

} // namespace quetzal::placement
