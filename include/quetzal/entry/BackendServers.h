#pragma once

#include "include/quetzal/connection/BackendPool.h"
#include "include/quetzal/document/Document.h"
#include "include/quetzal/platform/HostList.h"
#include "include/quetzal/routing/Choice.h"
#include "include/quetzal/routing/Ejection.h"

#include <QtCore/QObject>
#include <map>
#include <set>

namespace quetzal::entry {

/** The backend servers of one service, with a connection pool and failure statistics for each.
 * Pools with attempts in flight outlive this object. */
class BackendServers : public QObject
{
  Q_OBJECT

public:
  /** @param aHostStates the platform's list of hosts. It is read at each call, and must outlive
   * this object.
   * @param aPoolParent owns the pools. */
  BackendServers(std::string aAvailabilityZone,
                 const platform::HostStates& aHostStates,
                 metrics::Registry& aMetrics,
                 QObject* aPoolParent);

  /** Creates a pool for each host that the document newly assigns to the service, and retires the
   * pools of hosts that the document no longer names. Unchanged hosts keep their pool and
   * statistics. */
  void ApplyDocument(const document::Document& aDocument, const document::Service& aService);

  /** Retires all pools: no attempt is started any more. */
  void Retire();

  std::size_t Size() const { return servers_.size(); }
  connection::BackendPool& PoolOf(const std::string& aHost) { return *servers_.at(aHost).pool_; }
  std::vector<connection::BackendPool*> Pools() const;

  /** The slots of the available backend servers. */
  struct SlotCapacity
  {
    bool anyAvailable_ = false;
    int slots_ = 0; ///< Both used and free ones.
  };
  SlotCapacity CapacityFor(document::WorkClass aClass) const;
  bool HasFreeSlot(document::WorkClass aClass) const;
  bool HasAvailableExcept(const std::set<std::string>& aTried) const;
  std::vector<routing::Candidate> CandidatesFor(document::WorkClass aClass,
                                                const std::set<std::string>& aTried) const;

  /** Records how an attempt ended, and ejects a backend server that fails too often. */
  void RecordAttempt(const std::string& aHost, bool aFailed);

Q_SIGNALS:
  void AttemptEnded(const std::string& aHost, const quetzal::connection::AttemptResult& aResult);
  void AttemptSilent(std::uint64_t aRequest);
  void CapacityChanged();

private:
  struct Server
  {
    connection::BackendPool* pool_ = nullptr;
    routing::FailureStats failureStats_;
  };

  connection::BackendPool* MakePool(const document::Service& aService, const document::Host& aHost);
  bool IsAvailable(const Server& aServer, clock::Moment aNow) const;

  std::string availabilityZone_;
  const platform::HostStates& hostStates_;
  metrics::Registry& metrics_;
  QObject* poolParent_;
  std::string service_;
  std::map<std::string, Server> servers_; ///< By host name.
};

} // namespace quetzal::entry
