#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/fleet/HostPort.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzal::fleet {

/** The load of one worker, as last reported by its cell. */
struct WorkerLoad
{
  int runs_ = 0;
  bool hasLongRunning_ = false;
  bool cordoned_ = false; ///< Nothing new is started on the worker.
  bool released_ = false; ///< Cordoned and idle: its host may be moved or maintained.
};

/** The capacity that one pool needs. */
struct PoolDemand
{
  double longRunningCores_ = 0;    ///< Requested by long running tasks.
  double longRunningMemoryMb_ = 0; ///< Requested by long running tasks.
  int unschedulableTasks_ = 0;     ///< Long running tasks that no worker has room for.
  double urgentCores_ = 0; ///< Needed beyond long running tasks to meet the jobs' deadlines.
  /** Needed beyond long running tasks once a host that is allocated now is ready. */
  double forecastCores_ = 0;
  bool fresh_ = false; ///< The report is recent enough to act on.
  std::map<std::string, WorkerLoad> workers_;
};

/** The progress of one host in a wave. */
enum class MaintenancePhase : std::uint8_t
{
  kPending,
  kOrdered, ///< Counts as down until the host list shows that it is back.
  kDone,
};

struct MaintenanceState
{
  MaintenancePhase phase_ = MaintenancePhase::kPending;
  std::string previousWorker_; ///< The host's worker before the order.
  /** The host was listed as not up, or with a new worker, since the order was accepted. */
  bool seenDown_ = false;
  clock::Moment orderedAt_{};
  std::optional<clock::Moment> acceptedAt_; ///< When the platform accepted the order.
};

/** A wave and the progress of each of its hosts. */
struct WaveProgress
{
  WaveRequest request_;
  clock::Moment receivedAt_{};
  std::map<std::string, MaintenanceState> hosts_;
  bool completed_ = false;
};

/** The input of a plan. */
struct FleetView
{
  std::vector<Host> hosts_;
  std::map<std::string, PoolDemand> pools_; ///< By service; pools without a cell are absent.
  std::vector<WaveProgress> waves_;
  std::set<std::string> busyHosts_; ///< Hosts with an order in flight.
  std::string standbyPool_;
  clock::Milliseconds maintenanceTime_{ 0 }; ///< The time that a host's maintenance takes.
};

/** The limits for allocating hosts from the standby pool and for returning them to it. */
struct PlannerOptions
{
  double headroomFactor_ = 1.15; ///< Planned cores per needed core.
  int minHosts_ = 3;             ///< Hosts kept in every pool beyond those for long running tasks.
  int slackHosts_ = 1;           ///< Idle hosts beyond the need that are not returned.
  double usableMemoryFraction_ = 0.7; ///< Part of a host's memory that long running tasks may use.
  int maxHostsForUnschedulable_ = 4;  ///< Most hosts allocated at once for unschedulable tasks.
  /** The smallest shortage of other pools for which busy hosts are cordoned. */
  int minShortageHosts_ = 2;
  bool mayReturnHosts_ = true; ///< Hosts may be returned to the standby pool.
};

struct MoveOrder
{
  std::string host_;
  std::string pool_;

  auto operator<=>(const MoveOrder&) const = default;
};

struct MaintenanceOrder
{
  std::string host_;
  std::int64_t wave_ = 0;

  auto operator<=>(const MaintenanceOrder&) const = default;
};

/** The orders to give now. */
struct FleetPlan
{
  std::vector<MoveOrder> moves_;
  std::vector<MaintenanceOrder> maintenance_;
  std::set<std::string> cordoned_; ///< Workers on which nothing new may be started.
  std::set<std::string> evict_;    ///< Cordoned workers whose long running tasks are to be evicted.
  std::map<std::string, double> targets_; ///< Wanted hosts by pool.
};

/** The average size of the fleet's hosts. */
struct HostSize
{
  double cores_ = 1;
  double memoryMb_ = 1;
};

HostSize
SizeOfHosts(const FleetView& aView);

/** Returns how many hosts a pool's long running tasks fill, by cores or by memory. */
double
HostsForLongRunning(const PoolDemand& aDemand,
                    const HostSize& aHost,
                    const PlannerOptions& aOptions);

/** Distributes hosts among pools in order of priority: long running tasks, then urgent work, then
 * forecast work and the minimum hosts. Where the hosts do not suffice for one priority, every pool
 * gets the same fraction of its need, so that queues that grow at the same time are served alike.
 * @return hosts by pool. */
std::map<std::string, double>
DistributeHosts(const std::map<std::string, PoolDemand>& aPools,
                double aHosts,
                const HostSize& aHost,
                const PlannerOptions& aOptions);

/** Plans moves and maintenance: hosts are allocated to pools that need them, returned once idle,
 * and maintained starting with those on which nothing runs. No order is given for a host on which
 * something runs, and no more hosts are maintained than a wave allows at once, and than the pool's
 * budget allows all waves. The wave that is due first comes first. */
FleetPlan
MakePlan(const FleetView& aView, const PlannerOptions& aOptions, clock::Moment aNow);

/** Updates a wave's progress from the host list. Only an accepted order proves that a host's
 * maintenance has begun: a host may also go down, or be maintained for another wave, while the
 * order has no answer. Such an order is repeated, which the platform accepts if it was carried out.
 * @param aListedAt when the list was requested. */
void
UpdateWave(WaveProgress& aWave,
           const std::vector<Host>& aHosts,
           clock::Milliseconds aMaintenanceTime,
           clock::Moment aListedAt);

} // namespace quetzal::fleet
