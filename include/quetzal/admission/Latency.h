#pragma once

#include "include/quetzal/clock/Time.h"

#include <compare>

namespace quetzal::admission {

/** An estimate of the time that a service's backend servers take to answer, computed from their
 * earlier answers. */
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

/** Returns the time within which most requests are answered. */
clock::Milliseconds
LikelyTime(const Latency& aLatency);

/** Returns a lower estimate, after a request was refused because of the estimate alone. Without
 * this, an estimate above every caller's deadline would refuse all requests, and no answer could
 * correct it. */
Latency
Decay(const Latency& aLatency);

/** Returns the time without an answer after which an idempotent request is tried on another backend
 * server. */
clock::Milliseconds
SilenceTimeout(const Latency& aLatency);

} // namespace quetzal::admission
