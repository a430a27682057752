#pragma once

#include <chrono>

/** Types and functions for time. Decision code takes the monotonic time as a parameter. */
namespace quetzal::clock {

/** A point in time of the monotonic clock. */
using Moment = std::chrono::steady_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

} // namespace quetzal::clock
