#pragma once

#include "include/quetzal/clock/Time.h"

#include <deque>

namespace quetzal::fleet {

/** Work that arrived at one moment. */
struct Arrival
{
  clock::Moment at_;
  double work_ = 0; ///< Core-seconds.
};

/** One job that must be done by a moment. */
struct PendingWork
{
  double work_ = 0;     ///< Core-seconds left.
  double maxCores_ = 0; ///< Cores that it can use at once at most.
  clock::Moment deadline_;
};

/** Returns the cores that arriving work will take, a while ahead: the rate of the last window, and
 * its rise where it rises. Answers the rise of a queue's turn; after the turn it falls with the
 * rate. @param aWindow over which a rate is taken; @param aAhead how far the rise is extended. */
double
ForecastCores(const std::deque<Arrival>& aArrivals,
              clock::Moment aNow,
              clock::Milliseconds aWindow,
              clock::Milliseconds aAhead);

/** Returns the cores that one job needs now in order to be done in time. A job that is late already
 * is spread over a longer time, since it earns little. */
double
UrgentCores(const PendingWork& aWork, clock::Moment aNow);

} // namespace quetzal::fleet
