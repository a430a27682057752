#pragma once

#include "include/quetzal/clock/Time.h"

namespace quetzal::workers {

/** How long leases and start orders are valid, and calls may be delayed. */
struct LeaseTimes
{
  clock::Milliseconds lease_{ 5'000 };       ///< Granted to all runs on a worker at each poll.
  clock::Milliseconds startWindow_{ 1'000 }; ///< A start order that arrives later is ignored.
  clock::Milliseconds longest_{ 10'000 };    ///< Workers shorten every longer lease to this.
  /** A call that gets no answer may still be carried out for this time after it was given up, by
   * the incarnation of the worker that it was meant for or by a later one. */
  clock::Milliseconds maxCallDelay_{ 13'000 };

  bool operator==(const LeaseTimes&) const = default;
};

/** Returns the longest time for which a lease of the given length may last, on a clock that is slow
 * by kMaxClockDrift. */
clock::Milliseconds
LongestTime(clock::Milliseconds aLease);

} // namespace quetzal::workers
