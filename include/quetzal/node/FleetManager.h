#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/fleet/OrderBudget.h"
#include "include/quetzal/fleet/Planner.h"
#include "include/quetzal/node/Membership.h"
#include "include/quetzal/organisations/QuotaGrants.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <deque>
#include <optional>

namespace quetzal::node {

struct FleetOptions
{
  clock::Milliseconds orderGap_{ 3'000 }; ///< Time from a takeover to the new owner's first order.
  clock::Milliseconds maintenanceTime_{ 2'000 };
  double ordersPerSecond_ = 0;
  double readsPerSecond_ = 0; ///< Reads of the host list, for the whole fleet.
  fleet::PlannerOptions planner_;
};

/** An owner's authority to give orders to hosts. */
struct FleetOwnership
{
  std::string holder_;                ///< This host's name.
  std::int64_t fence_ = 0;            ///< Greater than that of every earlier owner.
  std::int64_t predecessorFence_ = 0; ///< The previous owner's fence; 0: none.
  bool predecessorWasSelf_ = false;   ///< An earlier process on this host was the last owner.
  std::function<bool()> isHeld_;      ///< Whether this host's lease excludes any other owner.
};

/** The fleet owner's orders for the workers of one cell. */
struct CellOrders
{
  std::set<std::string> cordoned_;
  std::set<std::string> evict_;
  std::set<std::string> terminated_; ///< Workers that are not the current incarnation of any host.
  std::vector<organisations::Grant> grants_;
  bool hasGrants_ = false; ///< False if the owner of the fleet does not divide quotas.
  /** Greatest age, when the report arrived, of what terminated_ was taken from; an owner of an
   * earlier release does not tell. */
  clock::Milliseconds listAge_{ 2'000 };
};

/** Orders moves and maintenance of hosts while its process owns the fleet's cell. */
class FleetManager : public QObject
{
  Q_OBJECT

public:
  FleetManager(fleet::HostPort& aHostPort,
               store::SharedStore& aStore,
               PlatformState& aPlatformState,
               metrics::Registry& aMetrics,
               const FleetOwnership& aOwnership,
               const FleetOptions& aOptions,
               QObject* aParent);

  /** Records a cell's report. @return the orders for the cell's workers. */
  CellOrders OnReport(const cells::CellReport& aReport);

  void Stop();

  /** Returns the record that lets a successor give orders without waiting. Must be called after
   * Stop(). */
  jobs::FleetHandOver HandOver() const;

  /** Returns whether it is known if the owner before this one handed the fleet over. */
  bool HasReadHandOver() const { return handOverRead_; }

private:
  struct ServiceReport
  {
    cells::CellReport report_;
    clock::Moment receivedAt_{};
    std::set<std::string> answeredCordons_; ///< Workers that the answer to the report cordoned.
    std::map<std::string, clock::Moment> firstReported_; ///< When each worker was first reported.
    std::deque<std::pair<clock::Moment, double>>
      forecasts_; ///< Demand in cores, with the time of each report.
  };

  /** Answers the quota part of a report. */
  void GrantQuotas(const cells::CellReport& aReport, CellOrders& aOrders, clock::Moment aNow);

  void RequestList();
  void OnList(const fleet::HostList& aList, clock::Moment aRequestedAt);
  bool IsTerminated(const std::string& aWorker, clock::Moment aFirstReported) const;
  void SyncWaves();
  void ReadWaveRecord(std::int64_t aWave, const store::ReadResult& aResult);
  void ExecutePlan();
  fleet::FleetView MakeView(clock::Moment aNow) const;
  void LogPlan(const fleet::FleetPlan& aPlan, clock::Moment aNow);
  void OrderMove(const fleet::MoveOrder& aOrder);
  void OrderMaintenance(const fleet::MaintenanceOrder& aOrder);
  void StoreWave(const fleet::WaveProgress& aWave);
  void PublishWaveStatus(std::int64_t aWave, bool aCompleted);
  void RetryWaveStatus(std::int64_t aWave, bool aCompleted);
  fleet::OrderAuthority Authority() const;
  bool MayOrder() const;
  bool MayOrder(const std::string& aHost) const;
  void ReadHandOver();

  fleet::HostPort& hostPort_;
  store::SharedStore& store_;
  PlatformState& platformState_;
  metrics::Registry& metrics_;
  FleetOwnership ownership_;
  FleetOptions options_;
  clock::Moment startedAt_;
  QTimer timer_;
  bool listPending_ = false;
  clock::Moment
    nextListAt_{}; ///< No list is requested before this time, because of the read rate limit.
  bool stopped_ = false;
  std::vector<fleet::Host> hosts_;
  clock::Moment listReceivedAt_{};
  clock::Moment listRequestedAt_{};     ///< When the list in hosts_ was requested.
  std::set<std::string> listedWorkers_; ///< Current incarnations of all hosts in hosts_.
  clock::Moment planLoggedAt_{};
  std::map<std::string, ServiceReport> reports_;
  std::map<std::int64_t, fleet::WaveProgress> waves_;
  std::set<std::int64_t> readingWaves_;
  std::set<std::string> pendingOrders_;
  std::map<std::string, clock::Moment> busySince_;
  std::set<std::string> cordoned_;
  std::set<std::string> evict_;
  std::map<std::string, std::int64_t> lastOrderMs_; ///< Unix milliseconds, by host.
  bool handOverRead_ = false;
  std::optional<jobs::FleetHandOver> predecessorHandOver_; ///< Set if the fleet was handed over.
  fleet::OrderBudget orderBudget_;
  organisations::QuotaTable quotaTable_;
  clock::Moment leaseSeenAt_{}; ///< When the lease was last seen to be held.
};

/** The store's key of the fleet's latest hand-over record. */
inline const std::string kFleetHandOverKey = "quetzal/fleet-hand-over";

} // namespace quetzal::node
