#pragma once

#include "include/quetzal/clock/Time.h"

#include <compare>
#include <cstddef>

namespace quetzal::routing {

/** What one backend server's last answers say about it. */
struct FailureStats
{
  double failureRate_ = 0; ///< Exponentially weighted, from 0 to 1.
  int samples_ = 0;
  int consecutiveFailures_ = 0;
  int consecutiveEjections_ = 0; ///< Ejections in a row, without a good answer after the return.
  clock::Moment ejectedUntil_{};

  auto operator<=>(const FailureStats&) const = default;
};

/** Returns the standing after one more answer or failure. */
FailureStats
Observe(const FailureStats& aStats, bool aSucceeded);

/** Tells whether a backend server should be ejected now.
 * @param aEjected how many of the service's backend servers are ejected already.
 * @param aTotal how many the service has. */
bool
ShouldEject(const FailureStats& aStats,
            std::size_t aEjected,
            std::size_t aTotal,
            clock::Moment aNow);

/** Returns the standing of a backend server that is ejected at this moment. */
FailureStats
Eject(const FailureStats& aStats, clock::Moment aNow);

bool
IsEjected(const FailureStats& aStats, clock::Moment aNow);

/** Returns the weight for the choice, from 0 to 1: low after failures and just after a return. */
double
WeightOf(const FailureStats& aStats, clock::Moment aNow);

} // namespace quetzal::routing
