#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/jobs/Records.h"
#include "include/quetzal/store/PrefixWatch.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <map>
#include <optional>

namespace quetzal::node {

/** The cell that owns moves and maintenance of hosts. */
inline const std::string kFleetCell = "@fleet";

/** Returns the store's key by which a cell is owned. */
std::string
CellKey(const std::string& aCell);

/** This process' place among the entry hosts: a lease in the store, a record under it, and what the
 * others have recorded. */
class Membership : public QObject
{
  Q_OBJECT

public:
  Membership(store::SharedStore& aStore,
             std::string aName,
             jobs::HostRecord aSelf,
             QObject* aParent);

  void Start();

  /** Tells the others that this host takes no more cells. */
  void AnnounceStop();

  /** Gives the lease back; everything recorded under it is gone. */
  void Leave();

  const std::string& Name() const { return name_; }
  const jobs::HostRecord& Self() const { return self_; }
  const std::string& Incarnation() const { return incarnation_; }

  /** Returns the lease; 0 while there is none. */
  std::int64_t Lease() const { return lease_; }

  /** Tells whether the store surely has not ended the lease yet, reckoned with a clock that counts
   * the time that this host is suspended. */
  bool HoldsLease() const;

  /** Returns how long ago the store may have ended the lease at the earliest; 0 while it is surely
   * held. */
  clock::Milliseconds LeaseLapse() const;

  /** Tells whether the store has answered a renewal lately. */
  bool IsStoreReachable() const;

  bool IsLoaded() const { return watch_.IsLoaded(); }

  /** Returns the hosts that may own cells, by name. */
  std::map<std::string, jobs::HostRecord> Hosts() const;

  /** Returns who owns a cell; nothing where nobody does. */
  std::optional<jobs::OwnerRecord> OwnerOf(const std::string& aCell) const;

  /** Returns the revision of a cell's key; 0 where it does not exist. */
  std::int64_t CellRevision(const std::string& aCell) const;

  /** Returns how many cells each host owns. */
  std::map<std::string, int> CellCounts() const;

Q_SIGNALS:
  /** Hosts or owners have changed. */
  void Changed();
  /** The store has ended the lease. */
  void LeaseLost();

private:
  void RequestLease();
  void RenewLease();
  void WriteHostRecord();
  void ReadItems();

  store::SharedStore& store_;
  std::string name_;
  jobs::HostRecord self_;
  std::string incarnation_;
  store::PrefixWatch watch_;
  std::map<std::string, jobs::HostRecord> hosts_;
  std::map<std::string, std::pair<jobs::OwnerRecord, std::int64_t>> owners_;
  std::int64_t lease_ = 0;
  std::int64_t leaseEndMs_ = 0; ///< On the clock that counts suspension.
  clock::Moment lastLeaseAnswerAt_{};
  bool left_ = false;
  bool renewing_ = false;
  QTimer renewTimer_;
};

} // namespace quetzal::node
