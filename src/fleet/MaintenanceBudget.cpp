#include "include/quetzal/fleet/MaintenanceBudget.h"

#include <algorithm>
#include <cmath>

namespace quetzal::fleet {
namespace {

/** Assumed time from cordoning a host until nothing runs on it. */
constexpr clock::Milliseconds kDrainTime{ 3'000 };

/** The hosts of one pool, as far as they matter to its budget. */
struct PoolHosts
{
  int hosts_ = 0; ///< Hosts that are up or in maintenance and do not leave the pool.
  std::set<std::string> withheld_;
};

bool
HasLongRunning(const PoolDemand& aDemand)
{
  return aDemand.longRunningCores_ > 0 || aDemand.unschedulableTasks_ > 0 ||
         std::any_of(aDemand.workers_.begin(), aDemand.workers_.end(), [](const auto& aWorker) {
           return aWorker.second.hasLongRunning_;
         });
}

std::map<std::string, PoolHosts>
CountPoolHosts(const FleetView& aView, const FleetPlan& aPlan)
{
  const HostNames ordered = OrderedHosts(aView.waves_);
  std::map<std::string, PoolHosts> pools;
  for (const Host& host : aView.hosts_) {
    const bool isDown = host.state_ == HostState::kMaintenance;
    const bool isUp = host.state_ == HostState::kUp;
    if ((!isDown && !isUp) || aPlan.cordoned_.contains(host.worker_)) {
      continue;
    }
    PoolHosts& pool = pools[host.pool_];
    ++pool.hosts_;
    if (isDown || ordered.contains(host.name_)) {
      pool.withheld_.insert(host.name_);
    }
  }
  return pools;
}

double
Seconds(clock::Moment::duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/** Returns how many hosts of each pool the waves must maintain at the same time to end when they
 * are due. */
std::map<std::string, double>
RequiredHosts(const FleetView& aView, clock::Moment aNow)
{
  const double hostSeconds = Seconds(aView.maintenanceTime_ + kDrainTime);
  std::map<std::string, double> required;
  for (const WaveProgress& wave : aView.waves_) {
    if (wave.completed_) {
      continue;
    }
    const double secondsLeft = std::max(Seconds(DueAt(wave) - aNow), hostSeconds);
    for (const Host& host : aView.hosts_) {
      const auto state = wave.hosts_.find(host.name_);
      if (state != wave.hosts_.end() && state->second.phase_ != MaintenancePhase::kDone) {
        required[host.pool_] += hostSeconds / secondsLeft;
      }
    }
  }
  return required;
}

/** Returns how many of a pool's hosts are not needed for its long running tasks. */
int
SpareHosts(const PoolDemand& aDemand,
           int aHosts,
           const HostSize& aHost,
           const PlannerOptions& aOptions)
{
  const double filled = std::ceil(HostsForLongRunning(aDemand, aHost, aOptions));
  const int waiting = std::min(aDemand.unschedulableTasks_, aOptions.maxHostsForUnschedulable_);
  return aHosts - waiting - static_cast<int>(std::min(filled, static_cast<double>(aHosts)));
}

} // namespace

MaintenanceBudgets
MakeMaintenanceBudgets(const FleetView& aView,
                       const FleetPlan& aPlan,
                       const PlannerOptions& aOptions,
                       clock::Moment aNow)
{
  const HostSize size = SizeOfHosts(aView);
  std::map<std::string, double> required = RequiredHosts(aView, aNow);
  MaintenanceBudgets budgets;
  for (auto& [name, hosts] : CountPoolHosts(aView, aPlan)) {
    const auto demand = aView.pools_.find(name);
    if (demand == aView.pools_.end() || !HasLongRunning(demand->second)) {
      continue;
    }
    const int most = std::max(hosts.hosts_ / 2, 1);
    const int spare = SpareHosts(demand->second, hosts.hosts_, size, aOptions);
    const int wanted = std::max(spare, static_cast<int>(std::ceil(required[name])));
    budgets[name] = { std::clamp(wanted, 1, most), std::move(hosts.withheld_) };
  }
  return budgets;
}

bool
WithholdHost(MaintenanceBudgets& aBudgets, const FleetPlan& aPlan, const Host& aHost)
{
  const auto found = aBudgets.find(aHost.pool_);
  if (found == aBudgets.end() || aPlan.cordoned_.contains(aHost.worker_)) {
    return true;
  }
  MaintenanceBudget& budget = found->second;
  if (static_cast<int>(budget.withheld_.size()) >= budget.limit_) {
    return false;
  }
  budget.withheld_.insert(aHost.name_);
  return true;
}

HostNames
OrderedHosts(const std::vector<WaveProgress>& aWaves)
{
  HostNames ordered;
  for (const WaveProgress& wave : aWaves) {
    for (const auto& [name, state] : wave.hosts_) {
      if (state.phase_ == MaintenancePhase::kOrdered) {
        ordered.insert(name);
      }
    }
  }
  return ordered;
}

clock::Moment
DueAt(const WaveProgress& aWave)
{
  const std::chrono::duration<double> duration(aWave.request_.durationSeconds_);
  return aWave.receivedAt_ + std::chrono::duration_cast<clock::Moment::duration>(duration);
}

} // namespace quetzal::fleet
