#pragma once

#include "include/quetzal/clock/Time.h"

#include <cstdint>

namespace quetzal::clock {

/** Returns the current time of the monotonic clock. Decision code does not call this: it takes the
 * time as a parameter. */
inline Moment
Now()
{
  return std::chrono::steady_clock::now();
}

/** Returns the wall-clock time in Unix milliseconds. It may differ between hosts, and may jump. */
inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace quetzal::clock
