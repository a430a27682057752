#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/jobs/Records.h"
#include "include/quetzal/node/HostHistory.h"
#include "include/quetzal/node/OwnerChoice.h"
#include "include/quetzal/store/PrefixWatch.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <map>
#include <optional>

namespace quetzal::node {

/** The cell that owns moves and maintenance of hosts. */
inline const std::string kFleetCell = "@fleet";

/** Returns the store's key that records a cell's owner. */
std::string
CellKey(const std::string& aCell);

/** This process's membership among the entry hosts: its lease and host record in the store, and the
 * records of the other hosts. */
class Membership : public QObject
{
  Q_OBJECT

public:
  Membership(store::SharedStore& aStore,
             std::string aName,
             jobs::HostRecord aSelf,
             QObject* aParent);

  void Start();

  /** Announces to the other hosts that this one claims no more cells. @param aWidths the widths of
   * its cells, by which their next owners are chosen. */
  void AnnounceStop(const std::map<std::string, std::size_t>& aWidths);

  /** Tells the other hosts how wide this host's cells are, if that has changed much. */
  void PublishWidths(const std::map<std::string, std::size_t>& aWidths);

  /** Ends the lease, which removes every record stored under it. */
  void Leave();

  const std::string& Name() const { return name_; }
  const jobs::HostRecord& Self() const { return self_; }
  const std::string& Incarnation() const { return incarnation_; }

  /** Returns the lease; 0 while there is none. */
  std::int64_t Lease() const { return lease_; }

  /** Returns whether the store cannot have ended the lease yet. The clock used includes time during
   * which this host was suspended. */
  bool HoldsLease() const;

  /** Returns the longest time for which the store may already have ended the lease; 0 while the
   * lease is certainly held. */
  clock::Milliseconds LeaseLapse() const;

  /** Returns whether the store has recently granted or renewed the lease. */
  bool IsStoreReachable() const;

  bool IsLoaded() const { return watch_.IsLoaded(); }

  /** Returns the hosts that may claim cells, by name: those that are not stopping. */
  std::map<std::string, jobs::HostRecord> Hosts() const;

  /** Returns a cell's owner, if any. */
  std::optional<jobs::OwnerRecord> OwnerOf(const std::string& aCell) const;

  /** Returns the revision of a cell's key; 0 if the key does not exist. */
  std::int64_t CellRevision(const std::string& aCell) const;

  /** Returns the cells that this incarnation of the process owns. */
  std::vector<std::string> OwnCells() const;

  /** Returns a cell's load, as far as its owners have published it. */
  CellLoad LoadOf(const std::string& aCell) const;

  /** Returns the hosts that may claim cells, with the load of the cells that they own. */
  OwnerCandidates Candidates() const;

  /** Returns when a host was last seen to begin its stop. */
  clock::Moment LastStopAt() const { return history_.LastStopAt(); }

Q_SIGNALS:
  /** The set of hosts, an owner or this host's lease has changed. */
  void Changed();
  /** The store has ended the lease. */
  void LeaseLost();

private:
  void RequestLease();
  void RenewLease();
  void WriteHostRecord();
  void ReadItems();
  /** Announces the stop again if the store has carried out an earlier write of the record late. */
  void RepeatAnnouncement();

  store::SharedStore& store_;
  std::string name_;
  jobs::HostRecord self_;
  std::string incarnation_;
  store::PrefixWatch watch_;
  std::map<std::string, jobs::HostRecord> hosts_;
  HostHistory history_;
  std::map<std::string, std::pair<jobs::OwnerRecord, std::int64_t>> owners_;
  std::int64_t lease_ = 0;
  std::int64_t leaseEndMs_ = 0; ///< On a clock that includes suspended time.
  clock::Moment lastLeaseAnswerAt_{};
  clock::Moment widthsPublishedAt_{};
  std::int64_t ownRecordRevision_ = 0; ///< Of this host's record, as last seen in the store.
  bool left_ = false;
  bool renewing_ = false;
  QTimer renewTimer_;
};

} // namespace quetzal::node
