#include "include/quetzal/fleet/Forecast.h"

#include <algorithm>

namespace quetzal::fleet {
namespace {

/** The remaining time is taken to be at least this, since more hosts cannot speed up work whose
 * deadline is nearer. */
constexpr double kMinRemainingSeconds = 0.6;
/** The work of a job past its deadline is spread over this time. */
constexpr double kOverdueSpreadSeconds = 4;

double
Seconds(clock::Moment::duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

double
ForecastCores(const std::deque<Arrival>& aArrivals,
              clock::Moment aNow,
              clock::Milliseconds aWindow,
              clock::Milliseconds aAhead)
{
  double recent = 0;
  double earlier = 0;
  for (const Arrival& arrival : aArrivals) {
    const auto age = aNow - arrival.at_;
    if (age < aWindow) {
      recent += arrival.work_;
    } else if (age < 2 * aWindow) {
      earlier += arrival.work_;
    }
  }
  const double window = Seconds(aWindow);
  const double rate = recent / window;
  const double rise = std::max(recent - earlier, 0.0) / window / window;
  return rate + std::min(rise * Seconds(aAhead), rate);
}

double
UrgentCores(const PendingWork& aWork, clock::Moment aNow)
{
  const double remaining = Seconds(aWork.deadline_ - aNow);
  const double cores = remaining <= 0 ? aWork.work_ / kOverdueSpreadSeconds
                                      : aWork.work_ / std::max(remaining, kMinRemainingSeconds);
  return std::min(cores, aWork.maxCores_);
}

} // namespace quetzal::fleet
