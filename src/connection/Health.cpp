#include "include/quetzal/connection/Health.h"

#include "include/quetzal/http/Status.h"

#include <array>
#include <cstddef>

namespace quetzal::connection {
namespace {

constexpr int kFailureThreshold = 2;

} // namespace

const char*
ToString(HealthState aState)
{
  static constexpr std::array kNames{ "unproven", "healthy", "leaving", "failing" };
  return kNames.at(static_cast<std::size_t>(aState));
}

Health
AfterAnswer(Health aHealth, unsigned aStatus)
{
  if (aStatus >= http::status::kOk && aStatus < http::status::kFirstRedirect) {
    return { HealthState::kHealthy, 0 };
  }
  if (aStatus == http::status::kServiceUnavailable) {
    return { HealthState::kLeaving, aHealth.failures_ };
  }
  return AfterFailure(aHealth);
}

Health
AfterFailure(Health aHealth)
{
  ++aHealth.failures_;
  if (aHealth.state_ == HealthState::kUnknown || aHealth.failures_ >= kFailureThreshold) {
    aHealth.state_ = HealthState::kFailing;
  }
  return aHealth;
}

} // namespace quetzal::connection
