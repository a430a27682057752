#pragma once

#include "include/quetzal/clock/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/** Which entry host owns a cell, and when a host hands one over. */
namespace quetzal::node {

/** Delay after a host's start before it claims vacant cells; the other hosts announce themselves in
 * this time. */
inline constexpr clock::Milliseconds kStartupClaimDelay{ 700 };

/** What a host knows about a vacant cell when it decides whether to claim the cell. */
struct Vacancy
{
  clock::Moment hostStartedAt_{};
  clock::Moment vacantSince_{}; ///< When this host first saw no owner.
  std::size_t rank_ = 0;        ///< This host's rank among the possible owners; 0 claims first.
};

/** Returns whether a host should claim a vacant cell now. A host that has just started waits until
 * the others have announced themselves, even if some cells still have owners: when all hosts
 * restart after a power loss, the first one up would otherwise own every cell. */
bool
IsClaimDue(const Vacancy& aVacancy, clock::Moment aNow);

/** The load that a cell puts on its owner, counted in workers to poll. */
struct CellLoad
{
  std::string cell_;
  double load_ = 0;
};

/** Returns a cell's load. @param aWidth its workers and the jobs that have not ended. */
CellLoad
LoadOfCell(const std::string& aCell, std::size_t aWidth);

/** A host that may own cells. */
struct OwnerCandidate
{
  double cores_ = 1; ///< Cores that its process may use.
  double load_ = 0;  ///< Load of the cells that it owns.
  clock::Moment upSince_{};
};

using OwnerCandidates = std::map<std::string, OwnerCandidate>; ///< By host.

/** Returns a host's rank among the possible owners of a vacant cell; 0 is the preferred owner.
 * Hosts that would have the least load per core rank first, so that a cell with many workers goes
 * to a host with the processor for it. */
std::size_t
ClaimRank(const std::string& aHost, const CellLoad& aCell, const OwnerCandidates& aCandidates);

/** A cell that a host owns. */
struct OwnedCellLoad
{
  CellLoad cell_;
  clock::Moment ownedSince_{};
};

/** What a host knows when it decides whether to hand over a cell. */
struct BalanceState
{
  std::string host_;
  std::vector<OwnedCellLoad> cells_; ///< Cells that it can hand over.
  OwnerCandidates candidates_;       ///< With the host itself, and the load of all its cells.
  clock::Moment lastStopAt_{};       ///< When a host last announced its stop.
  bool isAnyCellVacant_ = false;     ///< Whether a cell is changing its owner now.
};

/** Returns whether a host has too much to do to wait until hosts have settled. While hosts stop in
 * turn, it may well own many cells for a short time. */
bool
IsOverloaded(const BalanceState& aState, clock::Moment aNow);

/** Returns the cell that a host should hand over, if any. A hand-over is due if another host would
 * have at most half of this host's load per core after it took the cell: cells are rebalanced when
 * hosts return after others took over their cells, and when the first host to start took many.
 * While hosts stop in turn, or when the cell or the other host has only just come, a hand-over is
 * due only if this host is overloaded, since the next stop may move the cell again. */
std::optional<std::string>
CellToHandOver(const BalanceState& aState, clock::Moment aNow);

/** Returns for how long a hand-over must be due before a host begins it. The busiest host is first:
 * if all began at once, they would choose the same host to take their cells. */
clock::Milliseconds
BalanceDelay(const BalanceState& aState);

} // namespace quetzal::node
