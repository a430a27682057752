#include "include/quetzal/admission/Latency.h"

#include <algorithm>
#include <cmath>

namespace quetzal::admission {
namespace {

constexpr double kMeanWeight = 0.25;
constexpr double kDeviationWeight = 0.25;
constexpr double kSilenceDeviations = 6;
constexpr double kLikelyDeviations = 1;
constexpr double kLikelyFactor = 1.1;
/** Covers the network round trip and the granularity of timers. */
constexpr clock::Milliseconds kLikelyMargin{ 10 };
constexpr double kDecayFactor = 0.9;
constexpr int kMinSamples = 8;
constexpr clock::Milliseconds kDefaultSilenceTimeout{ 500 };
constexpr clock::Milliseconds kMinSilenceTimeout{ 100 };

} // namespace

Latency
Observe(const Latency& aLatency, std::chrono::duration<double, std::milli> aSample)
{
  if (aLatency.samples_ == 0) {
    return { aSample, aSample / 2, 1 };
  }
  Latency next = aLatency;
  const auto error = aSample - aLatency.mean_;
  next.mean_ += kMeanWeight * error;
  const decltype(next.deviation_) distance{ std::abs(error.count()) };
  next.deviation_ += kDeviationWeight * (distance - aLatency.deviation_);
  next.samples_ = std::min(aLatency.samples_ + 1, kMinSamples);
  return next;
}

clock::Milliseconds
LikelyTime(const Latency& aLatency)
{
  if (aLatency.samples_ == 0) {
    return clock::Milliseconds(0);
  }
  const auto time = aLatency.mean_ * kLikelyFactor + kLikelyDeviations * aLatency.deviation_;
  return std::chrono::ceil<clock::Milliseconds>(time + kLikelyMargin);
}

Latency
Decay(const Latency& aLatency)
{
  Latency next = aLatency;
  next.mean_ *= kDecayFactor;
  next.deviation_ *= kDecayFactor;
  return next;
}

clock::Milliseconds
SilenceTimeout(const Latency& aLatency)
{
  if (aLatency.samples_ < kMinSamples) {
    return kDefaultSilenceTimeout;
  }
  const auto timeout = aLatency.mean_ + kSilenceDeviations * aLatency.deviation_;
  return std::max(std::chrono::duration_cast<clock::Milliseconds>(timeout), kMinSilenceTimeout);
}

} // namespace quetzal::admission
