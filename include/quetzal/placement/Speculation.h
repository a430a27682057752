#pragma once

#include "include/quetzal/clock/Time.h"

namespace quetzal::placement {

/** Durations that decide whether a running task gets a speculative copy. */
struct RunTiming
{
  clock::Milliseconds age_{ 0 };
  /** Estimate of the task's duration, corrected by measured durations. */
  clock::Milliseconds estimate_{ 0 };
  int siblings_ = 0; ///< Tasks of the step, including this one.
  int siblingsDone_ = 0;
  clock::Milliseconds meanSiblingTime_{ 0 }; ///< Over the siblings that are done.
};

/** Returns whether a task has run for so long that a copy would probably finish first. This is so
 * if the task has run for much longer than its siblings took, or, while few siblings are done, for
 * much longer than its estimate. A copy helps against a slow, hung or unresponsive worker; it uses
 * only capacity that no waiting task needs. */
bool
IsStraggler(const RunTiming& aRun);

} // namespace quetzal::placement
