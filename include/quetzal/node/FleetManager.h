#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/fleet/Planner.h"
#include "include/quetzal/node/Membership.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <deque>
#include <optional>

namespace quetzal::node {

struct FleetOptions
{
  clock::Milliseconds orderGap_{ 3'000 }; ///< From the takeover until the first order.
  clock::Milliseconds maintenanceTime_{ 2'000 };
  double ordersPerSecond_ = 0;
  double readsPerSecond_ = 0; ///< Of the list of hosts, for the whole fleet.
  fleet::PlannerOptions planner_;
};

/** By what right an owner orders. */
struct FleetOwnership
{
  std::string holder_;                ///< This host's name.
  std::int64_t fence_ = 0;            ///< Above that of every earlier owner.
  std::int64_t predecessorFence_ = 0; ///< 0: there was none.
  std::function<bool()> isHeld_;      ///< Whether nobody else can own the fleet yet.
};

/** What the fleet's owner wants of one cell. */
struct CellOrders
{
  std::set<std::string> cordoned_;
  std::set<std::string> evict_;
  std::set<std::string> terminated_; ///< Workers that are no host's present life: they run nothing.
};

/** Owns moves and maintenance of hosts, as long as its process holds the fleet's cell. */
class FleetManager : public QObject
{
  Q_OBJECT

public:
  FleetManager(fleet::HostPort& aMachines,
               store::SharedStore& aStore,
               PlatformState& aFeed,
               metrics::Registry& aMetrics,
               const FleetOwnership& aTenure,
               const FleetOptions& aOptions,
               QObject* aParent);

  /** Takes a cell's report. @return what its owner is to do. */
  CellOrders OnReport(const cells::CellReport& aReport);

  void Stop();

  /** Returns what a successor needs in order to go on at once. Call it after Stop(). */
  jobs::FleetHandOver HandOver() const;

private:
  struct ServiceReport
  {
    cells::CellReport report_;
    clock::Moment receivedAt_{};
    std::map<std::string, clock::Moment> firstReported_;     ///< By worker.
    std::deque<std::pair<clock::Moment, double>> forecasts_; ///< Cores, by the last reports.
  };

  void RequestList();
  void OnList(const fleet::HostList& aList, clock::Moment aAskedAt);
  bool IsTerminated(const std::string& aWorker, clock::Moment aFirstReported) const;
  void SyncWaves();
  void ReadWaveRecord(std::int64_t aWave, const store::ReadResult& aResult);
  void ExecutePlan();
  fleet::FleetView MakeView(clock::Moment aNow) const;
  void LogPlan(const fleet::FleetPlan& aPlan, clock::Moment aNow);
  void OrderMove(const fleet::MoveOrder& aOrder);
  void OrderMaintenance(const fleet::MaintenanceOrder& aOrder);
  bool TakeOrderToken();
  void StoreWave(const fleet::WaveProgress& aWave);
  void PublishWaveStatus(std::int64_t aWave, bool aCompleted);
  void RetryWaveStatus(std::int64_t aWave, bool aCompleted);
  fleet::OrderAuthority Authority() const;
  bool MayOrder() const;
  bool MayOrder(const std::string& aMachine) const;
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
  clock::Moment nextListAt_{}; ///< The list is not asked for before, to keep to the rate of reads.
  bool stopped_ = false;
  std::vector<fleet::Host> hosts_;
  clock::Moment listReceivedAt_{};
  clock::Moment listRequestedAt_{};     ///< When the list in hand was asked for.
  std::set<std::string> listedWorkers_; ///< Present lives of all hosts on the list.
  clock::Moment planLoggedAt_{};
  std::map<std::string, ServiceReport> reports_;
  std::map<std::int64_t, fleet::WaveProgress> waves_;
  std::set<std::int64_t> readingWaves_;
  std::set<std::string> pendingOrders_;
  std::map<std::string, clock::Moment> busySince_;
  std::set<std::string> cordoned_;
  std::set<std::string> evict_;
  std::map<std::string, std::int64_t>
    lastOrderMs_; ///< Unix milliseconds of this owner's last orders.
  std::optional<jobs::FleetHandOver>
    predecessorHandOver_; ///< From a predecessor that ended by itself.
  double orderTokens_ = 0;
  clock::Moment tokensUpdatedAt_{};
};

/** The store's key of the last hand-over of the fleet. */
inline const std::string kFleetHandOverKey = "quetzal/fleet-hand-over";

} // namespace quetzal::node
