#include "include/quetzal/fleet/Planner.h"

#include "include/quetzal/fleet/MaintenanceBudget.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace quetzal::fleet {
namespace {

/** A maintenance order without an answer is repeated when the maintenance time and this
 * margin have passed. */
constexpr clock::Milliseconds kMaintenanceTimeoutMargin{ 1'500 };
/** A need for less than this fraction of a further host is ignored. */
constexpr double kIgnoredHostFraction = 0.2;

const WorkerLoad*
LoadOf(const FleetView& aView, const Host& aHost)
{
  const auto pool = aView.pools_.find(aHost.pool_);
  if (pool == aView.pools_.end()) {
    return nullptr;
  }
  const auto worker = pool->second.workers_.find(aHost.worker_);
  return worker == pool->second.workers_.end() ? nullptr : &worker->second;
}

bool
IsStandby(const FleetView& aView, const Host& aHost)
{
  return aHost.pool_ == aView.standbyPool_;
}

/** Returns whether nothing runs on a host and nothing can be started there until the host is
 * uncordoned. */
bool
IsFree(const FleetView& aView, const Host& aHost)
{
  if (aHost.state_ != HostState::kUp || aView.busyHosts_.contains(aHost.name_)) {
    return false;
  }
  if (IsStandby(aView, aHost)) {
    return true;
  }
  const WorkerLoad* load = LoadOf(aView, aHost);
  return load != nullptr && aView.pools_.at(aHost.pool_).fresh_ && load->released_;
}

bool
IsInPool(const Host& aHost, const std::string& aPool)
{
  return aHost.pool_ == aPool &&
         (aHost.state_ == HostState::kUp || aHost.state_ == HostState::kMoving ||
          aHost.state_ == HostState::kMaintenance);
}

/** A host that may be taken from its pool. */
struct DonorHost
{
  const Host* host_ = nullptr;
  int runs_ = 0;
  bool cordoned_ = false;
  bool free_ = false;
};

/** Returns the hosts that may be taken from a pool, those with the least work first. */
std::vector<DonorHost>
DonorHostsOf(const FleetView& aView, const std::string& aPool)
{
  std::vector<DonorHost> donors;
  for (const Host& host : aView.hosts_) {
    const WorkerLoad* load = LoadOf(aView, host);
    if (host.pool_ != aPool || host.state_ != HostState::kUp || load == nullptr ||
        load->hasLongRunning_ || aView.busyHosts_.contains(host.name_)) {
      continue;
    }
    donors.push_back({ &host, load->runs_, load->cordoned_, IsFree(aView, host) });
  }
  // Cordoned hosts come before others, as they would be uncordoned if others were taken instead.
  std::sort(donors.begin(), donors.end(), [](const DonorHost& aLeft, const DonorHost& aRight) {
    return std::make_tuple(!aLeft.free_, !aLeft.cordoned_, aLeft.runs_, aLeft.host_->name_) <
           std::make_tuple(!aRight.free_, !aRight.cordoned_, aRight.runs_, aRight.host_->name_);
  });
  return donors;
}

/** Counts a pool's hosts. @param aUpOnly excludes those that are moving or in maintenance. */
int
CountHosts(const FleetView& aView, const std::string& aPool, bool aUpOnly = false)
{
  return static_cast<int>(
    std::count_if(aView.hosts_.begin(), aView.hosts_.end(), [&](const Host& aHost) {
      return IsInPool(aHost, aPool) && (!aUpOnly || aHost.state_ == HostState::kUp);
    }));
}

/** The hosts that a pool lacks. */
struct Shortage
{
  int forWaiting_ = 0; ///< Of these, hosts for long running tasks that no worker has room for.
  int hosts_ = 0;

  auto operator<=>(const Shortage&) const = default;
};

/** Returns how many hosts a pool needs for its long running tasks, waiting ones aside. */
double
HostsToKeep(const FleetView& aView, const std::string& aPool, const PlannerOptions& aOptions)
{
  const PoolDemand& demand = aView.pools_.at(aPool);
  return std::ceil(HostsForLongRunning(demand, SizeOfHosts(aView), aOptions)) + aOptions.minHosts_;
}

/** Returns how many of its hosts a pool can do without. Hosts in maintenance are soon back and
 * count towards the target, but long running tasks need hosts that are up now.
 * @param aBeyondTarget hosts beyond the pool's target. */
int
CountSurplus(const FleetView& aView,
             const std::string& aPool,
             const PlannerOptions& aOptions,
             int aBeyondTarget)
{
  const double spare = CountHosts(aView, aPool, true) - HostsToKeep(aView, aPool, aOptions);
  return static_cast<int>(std::clamp(spare, 0.0, static_cast<double>(aBeyondTarget)));
}

/** Returns how many of a pool's missing hosts are for waiting long running tasks. A pool that has
 * enough hosts for all its long running tasks gets none: tasks that can never be placed would
 * attract all hosts. */
int
HostsForWaitingTasks(const FleetView& aView,
                     const std::string& aPool,
                     const PlannerOptions& aOptions)
{
  const PoolDemand& demand = aView.pools_.at(aPool);
  const int waiting = std::min(demand.unschedulableTasks_, aOptions.maxHostsForUnschedulable_);
  const double lacking = HostsToKeep(aView, aPool, aOptions) + waiting - CountHosts(aView, aPool);
  return static_cast<int>(std::clamp(lacking, 0.0, static_cast<double>(waiting)));
}

/** Assigns hosts to the pools with the largest shortages, those for waiting tasks first, until the
 * hosts are used up. */
void
AssignHosts(std::map<std::string, Shortage>& aShortages,
            std::vector<const Host*>& aHosts,
            FleetPlan& aPlan)
{
  while (!aHosts.empty() && !aShortages.empty()) {
    const auto largest = std::max_element(
      aShortages.begin(), aShortages.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    aPlan.moves_.push_back({ aHosts.back()->name_, largest->first });
    aHosts.pop_back();
    Shortage& shortage = largest->second;
    shortage.forWaiting_ = std::max(shortage.forWaiting_ - 1, 0);
    if (--shortage.hosts_ <= 0) {
      aShortages.erase(largest);
    }
  }
}

/** Plans moves of hosts to pools that need them, and of surplus hosts to the standby pool. */
void
PlanMoves(const FleetView& aView, const PlannerOptions& aOptions, FleetPlan& aPlan)
{
  std::map<std::string, Shortage> shortages;
  std::map<std::string, int> surplus;
  int totalShortage = 0;
  for (const auto& [pool, target] : aPlan.targets_) {
    const int difference =
      static_cast<int>(std::ceil(target - kIgnoredHostFraction)) - CountHosts(aView, pool);
    if (difference > 0) {
      const int forWaiting = HostsForWaitingTasks(aView, pool, aOptions);
      shortages[pool] = { std::min(forWaiting, difference), difference };
      totalShortage += difference;
    } else if (difference < 0 && aView.pools_.at(pool).fresh_) {
      surplus[pool] = CountSurplus(aView, pool, aOptions, -difference);
    }
  }
  std::vector<const Host*> standbyHosts;
  for (const Host& host : aView.hosts_) {
    if (IsStandby(aView, host) && IsFree(aView, host)) {
      standbyHosts.push_back(&host);
    }
  }
  totalShortage -= static_cast<int>(standbyHosts.size());
  std::vector<const Host*> released;
  for (const auto& [pool, count] : surplus) {
    // Idle hosts return to the standby pool; busy hosts are cordoned only if other pools need them.
    int idle = count - (totalShortage > 0 ? 0 : aOptions.slackHosts_);
    int busy = totalShortage >= aOptions.minShortageHosts_ ? std::min(count, totalShortage) : 0;
    for (const DonorHost& donor : DonorHostsOf(aView, pool)) {
      const bool isIdle = donor.runs_ == 0;
      if (isIdle ? idle-- <= 0 : busy-- <= 0) {
        continue;
      }
      if (isIdle) {
        --busy;
      } else {
        --idle;
      }
      aPlan.cordoned_.insert(donor.host_->worker_);
      if (donor.free_) {
        released.push_back(donor.host_);
      }
    }
  }
  AssignHosts(shortages, standbyHosts, aPlan);
  AssignHosts(shortages, released, aPlan);
  if (aOptions.mayReturnHosts_) {
    for (const Host* host : released) {
      aPlan.moves_.push_back({ host->name_, aView.standbyPool_ });
    }
  }
}

/** Hosts by name, for waves that name hundreds of them. */
using HostIndex = std::unordered_map<std::string_view, const Host*>;

HostIndex
IndexByName(const std::vector<Host>& aHosts)
{
  HostIndex index;
  index.reserve(aHosts.size());
  for (const Host& host : aHosts) {
    index.emplace(host.name_, &host);
  }
  return index;
}

const Host*
FindHost(const HostIndex& aIndex, const std::string& aName)
{
  const auto found = aIndex.find(aName);
  return found == aIndex.end() ? nullptr : found->second;
}

/** Returns a host's rank in a wave: 0 for hosts on which nothing runs, then hosts with short tasks,
 * hosts with long running tasks, and hosts without a reported load. */
int
RankForMaintenance(const FleetView& aView, const Host& aHost)
{
  if (IsFree(aView, aHost)) {
    return 0;
  }
  const WorkerLoad* load = LoadOf(aView, aHost);
  if (load == nullptr) {
    return 3;
  }
  return load->hasLongRunning_ ? 2 : 1;
}

/** A host that a wave has yet to maintain, with its rank. */
using RankedHost = std::pair<int, const Host*>;

/** Returns the hosts that a wave may maintain now, in the order in which to take them.
 * @param aDown is increased by the wave's hosts that are down. */
std::vector<RankedHost>
PendingHosts(const FleetView& aView, const WaveProgress& aWave, int& aDown)
{
  const HostIndex hosts = IndexByName(aView.hosts_);
  std::vector<RankedHost> pending;
  for (const auto& [name, state] : aWave.hosts_) {
    if (state.phase_ == MaintenancePhase::kOrdered) {
      ++aDown;
      continue;
    }
    const Host* host = FindHost(hosts, name);
    if (state.phase_ != MaintenancePhase::kPending || host == nullptr) {
      continue;
    }
    if (host->state_ == HostState::kMaintenance) {
      ++aDown; // A previous owner ordered the maintenance.
    } else if (host->state_ == HostState::kUp) {
      pending.emplace_back(RankForMaintenance(aView, *host), host);
    }
  }
  std::sort(pending.begin(), pending.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft.first, aLeft.second->name_) <
           std::pair(aRight.first, aRight.second->name_);
  });
  return pending;
}

void
PlanMaintenance(const FleetView& aView,
                const WaveProgress& aWave,
                MaintenanceBudgets& aBudgets,
                HostNames& aOrdered,
                FleetPlan& aPlan)
{
  if (aWave.completed_) {
    return;
  }
  int down = 0;
  const std::vector<RankedHost> pending = PendingHosts(aView, aWave, down);
  int remaining = aWave.request_.maxConcurrent_ - down;
  for (const auto& [rank, host] : pending) {
    if (remaining <= 0) {
      return;
    }
    // An order for another wave must end first: its effect could be taken for that of a second one.
    if (aOrdered.contains(host->name_)) {
      continue;
    }
    // A host whose worker is not reported takes no tasks anyway, and may never become free.
    if (LoadOf(aView, *host) != nullptr && !WithholdHost(aBudgets, aPlan, *host)) {
      continue;
    }
    --remaining;
    if (IsFree(aView, *host)) {
      aPlan.maintenance_.push_back({ host->name_, aWave.request_.number_ });
      aOrdered.insert(host->name_);
      std::erase_if(aPlan.moves_,
                    [name = host->name_](const MoveOrder& aMove) { return aMove.host_ == name; });
    }
    if (!IsStandby(aView, *host)) {
      aPlan.cordoned_.insert(host->worker_);
      if (rank == 2) {
        aPlan.evict_.insert(host->worker_);
      }
    }
  }
}

/** Plans the maintenance of all waves. The wave that is due first takes its hosts first. */
void
PlanWaves(const FleetView& aView,
          const PlannerOptions& aOptions,
          clock::Moment aNow,
          FleetPlan& aPlan)
{
  std::vector<const WaveProgress*> waves;
  for (const WaveProgress& wave : aView.waves_) {
    waves.push_back(&wave);
  }
  std::stable_sort(
    waves.begin(), waves.end(), [](const WaveProgress* aLeft, const WaveProgress* aRight) {
      return DueAt(*aLeft) < DueAt(*aRight);
    });
  MaintenanceBudgets budgets = MakeMaintenanceBudgets(aView, aPlan, aOptions, aNow);
  HostNames ordered = OrderedHosts(aView.waves_);
  for (const WaveProgress* wave : waves) {
    PlanMaintenance(aView, *wave, budgets, ordered, aPlan);
  }
}

/** Updates the state of a host for which an order was given. See UpdateWave. */
void
UpdateOrdered(MaintenanceState& aState,
              const Host& aHost,
              clock::Milliseconds aMaintenanceTime,
              clock::Moment aListedAt)
{
  const bool isUp = aHost.state_ == HostState::kUp;
  const bool overdue = aListedAt - aState.orderedAt_ > aMaintenanceTime + kMaintenanceTimeoutMargin;
  if (!aState.acceptedAt_) {
    if (isUp && overdue) {
      aState = {};
    }
    return;
  }
  if (aListedAt <= *aState.acceptedAt_) {
    return;
  }
  aState.seenDown_ = aState.seenDown_ || !isUp || aHost.worker_ != aState.previousWorker_;
  if (isUp && (aState.seenDown_ || overdue)) {
    aState.phase_ = MaintenancePhase::kDone;
  }
}

} // namespace

