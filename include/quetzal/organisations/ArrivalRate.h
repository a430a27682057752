#pragma once

#include "include/quetzal/clock/Time.h"

#include <map>
#include <string>

namespace quetzal::organisations {

/** A token bucket that fills with an organisation's rate. */
struct RateBucket
{
  double tokens_ = 0;
  clock::Moment filledAt_{};

  auto operator<=>(const RateBucket&) const = default;
};

/** How far each organisation's submissions to one cell exceed its rate. Each submission costs one
 * lookup among the organisations (42 at the target size). */
struct ArrivalRates
{
  std::map<std::string, RateBucket> buckets_; ///< By organisation; a missing one is full.

  auto operator<=>(const ArrivalRates&) const = default;
};

/** Counts a submission. @param aWeight the organisation's jobs per second; 0: no rate is set.
 * @return whether the submission exceeds the rate. One that does takes nothing from the bucket. */
bool
CountArrival(ArrivalRates& aRates,
             const std::string& aOrganisation,
             double aWeight,
             clock::Moment aNow);

} // namespace quetzal::organisations
