#pragma once

#include "include/quetzal/clock/Time.h"

#include <compare>

namespace quetzal::admission {

/** The time that a service's backend servers take, learned from their answers. */
struct Latency
{
  std::chrono::duration<double, std::milli> mean_{ 0 };
  std::chrono::duration<double, std::milli> deviation_{ 0 };
  int samples_ = 0;

  auto operator<=>(const Latency&) const = default;
};

/** Returns the estimate after one more answer. */
Latency
Observe(const Latency& aLatency, std::chrono::duration<double, std::milli> aSample);

/** Returns the time that most requests stay within. */
clock::Milliseconds
LikelyTime(const Latency& aLatency);

/** Returns the estimate after a request was refused for it alone. Without this, an estimate above
 * every caller's deadline would refuse all the requests that could correct it. */
Latency
Decay(const Latency& aLatency);

/** Returns the silence after which an idempotent request is tried elsewhere. */
clock::Milliseconds
SilenceTimeout(const Latency& aLatency);

} // namespace quetzal::admission