HostSize
SizeOfHosts(const FleetView& aView)
{
  HostSize size{ 0, 0 };
  for (const Host& host : aView.hosts_) {
    size.cores_ += static_cast<double>(host.milliCores_) / 1'000;
    size.memoryMb_ += static_cast<double>(host.memoryMb_);
  }
  const double hosts = std::max(static_cast<double>(aView.hosts_.size()), 1.0);
  return { std::max(size.cores_ / hosts, 1.0), std::max(size.memoryMb_ / hosts, 1.0) };
}

double
HostsForLongRunning(const PoolDemand& aDemand,
                    const HostSize& aHost,
                    const PlannerOptions& aOptions)
{
  return std::max(aDemand.longRunningCores_ / aHost.cores_,
                  aDemand.longRunningMemoryMb_ /
                    (aHost.memoryMb_ * aOptions.usableMemoryFraction_));
}

std::map<std::string, double>
DistributeHosts(const std::map<std::string, PoolDemand>& aPools,
                double aHosts,
                const HostSize& aHost,
                const PlannerOptions& aOptions)
{
  std::map<std::string, double> hostsByPool;
  double remaining = aHosts;
  const auto distribute = [&](const auto& aNeedOf) {
    double total = 0;
    for (const auto& [pool, demand] : aPools) {
      total += std::max(aNeedOf(demand) - hostsByPool[pool], 0.0);
    }
    const double fraction = total > remaining ? remaining / total : 1;
    for (const auto& [pool, demand] : aPools) {
      const double added = std::max(aNeedOf(demand) - hostsByPool[pool], 0.0) * fraction;
      hostsByPool[pool] += added;
      remaining -= added;
    }
    remaining = std::max(remaining, 0.0);
  };
  const auto longRunningHosts = [&](const PoolDemand& aDemand) {
    return HostsForLongRunning(aDemand, aHost, aOptions);
  };
  const auto urgentHosts = [&](const PoolDemand& aDemand) {
    return longRunningHosts(aDemand) +
           aDemand.urgentCores_ * aOptions.headroomFactor_ / aHost.cores_;
  };
  const auto forecastHosts = [&](const PoolDemand& aDemand) {
    return longRunningHosts(aDemand) +
           std::max(aDemand.forecastCores_ * aOptions.headroomFactor_ / aHost.cores_,
                    static_cast<double>(aOptions.minHosts_));
  };
  distribute(longRunningHosts);
  distribute(urgentHosts);
  distribute(forecastHosts);
  return hostsByPool;
}

