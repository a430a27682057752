#pragma once

#include "include/quetzal/clock/Time.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

/** Sharing of a backend server's slots among the entry hosts without a central coordinator: one
 * entry host of the backend server's availability zone grants shares, each of which expires. */
namespace quetzal::shares {

/** An entry host's report on its share of a backend server. */
struct ShareReport
{
  int held_ = 0;   ///< Slots of a share that has not expired.
  int inUse_ = 0;  ///< Requests in flight.
  int wanted_ = 0; ///< Slots that the entry host could use now, including those in use.

  auto operator<=>(const ShareReport&) const = default;
};

/** The granting entry host's knowledge of one holder of a share. */
struct HolderState
{
  int outstanding_ = 0; ///< The most slots that the holder may be using.
  int wanted_ = 0;
  clock::Moment freeAt_{}; ///< From then on the slots are free, even if the holder does not report.

  auto operator<=>(const HolderState&) const = default;
};

/** The granted shares of one backend server's slots. */
struct GrantTable
{
  int slots_ = 0;
  /** The table is frozen until this time, since shares that a predecessor granted may be in use.
   * While it is frozen, reported shares are renewed, but no further slots are granted. */
  clock::Moment frozenUntil_{};
  std::map<std::string, HolderState> holders_; ///< By entry host.

  auto operator<=>(const GrantTable&) const = default;
};

/** Durations that limit the use of a share. */
struct ShareTerms
{
  clock::Milliseconds term_{ 1'000 }; ///< A share expires this long after it was requested.
  clock::Milliseconds maxRequestTime_{ 2'000 }; ///< A request started in a slot may run this long.
};

/** Returns the max-min fair shares of the slots: nobody gets more than it wants, and the slots that
 * are left are divided evenly among those who want more. */
std::vector<int>
FairShares(int aSlots, const std::vector<int>& aWanted);

/** Grants a share and records it. The shares that may be in use never exceed the slots in total.
 * @return the slots that the holder may use until its share expires. */
int
Grant(GrantTable& aTable,
      const std::string& aHolder,
      const ShareReport& aReport,
      const ShareTerms& aTerms,
      clock::Moment aNow);

} // namespace quetzal::shares
