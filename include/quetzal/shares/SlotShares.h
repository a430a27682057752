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

/** What SlotShares needs to know of the requests that wait. */
struct Demand
{
  std::vector<connection::BackendPool*> pools_;
  std::map<std::string, std::size_t> queued_;      ///< By service.
  std::map<std::string, clock::Moment> lastStart_; ///< Of an attempt, by service.
};

/** Holds this entry host's shares of every backend server's slots, and grants those of the
 * backend servers that rendezvous hashing gives to it. */
class SlotShares : public QObject
{
  Q_OBJECT

public:
  /** @param aProcess unique among all processes, so that a successor is not taken for this one.
   * @param aDemand returns the pools and queues of this moment. */
  SlotShares(membership::PeerRegistry& aBoard,
             std::string aProcess,
             std::function<Demand()> aDemand,
             metrics::Registry& aMetrics,
             QObject* aParent);

  /** Starts granting and asking. @throws http::ListenError. */
  void Start();

  /** Sets the bound on connections that goes with every share. */
  void SetConnectionCap(std::function<int(const document::Service&)> aCap)
  {
    cap_ = std::move(aCap);
  }

  /** Asks for more at once: a request waits. */
  void Hurry();

private:
  struct Held
  {
    int slots_ = 0;
    clock::Moment until_{};
    bool reportedTo_ = false; ///< Its granter has heard of this process.
    std::string granter_;
  };

  struct Asked
  {
    std::uint64_t number_ = 0;
    clock::Moment at_{};
    bool pending_ = false;
    bool exhausted_ = false; ///< The last answer gave no more than was held.
  };

  void Tick();
  void Refresh();
  void Ask(const std::string& aGranter, ShareRequest aRequest);
  ShareLine LineFor(const connection::BackendPool& aPool,
                    const Demand& aDemand,
                    const Held& aHeld,
                    int aZonePools) const;
  std::string GranterOf(const connection::BackendPool& aPool) const;
  bool GrantsNow(const std::string& aServer) const;
  static std::map<std::string, GrantedServer> ServersOf(const Demand& aDemand);
  /** Returns the slots of a share that has not ended. */
  static int SlotsOf(const Held& aHeld);
  void OnPeerMessage(const std::string& aPayload);
  void OnLink(wire::ServerLink* aLink);
  void OnLinkMessage(wire::ServerLink* aLink, const std::string& aPayload);
  void OnAnswer(const std::string& aGranter, const ShareAnswer& aAnswer);
  void Apply(connection::BackendPool& aPool, const Held& aHeld);
  void CallForReports();
  void OnReportCall(const ReportCall& aCall);
  ShareAnswer AnswerTo(const ShareRequest& aRequest);

  membership::PeerRegistry& board_;
  std::string process_;
  std::function<Demand()> demand_;
  std::function<int(const document::Service&)> cap_;
  metrics::Registry& metrics_;
  Granter granter_;
  std::map<std::string, Held> held_;   ///< By "service@host".
  std::map<std::string, Asked> asked_; ///< By granting entry host.
  std::map<std::string, GrantedServer> servers_;
  QTimer tickTimer_;
  QTimer hurryTimer_;
  clock::Moment lastTick_{};
  clock::Moment nextCall_{};
  std::uint64_t lastNumber_ = 0;
  wire::LinkServer listener_;
};

} // namespace quetzal::shares
