#pragma once

#include <cstdint>

namespace quetzal::connection {

/** What a backend server says of itself. */
enum class HealthState : std::uint8_t
{
  kUnknown, ///< Not asked yet.
  kHealthy,
  kLeaving,
  kFailing,
};

/** What health requests have shown of one backend server. */
struct Health
{
  HealthState state_ = HealthState::kUnknown;
  int failures_ = 0; ///< Consecutive.

  bool operator==(const Health&) const = default;
};

/** Returns the name that logs carry, such as "healthy". */
const char*
ToString(HealthState aState);

/** Returns the health after a health request was answered with an HTTP status. */
Health
AfterAnswer(Health aHealth, unsigned aStatus);

/** Returns the health after a health request was not answered. One failure is forgiven, but not the
 * first request's. */
Health
AfterFailure(Health aHealth);

} // namespace quetzal::connection
