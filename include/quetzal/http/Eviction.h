#pragma once

#include "include/quetzal/clock/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/** Decides which connection gives way when a process reaches its limits. Designed for some thousand
 * connections: each decision looks at all of them once. */
namespace quetzal::http {

enum class OccupantState : std::uint8_t
{
  kIdle,       ///< Between requests, or closing after its last answer.
  kUnfinished, ///< Part of a request has arrived.
  kBusy,       ///< A whole request waits for its answer; it may already run.
};

/** What one connection holds. */
struct Occupant
{
  OccupantState state_ = OccupantState::kIdle;
  std::size_t heldBytes_ = 0;
  clock::Moment since_{}; ///< When the connection got into its state.

  bool operator==(const Occupant&) const = default;
};

/** Returns the index of the unfinished request that holds most, the oldest of equal ones. Requests
 * that may already run are never chosen. */
std::optional<std::size_t>
RequestToEvict(const std::vector<Occupant>& aOccupants);

/** Returns the index of the connection that has been idle or unfinished longest. */
std::optional<std::size_t>
ConnectionToEvict(const std::vector<Occupant>& aOccupants);

} // namespace quetzal::http
