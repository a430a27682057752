#pragma once

#include "include/quetzal/clock/Time.h"

namespace quetzal::placement {

/** What is known of a running task of a step that allows copies. */
struct RunTiming
{
  clock::Milliseconds age_{ 0 };
  clock::Milliseconds estimate_{ 0 }; ///< Of its duration, as learned from tasks of its kind.
  int siblings_ = 0;                  ///< Tasks of the step, itself included.
  int siblingsDone_ = 0;
  clock::Milliseconds meanSiblingTime_{ 0 }; ///< Mean duration of the siblings that are done.
};

/** Tells whether a copy of the task would most likely be done first: it has run for far longer than
 * its siblings took, or than was expected where few of them are done. A copy answers a slow, hung
 * or silent worker; it is placed only in room that nothing else wants. */
bool
IsStraggler(const RunTiming& aRun);

} // namespace quetzal::placement
