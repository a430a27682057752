#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/fleet/HostPort.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzal::fleet {

/** What runs on one worker, by its cell's last report. */
struct WorkerLoad
{
  int runs_ = 0;
  bool hasLongRunning_ = false;
  bool cordoned_ = false; ///< Nothing is started there.
  bool released_ = false; ///< Closed, and nothing runs there: its host may be taken.
};

/** What one pool needs. */
struct PoolDemand
{
  double longRunningCores_ = 0;    ///< Asked for by tasks that last.
  double longRunningMemoryMb_ = 0; ///< Asked for by tasks that last, in megabytes.
  int unschedulableTasks_ = 0;     ///< Tasks that last and find no room.
  double urgentCores_ = 0;         ///< Needed beyond those for jobs to be done in time.
  double forecastCores_ = 0; ///< Needed beyond the lasting ones when a host drawn now has come.
  bool fresh_ = false;       ///< The report is recent enough to act on.
  std::map<std::string, WorkerLoad> workers_;
};

/** How far a host is in a wave. */
enum class MaintenancePhase : std::uint8_t
{
  kPending,
  kOrdered, ///< Counts as down until the list shows that it is back.
  kDone,
};

struct MaintenanceState
{
  MaintenancePhase phase_ = MaintenancePhase::kPending;
  std::string previousWorker_; ///< The life of the host that the order ended.
  bool seenDown_ = false;      ///< The list has shown the host away since the order.
  clock::Moment orderedAt_{};
  bool accepted_ = false; ///< The order was accepted.
};

/** One wave and how far each of its hosts is. */
struct WaveProgress
{
  WaveRequest request_;
  clock::Moment receivedAt_{};
  std::map<std::string, MaintenanceState> hosts_;
  bool completed_ = false;
};

/** Everything that a plan is made from. */
struct FleetView
{
  std::vector<Host> hosts_;
  std::map<std::string, PoolDemand> pools_; ///< By service; pools without a cell are absent.
  std::vector<WaveProgress> waves_;
  std::set<std::string> busyHosts_; ///< Hosts with an order on its way.
  std::string standbyPool_;
};

/** How eagerly hosts are drawn from the standby pool and returned. */
struct PlannerOptions
{
  double headroomFactor_ = 1.15; ///< Cores planned for each core needed.
  int minHosts_ = 3;             ///< Hosts beyond the lasting tasks' that stay in every pool.
  int slackHosts_ = 1;           ///< Hosts beyond the need that are not returned.
  double usableMemoryFraction_ =
    0.7; ///< Part of a host's memory that lasting tasks can be packed into.
  int maxUnschedulableHosts_ = 4; ///< Hosts drawn at once for tasks that find no room.
  int minShortageHosts_ = 2;   ///< Hosts lacking for which hosts at work are closed in other pools.
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

/** What is to be done now. */
struct FleetPlan
{
  std::vector<MoveOrder> moves_;
  std::vector<MaintenanceOrder> maintenance_;
  std::set<std::string> cordoned_; ///< Workers on which nothing may be started.
  std::set<std::string> evict_;    ///< Closed workers whose lasting tasks are to go elsewhere.
  std::map<std::string, double> targets_; ///< Hosts wanted in each pool.
};

/** What a host of the fleet has on average. */
struct HostSize
{
  double cores_ = 1;
  double memoryMb_ = 1; ///< Megabytes.
};

/** Shares hosts among pools: first what lasting tasks need, then what is urgent, then what is
 * forecast and kept in reserve. Where hosts do not suffice for one of these, every pool gets the
 * same part of it. Answers two queues that rise together, and the tail of one beside the rise of
 * the next.
 * @return hosts by pool. */
std::map<std::string, double>
DistributeHosts(const std::map<std::string, PoolDemand>& aPools,
                double aHosts,
                const HostSize& aHost,
                const PlannerOptions& aOptions);

/** Plans moves and maintenance: hosts are drawn to where work arrives, returned when the work has
 * gone, and maintained where nothing runs first. Nothing is ordered for a host on which something
 * runs, nor more maintenance than a wave allows at once. */
FleetPlan
MakePlan(const FleetView& aView, const PlannerOptions& aOptions, clock::Moment aNow);

/** Takes over what the list shows of a wave's hosts. */
void
UpdateWave(WaveProgress& aWave,
           const std::vector<Host>& aHosts,
           clock::Milliseconds aMaintenanceTime,
           clock::Moment aNow);

} // namespace quetzal::fleet
