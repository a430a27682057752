#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/node/Membership.h"

#include <QtCore/QObject>

namespace quetzal::node {

/** The result of a successful claim. */
struct ClaimedCell
{
  std::int64_t fence_ = 0;
  std::int64_t keyRevision_ = 0;
  std::string previousOwner_; ///< Host that owned the cell before; empty: none.
  std::int64_t chainRevisionBefore_ =
    0; ///< Revision of the write chain's key when the cell was claimed.
  cells::PredecessorState predecessorState_;
};

/** Takes over one cell: claims its key, then reads the previous owner's state. Emits either Won()
 * or Failed(), once. */
class CellClaim : public QObject
{
  Q_OBJECT

public:
  /** @param aSelf the record of the new owner; @param aExpected the expected revision of the cell's
   * key. */
  CellClaim(store::SharedStore& aStore,
            std::string aCell,
            jobs::OwnerRecord aSelf,
            std::int64_t aLease,
            std::int64_t aExpected,
            QObject* aParent);

  void Start();

  /** Returns whether the store may have carried the claim out. */
  bool IsSent() const { return sent_; }

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
  bool sent_ = false;
  ClaimedCell claimed_;
};

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

/** Returns a host's rank among the possible owners of a cell; 0 is the preferred owner. Hosts that
 * would own the fewest cells per usable core rank first. */
std::size_t
ClaimRank(const std::string& aHost,
          const std::string& aCell,
          const std::map<std::string, jobs::HostRecord>& aHosts,
          const std::map<std::string, int>& aCellCounts);

/** Returns whether a host should hand over one of its cells. A hand-over is due if another host,
 * after taking the cell, would own at most half as many cells per usable core. Hand-overs rebalance
 * cells when hosts return after others took over their cells, and when the first host to start took
 * many. */
bool
ShouldHandOver(const std::string& aHost,
               const std::map<std::string, jobs::HostRecord>& aHosts,
               const std::map<std::string, int>& aCellCounts);

} // namespace quetzal::node
