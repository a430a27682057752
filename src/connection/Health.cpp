#include "include/quetzal/connection/Health.h"

#include <array>
#include <cstddef>

namespace quetzal::connection {
namespace {

constexpr int kFailuresToFail = 2;
constexpr unsigned kOk = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kLeavingStatus = 503;

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
  if (aStatus >= kOk && aStatus < kFirstRedirect) {
    return { HealthState::kHealthy, 0 };
  }
  if (aStatus == kLeavingStatus) {
    return { HealthState::kLeaving, aHealth.failures_ };
  }
  return AfterFailure(aHealth);
}

Health
AfterFailure(Health aHealth)
{
  ++aHealth.failures_;
  if (aHealth.state_ == HealthState::kUnproven || aHealth.failures_ >= kFailuresToFail) {
    aHealth.state_ = HealthState::kFailing;
  }
  return aHealth;
}

} // namespace quetzal::connection
