#pragma once

#include "include/quetzal/node/CellClaim.h"
#include "include/quetzal/node/ConfigurationRelay.h"
#include "include/quetzal/node/FleetManager.h"
#include "include/quetzal/node/JobRequestHandler.h"
#include "include/quetzal/node/NodeSettings.h"
#include "include/quetzal/node/PeerLinks.h"
#include "include/quetzal/node/RequestRouter.h"
#include "include/quetzal/process/StopSchedule.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

namespace quetzal::node {

/** The interfaces to the platform; each must outlive the NodeProcess. */
struct Ports
{
  store::SharedStore* store_ = nullptr;
  PlatformState* platformState_ = nullptr;
  fleet::HostPort* hosts_ = nullptr;
  workers::PlacementAdvicePort* advice_ = nullptr; ///< Null if the platform has none.
  workers::WorkerPortFactory makeWorker_;
};

/** The job manager's process on one entry host: claims and owns cells, and answers callers'
 * requests. */
class NodeProcess
  : public QObject
  , public JobRequestHandler
{
  Q_OBJECT

public:
  NodeProcess(const NodeSettings& aSettings, Ports aPorts, metrics::Registry& aMetrics);

  /** @throws http::ListenError. */
  void Start();

  /** Hands over every cell, then emits HandedOver(). The requests that are open when the time for
   * the last answer comes are answered then. */
  void Stop();

  std::uint64_t Handle(const JobRequest& aRequest, cells::AnswerCallback aDone) override;
  void OnCallerLeft(std::uint64_t aNumber) override;
  const jobs::Configuration* Configuration() const override;
  bool IsReady() const override;
  bool IsStopping() const { return stopping_; }

  /** Returns whether a process that is stopping ends listening. @param aIsIdle as for MayExit(). */
  bool MayEndListening(bool aIsIdle) const;

  /** Returns whether every caller of a process that is stopping must have its answer now. */
  bool IsLastAnswerDue() const;

  /** Returns whether a process that is stopping may exit. Until its stop time is over, it stays to
   * release what it owns: nobody else serves that before its lease ends. @param aIsIdle no caller
   * waits for an answer or still receives one. */
  bool MayExit(bool aIsIdle) const;

  /** Returns how many cells this process is claiming. */
  std::size_t ClaimsInFlight() const { return claims_.size(); }

  /** Callers' requests without an answer. */
  const OpenRequests& Requests() const { return router_.Requests(); }

Q_SIGNALS:
  /** Every cell has been released; cells that were not idle in time are released after a timeout.
   */
  void HandedOver();

private:
  struct OwnedCell
  {
    cells::Cell* cell_ = nullptr;
    std::int64_t keyRevision_ = 0;
    clock::Moment ownedSince_{};
    bool reporting_ = false;
    std::optional<clock::Moment> handOverSince_; ///< Set while the cell is being handed over.
  };

  void OnPeriodicTimer();
  void ClaimCells();
  void Claim(const std::string& aCell);
  void OnClaimWon(const std::string& aCell, const ClaimedCell& aClaimed);
  void StartFleetManager(const ClaimedCell& aClaimed);
  void DropCell(const std::string& aCell);
  void DropAll();
  void StopFleetManager();
  void DropLostCells();
  std::vector<std::string> ConfiguredCells() const;
  jobs::OwnerRecord MakeOwnerRecord() const;

  clock::Milliseconds SinceStop() const;
  void ServePeer(PeerMethod aMethod,
                 const std::string& aBody,
                 const std::function<void(const std::string&)>& aReply);
  void SendReport(const std::string& aCell);
  /** @param aSequence of the report that the orders answer. */
  /** @param aReportedAt when the report was sent that the orders answer. */
  void ApplyOrders(const std::string& aCell,
                   std::int64_t aSequence,
                   clock::Moment aReportedAt,
                   const CellOrders& aOrders);
  /** Returns the width of each cell that this host owns. */
  std::map<std::string, std::size_t> CellWidths() const;
  /** Returns this host's rank among the possible owners of a vacant cell. */
  std::size_t ClaimRankFor(const std::string& aCell) const;
  bool IsAnyCellVacant() const;
  BalanceState MakeBalanceState() const;
  void BalanceCells();
  void StartHandOver(const std::string& aCell);
  void ReleaseDrainedCells();
  void ContinueHandOver();
  /** Ends a claim without its result. If it was sent, the store may still carry it out. */
  void AbandonClaim(const std::string& aCell);
  void AbandonClaims();
  void ReleaseUnservedCells();
  /** Returns whether this process owns nothing, as far as it knows. */
  bool HasReleasedAll() const;
  void HandOverFleet();
  void Release(const std::string& aKey,
               std::int64_t aRevision,
               const std::vector<store::Write>& aPuts = {});

  NodeSettings settings_;
  Ports ports_;
  metrics::Registry& metrics_;
  Membership membership_;
  PeerLinks links_;
  RequestRouter router_;
  ConfigurationRelay relay_;
  std::map<std::string, OwnedCell> cells_;
  std::map<std::string, CellClaim*> claims_;
  std::map<std::string, clock::Moment> vacantSince_;
  std::set<std::string> releasing_; ///< Keys whose removal is pending.
  std::optional<clock::Moment> unbalancedSince_;
  FleetManager* fleet_ = nullptr;
  std::int64_t fleetKeyRevision_ = 0;
  std::vector<store::Write> fleetHandOver_; ///< Written with the release of the fleet.
  QTimer periodicTimer_;
  clock::Moment startedAt_;
  process::StopSchedule stopSchedule_;
  clock::Moment stopStartedAt_{};
  bool stopping_ = false;
  bool handedOver_ = false;
};

} // namespace quetzal::node
