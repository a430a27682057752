#pragma once

#include "include/quetzal/clock/Time.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

/** Leased shares: how the entry hosts share the slots of a backend server without a coordinator.
 * One entry host of the backend server's availability zone grants time-limited shares. */
namespace quetzal::shares {

/** What one entry host says of its share of a backend server. */
struct ShareReport
{
  int held_ = 0;   ///< Slots of a share that has not ended.
  int inUse_ = 0;  ///< Requests in flight.
  int wanted_ = 0; ///< Slots it could use now, those in use included.

  auto operator<=>(const ShareReport&) const = default;
};

/** What the granting entry host knows of one holder. */
struct HolderState
{
  int outstanding_ = 0; ///< The most slots that the holder may be using.
  int wanted_ = 0;
  clock::Moment freeAt_{}; ///< From then on the slots are free whatever became of the holder.

  auto operator<=>(const HolderState&) const = default;
};

/** The shares of one backend server's slots. */
struct GrantTable
{
  int slots_ = 0;
  /** Until then shares that a predecessor granted may be in use: reported ones are renewed, but
   * nothing beyond them is granted. */
  clock::Moment frozenUntil_{};
  std::map<std::string, HolderState> holders_; ///< By entry host.

  auto operator<=>(const GrantTable&) const = default;
};

/** Time spans of a share. */
struct ShareTerms
{
  clock::Milliseconds term_{ 1'000 };           ///< A share ends this long after it was asked for.
  clock::Milliseconds maxRequestTime_{ 2'000 }; ///< A request begun on it may run on for this long.
};

/** Returns the fair shares of some slots: nobody gets more than it wants, and what is left is
 * shared evenly among those who want more. */
std::vector<int>
FairShares(int aSlots, const std::vector<int>& aWanted);

/** Grants a share and enters it. The sum of what may be in use never exceeds the slots.
 * @return the slots that the holder may use until its share ends. */
int
Grant(GrantTable& aTable,
      const std::string& aHolder,
      const ShareReport& aReport,
      const ShareTerms& aTerms,
      clock::Moment aNow);

} // namespace quetzal::shares
