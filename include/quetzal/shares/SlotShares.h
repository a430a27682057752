#pragma once

#include "include/quetzal/connection/BackendPool.h"
#include "include/quetzal/membership/PeerRegistry.h"
#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/shares/Granter.h"
#include "include/quetzal/wire/Link.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <functional>
#include <map>
#include <string>

namespace quetzal::shares {

/** The backend server pools and the requests that wait for slots. */
struct Demand
{
  std::vector<connection::BackendPool*> pools_;
  std::map<std::string, std::size_t> queued_;      ///< By service.
  std::map<std::string, clock::Moment> lastStart_; ///< Start of the last attempt, by service.
};

/** Holds this entry host's shares of every backend server's slots, and grants the slots of those
 * backend servers that rendezvous hashing assigns to this entry host. */
class SlotShares : public QObject
{
  Q_OBJECT

public:
  /** @param aProcess a name that is unique among all processes, including earlier processes of this
   * entry host.
   * @param aDemand returns the current pools and queues. */
  SlotShares(membership::PeerRegistry& aPeers,
             std::string aProcess,
             std::function<Demand()> aDemand,
             metrics::Registry& aMetrics,
             QObject* aParent);

  /** Starts granting and requesting shares. @throws http::ListenError. */
  void Start();

  /** Sets the limit on connections that is applied with every share. */
  void SetConnectionCap(std::function<int(const document::Service&)> aCap)
  {
    connectionCap_ = std::move(aCap);
  }

  /** Requests shares before the periodic timer does, for example when a request waits for a slot.
   */
  void RequestSharesSoon();

private:
  struct HeldShare
  {
    int slots_ = 0;
    clock::Moment expiresAt_{};
    bool reported_ = false; ///< The granter has this process's current report.
    std::string granter_;
  };

  struct ShareRequestStatus
  {
    std::uint64_t number_ = 0;
    clock::Moment sentAt_{};
    bool pending_ = false;
    bool exhausted_ = false; ///< The last answer granted no more than was held.
  };

  void OnTimer();
  void Refresh();
  void SendRequest(const std::string& aGranter, ShareRequest aRequest);
  ShareRequestEntry RequestEntryFor(const connection::BackendPool& aPool,
                                    const Demand& aDemand,
                                    const HeldShare& aHeld,
                                    int aServicePools) const;
  std::string GranterOf(const connection::BackendPool& aPool) const;
  bool GrantsNow(const std::string& aServer) const;
  static std::map<std::string, GrantedServer> ServersOf(const Demand& aDemand);
  /** Returns the slots of a share, or 0 where it has expired. */
  static int SlotsOf(const HeldShare& aHeld);
  void OnPeerMessage(const std::string& aPayload);
  void OnLink(wire::ServerLink* aLink);
  void OnLinkMessage(wire::ServerLink* aLink, const std::string& aPayload);
  void OnAnswer(const std::string& aGranter, const ShareAnswer& aAnswer);
  void Apply(connection::BackendPool& aPool, const HeldShare& aHeld);
  void RequestReports();
  void OnReportRequest(const ShareReportRequest& aRequest);
  ShareAnswer AnswerTo(const ShareRequest& aRequest);

  membership::PeerRegistry& peers_;
  std::string process_;
  std::function<Demand()> demand_;
  std::function<int(const document::Service&)> connectionCap_;
  metrics::Registry& metrics_;
  Granter granter_;
  std::map<std::string, HeldShare> heldShares_;               ///< By "service@host".
  std::map<std::string, ShareRequestStatus> requestStatuses_; ///< By granting entry host.
  std::map<std::string, GrantedServer> servers_;
  QTimer periodicTimer_;
  QTimer urgentTimer_;
  clock::Moment lastTimerAt_{};
  clock::Moment nextReportRequestAt_{};
  std::uint64_t lastRequestNumber_ = 0;
  wire::LinkServer listener_;
};

} // namespace quetzal::shares
