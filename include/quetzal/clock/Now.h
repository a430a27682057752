#pragma once

#include "include/quetzal/clock/Time.h"

#include <cstdint>

namespace quetzal::clock {

/** Returns this moment. For tasks only: decisions are given the time. */
inline Moment
Now()
{
  return std::chrono::steady_clock::now();
}

/** Returns the time of day as Unix milliseconds. It may differ between hosts, and may jump. */
inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace quetzal::clock
