#include "include/quetzal/routing/Ejection.h"

#include <algorithm>

namespace quetzal::routing {
namespace {

using clock::Milliseconds;

constexpr double kSampleWeight = 0.1;
constexpr double kEjectionFailureRate = 0.5;
constexpr int kMinSamples = 10;
constexpr int kMaxConsecutiveFailures = 5;
constexpr Milliseconds kBaseEjectionTime{ 1'000 };
constexpr int kMaxDoublings = 5;
constexpr Milliseconds kRampUpTime{ 5'000 };
constexpr double kMinRampUpWeight = 0.1;
/** At most one third of a service's backend servers is ejected at the same time. */
constexpr std::size_t kEjectedDivisor = 3;

} // namespace

FailureStats
Observe(const FailureStats& aStats, bool aSucceeded)
{
  FailureStats next = aStats;
  const double sample = aSucceeded ? 0 : 1;
  next.failureRate_ += kSampleWeight * (sample - aStats.failureRate_);
  next.samples_ = std::min(aStats.samples_ + 1, kMinSamples);
  next.consecutiveFailures_ = aSucceeded ? 0 : aStats.consecutiveFailures_ + 1;
  if (aSucceeded) {
    next.consecutiveEjections_ = 0;
  }
  return next;
}

bool
ShouldEject(const FailureStats& aStats,
            std::size_t aEjected,
            std::size_t aTotal,
            clock::Moment aNow)
{
  if (IsEjected(aStats, aNow) || (aEjected + 1) * kEjectedDivisor > aTotal) {
    return false;
  }
  const bool oftenFails =
    aStats.samples_ >= kMinSamples && aStats.failureRate_ > kEjectionFailureRate;
  return oftenFails || aStats.consecutiveFailures_ >= kMaxConsecutiveFailures;
}

FailureStats
Eject(const FailureStats& aStats, clock::Moment aNow)
{
  FailureStats next = aStats;
  const int doublings = std::min(aStats.consecutiveEjections_, kMaxDoublings);
  next.ejectedUntil_ = aNow + kBaseEjectionTime * (1 << doublings);
  next.consecutiveEjections_ = aStats.consecutiveEjections_ + 1;
  // A single failure after the ejection has ended is enough for the next ejection.
  next.consecutiveFailures_ = kMaxConsecutiveFailures - 1;
  next.samples_ = 0;
  return next;
}

bool
IsEjected(const FailureStats& aStats, clock::Moment aNow)
{
  return aNow < aStats.ejectedUntil_;
}

double
WeightOf(const FailureStats& aStats, clock::Moment aNow)
{
  const double reliability = 1 - aStats.failureRate_;
  double ramp = 1;
  if (aStats.ejectedUntil_ != clock::Moment{}) {
    const auto since = std::chrono::duration<double>(aNow - aStats.ejectedUntil_);
    const double elapsedFraction = since / std::chrono::duration<double>(kRampUpTime);
    ramp = std::clamp(elapsedFraction, kMinRampUpWeight, 1.0);
  }
  return reliability * reliability * ramp;
}

} // namespace quetzal::routing