FleetPlan
MakePlan(const FleetView& aView, const PlannerOptions& aOptions, clock::Moment aNow)
{
  FleetPlan plan;
  if (!aView.standbyPool_.empty()) {
    std::map<std::string, PoolDemand> pools = aView.pools_;
    pools.erase(aView.standbyPool_);
    int hosts = CountHosts(aView, aView.standbyPool_);
    for (const auto& [pool, demand] : pools) {
      hosts += CountHosts(aView, pool);
    }
    plan.targets_ = DistributeHosts(pools, hosts, SizeOfHosts(aView), aOptions);
    for (auto& [pool, target] : plan.targets_) {
      const int unschedulable =
        std::min(pools.at(pool).unschedulableTasks_, aOptions.maxHostsForUnschedulable_);
      if (unschedulable > 0) {
        target =
          std::max(target, static_cast<double>(CountHosts(aView, pool, true) + unschedulable));
      }
    }
    PlanMoves(aView, aOptions, plan);
  }
  PlanWaves(aView, aOptions, aNow, plan);
  return plan;
}

void
UpdateWave(WaveProgress& aWave,
           const std::vector<Host>& aHosts,
           clock::Milliseconds aMaintenanceTime,
           clock::Moment aListedAt)
{
  if (aWave.completed_) {
    return;
  }
  const HostIndex hosts = IndexByName(aHosts);
  bool allDone = true;
  for (auto& [name, state] : aWave.hosts_) {
    const Host* host = FindHost(hosts, name);
    if (host == nullptr || state.phase_ == MaintenancePhase::kDone) {
      continue; // A host that is no longer listed does not delay the wave.
    }
    if (state.phase_ == MaintenancePhase::kPending) {
      allDone = false;
      continue;
    }
    UpdateOrdered(state, *host, aMaintenanceTime, aListedAt);
    allDone = allDone && state.phase_ == MaintenancePhase::kDone;
  }
  aWave.completed_ = allDone;
}

} // namespace quetzal::fleet
