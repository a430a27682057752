#pragma once

#include "include/quetzal/clock/Time.h"

#include <compare>
#include <cstddef>

namespace quetzal::routing {

/** Failure statistics of one backend server, over its last answers. */
struct FailureStats
{
  double failureRate_ = 0; ///< Exponentially weighted moving average, from 0 to 1.
  int samples_ = 0;
  int consecutiveFailures_ = 0;
  int consecutiveEjections_ = 0; ///< Ejections without a successful answer in between.
  clock::Moment ejectedUntil_{};

  auto operator<=>(const FailureStats&) const = default;
};

/** Returns the statistics after one more answer or failure. */
FailureStats
Observe(const FailureStats& aStats, bool aSucceeded);

/** Returns whether a backend server should be ejected now.
 * @param aEjected how many of the service's backend servers are ejected already.
 * @param aTotal how many the service has. */
bool
ShouldEject(const FailureStats& aStats,
            std::size_t aEjected,
            std::size_t aTotal,
            clock::Moment aNow);

/** Returns the statistics of a backend server that is ejected now. */
FailureStats
Eject(const FailureStats& aStats, clock::Moment aNow);

bool
IsEjected(const FailureStats& aStats, clock::Moment aNow);

/** Returns the weight for ChooseBackendServer, from 0 to 1: low after failures and just after an
 * ejection has ended. */
double
WeightOf(const FailureStats& aStats, clock::Moment aNow);

} // namespace quetzal::routing
