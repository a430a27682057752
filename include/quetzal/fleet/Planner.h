#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/fleet/MachinePort.h"

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
  bool hasLasting_ = false;
  bool closed_ = false;   ///< Nothing is started there.
  bool released_ = false; ///< Closed, and nothing runs there: its host may be taken.
};

/** What one pool needs. */
struct PoolDemand
{
  double lastingCores_ = 0;  ///< Asked for by tasks that last.
  double lastingMemory_ = 0; ///< Asked for by tasks that last, in megabytes.
  int stuckTasks_ = 0;       ///< Tasks that last and find no room.
  double urgentCores_ = 0;   ///< Needed beyond those for jobs to be done in time.
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
  std::string workerBefore_; ///< The life of the host that the order ended.
  bool seenAway_ = false;    ///< The list has shown the host away since the order.
  clock::Moment orderedAt_{};
  bool answered_ = false; ///< The order was accepted.
};

/** One wave and how far each of its hosts is. */
struct WaveProgress
{
  WaveRequest request_;
  clock::Moment seenAt_{};
  std::map<std::string, MaintenanceState> machines_;
  bool completed_ = false;
};

/** Everything that a plan is made from. */
struct FleetView
{
  std::vector<Machine> machines_;
  std::map<std::string, PoolDemand> pools_; ///< By service; pools without a cell are absent.
  std::vector<WaveProgress> waves_;
  std::set<std::string> busyMachines_; ///< Hosts with an order on its way.
  std::string standbyPool_;
};

/** How eagerly hosts are drawn from the standby pool and returned. */
struct PlannerOptions
{
  double margin_ = 1.15;    ///< Cores planned for each core needed.
  int keptHosts_ = 3;       ///< Hosts beyond the lasting tasks' that stay in every pool.
  int slackHosts_ = 1;      ///< Hosts beyond the need that are not returned.
  double memoryFill_ = 0.7; ///< Part of a host's memory that lasting tasks can be packed into.
  int mostStuckHosts_ = 4;  ///< Hosts drawn at once for tasks that find no room.
  int leastLack_ = 2;       ///< Hosts lacking for which hosts at work are closed in other pools.
  bool mayPark_ = true;     ///< Hosts may be returned to the standby pool.
};

struct MoveOrder
{
  std::string machine_;
  std::string pool_;

  auto operator<=>(const MoveOrder&) const = default;
};

struct MaintenanceOrder
{
  std::string machine_;
  std::int64_t wave_ = 0;

  auto operator<=>(const MaintenanceOrder&) const = default;
};

/** What is to be done now. */
struct FleetPlan
{
  std::vector<MoveOrder> moves_;
  std::vector<MaintenanceOrder> maintenance_;
  std::set<std::string> closed_; ///< Workers on which nothing may be started.
  std::set<std::string> vacate_; ///< Closed workers whose lasting tasks are to go elsewhere.
  std::map<std::string, double> targets_; ///< Hosts wanted in each pool.
};

/** What a host of the fleet has on average. */
struct HostSize
{
  double cores_ = 1;
  double memory_ = 1; ///< Megabytes.
};

/** Shares hosts among pools: first what lasting tasks need, then what is urgent, then what is
 * forecast and kept in reserve. Where hosts do not suffice for one of these, every pool gets the
 * same part of it. Answers two queues that rise together, and the tail of one beside the rise of
 * the next.
 * @return hosts by pool. */
std::map<std::string, double>
ShareHosts(const std::map<std::string, PoolDemand>& aPools,
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
           const std::vector<Machine>& aMachines,
           clock::Milliseconds aMaintenanceTime,
           clock::Moment aNow);

} // namespace quetzal::fleet
