#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/node/Membership.h"

#include <QtCore/QObject>

namespace quetzal::node {

/** What a claim has won. */
struct ClaimedCell
{
  std::int64_t fence_ = 0;
  std::int64_t keyRevision_ = 0;
  std::int64_t chainRevisionBefore_ = 0; ///< Revision of the linking key when the cell was won.
  cells::PredecessorState predecessorState_;
};

/** Takes one cell over: wins its key, then reads what the previous owner left. It reports once. */
class CellClaim : public QObject
{
  Q_OBJECT

public:
  /** @param aSelf the record of the new owner; @param aExpected the revision of the cell's key. */
  CellClaim(store::SharedStore& aStore,
            std::string aCell,
            jobs::OwnerRecord aSelf,
            std::int64_t aLease,
            std::int64_t aExpected,
            QObject* aParent);

  void Start();

Q_SIGNALS:
  void Won(const quetzal::node::ClaimedCell& aCell);
  void Failed();

private:
  void ReadChain();
  void Commit(std::int64_t aChainRevision);
  void ReadJobs();
  void ReadProgress();

  store::SharedStore& store_;
  std::string cell_;
  jobs::OwnerRecord self_;
  std::int64_t lease_;
  std::int64_t expectedRevision_;
  int attempts_ = 0;
  ClaimedCell claimed_;
};

/** At a start, hosts get this long to announce themselves before vacant cells are claimed. */
inline constexpr clock::Milliseconds kStartupClaimDelay{ 700 };

/** What a host knows of a vacant cell when it decides whether to claim it. */
struct Vacancy
{
  clock::Moment hostStartedAt_{};
  clock::Moment vacantSince_{}; ///< Since when this host has seen no owner.
  std::size_t rank_ = 0;        ///< This host's rank among those that might claim, 0 the first.
};

/** Tells whether a host should claim a vacant cell now. After a start it waits until the others
 * have announced themselves, also where some cells still have owners: when all hosts return from a
 * power loss, the first one up would otherwise own every cell. */
bool
IsClaimDue(const Vacancy& aVacancy, clock::Moment aNow);

/** Returns the rank of a host among those that should take a cell, 0 for the one that should: first
 * those that would own the fewest cells for each core they may use. */
std::size_t
ClaimRank(const std::string& aHost,
          const std::string& aCell,
          const std::map<std::string, jobs::HostRecord>& aHosts,
          const std::map<std::string, int>& aCellCounts);

/** Tells whether a host should hand one of its cells over: another host would then own, with it, at
 * most half as many cells for each core. It answers hosts that return after others took their
 * cells, and a host that took many when it was first. */
bool
ShouldHandOver(const std::string& aHost,
               const std::map<std::string, jobs::HostRecord>& aHosts,
               const std::map<std::string, int>& aCellCounts);

} // namespace quetzal::node
