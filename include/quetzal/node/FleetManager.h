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
struct FleetTenure
{
  std::string holder_;                ///< This host's name.
  std::int64_t fence_ = 0;            ///< Above that of every earlier owner.
  std::int64_t predecessorFence_ = 0; ///< 0: there was none.
  std::function<bool()> isSure_;      ///< Whether nobody else can own the fleet yet.
};

/** What the fleet's owner wants of one cell. */
struct CellOrders
{
  std::set<std::string> closed_;
  std::set<std::string> vacate_;
  std::set<std::string> gone_; ///< Workers that are no host's present life: they run nothing.
};

/** Owns moves and maintenance of hosts, as long as its process holds the fleet's cell. */
class FleetManager : public QObject
{
  Q_OBJECT

public:
  FleetManager(fleet::HostPort& aMachines,
               store::SharedStore& aStore,
               Feed& aFeed,
               metrics::Registry& aMetrics,
               const FleetTenure& aTenure,
               const FleetOptions& aOptions,
               QObject* aParent);

  /** Takes a cell's report. @return what its owner is to do. */
  CellOrders OnReport(const cells::CellReport& aReport);

  void Stop();

  /** Returns what a successor needs in order to go on at once. Call it after Stop(). */
  jobs::FleetHandOver HandOver() const;

private:
  struct ReportRow
  {
    cells::CellReport report_;
    clock::Moment at_{};
    std::map<std::string, clock::Moment> firstReported_;     ///< By worker.
    std::deque<std::pair<clock::Moment, double>> forecasts_; ///< Cores, by the last reports.
  };

  void Tick();
  void OnList(const fleet::HostList& aList, clock::Moment aAskedAt);
  bool IsGone(const std::string& aWorker, clock::Moment aFirstReported) const;
  void SyncWaves();
  void ReadWaveRecord(std::int64_t aWave, const store::ReadResult& aResult);
  void Act();
  fleet::FleetView View(clock::Moment aNow) const;
  void LogPlan(const fleet::FleetPlan& aPlan, clock::Moment aNow);
  void Move(const fleet::MoveOrder& aOrder);
  void Maintain(const fleet::MaintenanceOrder& aOrder);
  bool TakeOrderRight();
  void StoreWave(const fleet::WaveProgress& aWave);
  void ShowWave(std::int64_t aWave, bool aCompleted);
  void ShowWaveLater(std::int64_t aWave, bool aCompleted);
  fleet::OrderAuthority Authority() const;
  bool MayOrder() const;
  bool MayOrder(const std::string& aMachine) const;
  void ReadHandOver();

  fleet::HostPort& machines_;
  store::SharedStore& store_;
  Feed& feed_;
  metrics::Registry& metrics_;
  FleetTenure tenure_;
  FleetOptions options_;
  clock::Moment begun_;
  QTimer timer_;
  bool listing_ = false;
  clock::Moment listNext_{}; ///< The list is not asked for before, to keep to the rate of reads.
  bool stopped_ = false;
  std::vector<fleet::Host> list_;
  clock::Moment listAt_{};
  clock::Moment listAskedAt_{};         ///< When the list in hand was asked for.
  std::set<std::string> listedWorkers_; ///< Present lives of all hosts on the list.
  clock::Moment loggedAt_{};
  std::map<std::string, ReportRow> reports_;
  std::map<std::int64_t, fleet::WaveProgress> waves_;
  std::set<std::int64_t> readingWaves_;
  std::set<std::string> busy_;
  std::map<std::string, clock::Moment> orderedAt_;
  std::set<std::string> closed_;
  std::set<std::string> vacate_;
  std::map<std::string, std::int64_t> orderMs_; ///< Unix milliseconds of this owner's last orders.
  std::optional<jobs::FleetHandOver> handOver_; ///< From a predecessor that ended by itself.
  double orderRights_ = 0;
  clock::Moment rightsAt_{};
};

/** The store's key of the last hand-over of the fleet. */
inline const std::string kFleetHandOverKey = "quetzal/fleet-hand-over";

} // namespace quetzal::node
