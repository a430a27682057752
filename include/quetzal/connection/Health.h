#pragma once

#include <cstdint>

namespace quetzal::connection {

/** The health of a backend server, as its health requests show it. */
enum class HealthState : std::uint8_t
{
  kUnknown, ///< No health request has ended yet.
  kHealthy,
  kLeaving, ///< The server answers 503: it accepts no new requests.
  kFailing,
};

/** The results of the health requests to one backend server. */
struct Health
{
  HealthState state_ = HealthState::kUnknown;
  int failures_ = 0; ///< Number of consecutive failed health requests.

  bool operator==(const Health&) const = default;
};

/** Returns the name for logs, such as "healthy". */
const char*
ToString(HealthState aState);

/** Returns the health after a health request was answered with this HTTP status. */
Health
AfterAnswer(Health aHealth, unsigned aStatus);

/** Returns the health after a health request was not answered. A server is failing after two
 * failures in a row, or if its first health request fails. */
Health
AfterFailure(Health aHealth);

} // namespace quetzal::connection
