#pragma once

#include "include/quetzal/clock/Time.h"

#include <deque>

namespace quetzal::fleet {

/** Work that arrived at one time. */
struct Arrival
{
  clock::Moment at_;
  double work_ = 0; ///< Core-seconds.
};

/** The remaining work of one job with a deadline. */
struct PendingWork
{
  double work_ = 0;     ///< Remaining core-seconds.
  double maxCores_ = 0; ///< The most cores that the job can use at once.
  clock::Moment deadline_;
};

/** Forecasts the cores that arriving work needs. The forecast is the arrival rate of the last
 * window. A rising rate is extrapolated linearly, to at most twice its value, and a falling rate is
 * not extrapolated.
 * @param aWindow the time over which a rate is measured.
 * @param aAhead the time by which a rise is extrapolated. */
double
ForecastCores(const std::deque<Arrival>& aArrivals,
              clock::Moment aNow,
              clock::Milliseconds aWindow,
              clock::Milliseconds aAhead);

/** Returns the cores that a job needs from now on to meet its deadline. Once the deadline has
 * passed, the remaining work is spread over a longer time, since a late result is worth little. */
double
UrgentCores(const PendingWork& aWork, clock::Moment aNow);

} // namespace quetzal::fleet
