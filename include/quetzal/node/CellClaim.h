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

} // namespace quetzal::node
