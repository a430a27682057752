#include "include/quetzal/organisations/ArrivalRate.h"

#include <algorithm>

namespace quetzal::organisations {
namespace {

constexpr double kBurstSeconds = 2;
/** A bucket holds a whole job even if the rate is less than one job in kBurstSeconds. */
constexpr double kMinBurst = 1;

} // namespace

bool
CountArrival(ArrivalRates& aRates,
             const std::string& aOrganisation,
             double aWeight,
             clock::Moment aNow)
{
  if (aWeight <= 0) {
    return false;
  }
  const double burst = std::max(aWeight * kBurstSeconds, kMinBurst);
  const auto [entry, added] = aRates.buckets_.try_emplace(aOrganisation, RateBucket{ burst, aNow });
  RateBucket& bucket = entry->second;
  const std::chrono::duration<double> elapsed = aNow - bucket.filledAt_;
  bucket.tokens_ = std::min(bucket.tokens_ + std::max(elapsed.count(), 0.0) * aWeight, burst);
  bucket.filledAt_ = std::max(bucket.filledAt_, aNow);
  if (bucket.tokens_ < 1) {
    return true;
  }
  bucket.tokens_ -= 1;
  return false;
}

} // namespace quetzal::organisations
