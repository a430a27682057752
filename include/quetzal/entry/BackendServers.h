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

/** The backend servers of one service: a pool of connections to each, and how it has done. Pools
 * with attempts under way outlive it. */
class BackendServers : public QObject
{
  Q_OBJECT

public:
  /** @param aHostStates the platform's list of hosts, read at each question.
   * @param aPoolParent owns the pools. */
  BackendServers(std::string aAvailabilityZone,
                 const platform::HostStates& aHostStates,
                 metrics::Registry& aMetrics,
                 QObject* aPoolParent);

  /** Takes over the hosts that a document names for the service. */
  void ApplyDocument(const document::Document& aDocument, const document::Service& aService);

  /** Starts nothing any more on any of them. */
  void Retire();

  std::size_t Size() const { return servers_.size(); }
  connection::BackendPool& PoolOf(const std::string& aHost) { return *servers_.at(aHost).pool_; }
  std::vector<connection::BackendPool*> Pools() const;

  /** Slots of the backend servers that can be used now. */
  struct SlotCapacity
  {
    bool anyAvailable_ = false;
    int slots_ = 0; ///< Used and free ones.
  };
  SlotCapacity CapacityFor(document::WorkClass aClass) const;
  bool HasFreeSlot(document::WorkClass aClass) const;
  bool HasAvailableExcept(const std::set<std::string>& aTried) const;
  std::vector<routing::Candidate> CandidatesFor(document::WorkClass aClass,
                                                const std::set<std::string>& aTried) const;

  /** Notes how an attempt has ended, and ejects a backend server that fails too often. */
  void RecordAttempt(const std::string& aHost, bool aFailed);

Q_SIGNALS:
  void AttemptEnded(const std::string& aHost, const quetzal::connection::AttemptResult& aResult);
  void AttemptSilent(const std::string& aHost, std::uint64_t aRequest);
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
