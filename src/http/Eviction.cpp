#include "include/quetzal/http/Eviction.h"

#include <algorithm>

namespace quetzal::http {
namespace {

/** Returns the index of the best eligible occupant; of equal ones, the first. */
template<typename Eligible, typename IsBetter>
std::optional<std::size_t>
BestOf(const std::vector<Occupant>& aOccupants, Eligible aIsEligible, IsBetter aIsBetter)
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < aOccupants.size(); ++i) {
    if (aIsEligible(aOccupants[i]) && (!best || aIsBetter(aOccupants[i], aOccupants[*best]))) {
      best = i;
    }
  }
  return best;
}

} // namespace

std::optional<std::size_t>
RequestToEvict(const std::vector<Occupant>& aOccupants)
{
  return BestOf(
    aOccupants,
    [](const Occupant& aOccupant) {
      return aOccupant.state_ == OccupantState::kUnfinished && aOccupant.heldBytes_ > 0;
    },
    [](const Occupant& aLeft, const Occupant& aRight) {
      return aLeft.heldBytes_ != aRight.heldBytes_ ? aLeft.heldBytes_ > aRight.heldBytes_
                                                   : aLeft.since_ < aRight.since_;
    });
}

std::optional<std::size_t>
ConnectionToEvict(const std::vector<Occupant>& aOccupants)
{
  return BestOf(
    aOccupants,
    [](const Occupant& aOccupant) { return aOccupant.state_ != OccupantState::kBusy; },
    [](const Occupant& aLeft, const Occupant& aRight) { return aLeft.since_ < aRight.since_; });
}

} // namespace quetzal::http
