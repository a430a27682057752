#include "include/quetzal/fleet/Planner.h"

#include <algorithm>
#include <cmath>

namespace quetzal::fleet {
namespace {

/** Added to the time that maintenance takes before an order without a trace is repeated. */
constexpr clock::Milliseconds kMaintenanceSlack{ 1'500 };

const WorkerLoad*
LoadOf(const FleetView& aView, const Machine& aMachine)
{
  const auto pool = aView.pools_.find(aMachine.pool_);
  if (pool == aView.pools_.end()) {
    return nullptr;
  }
  const auto worker = pool->second.workers_.find(aMachine.worker_);
  return worker == pool->second.workers_.end() ? nullptr : &worker->second;
}

bool
IsStandby(const FleetView& aView, const Machine& aMachine)
{
  return aMachine.pool_ == aView.standbyPool_;
}

/** Tells whether nothing can run on a host, now and until it is opened again. */
bool
IsFree(const FleetView& aView, const Machine& aMachine)
{
  if (aMachine.state_ != MachineState::kUp || aView.busyMachines_.contains(aMachine.name_)) {
    return false;
  }
  if (IsStandby(aView, aMachine)) {
    return true;
  }
  const WorkerLoad* load = LoadOf(aView, aMachine);
  return load != nullptr && aView.pools_.at(aMachine.pool_).fresh_ && load->released_;
}

double
CoresPerHost(const FleetView& aView)
{
  double cores = 0;
  for (const Machine& machine : aView.machines_) {
    cores += static_cast<double>(machine.cpu_) / 1'000;
  }
  return aView.machines_.empty() ? 1 : std::max(cores / static_cast<double>(aView.machines_.size()), 1.0);
}

bool
IsInPool(const Machine& aMachine, const std::string& aPool)
{
  return aMachine.pool_ == aPool &&
         (aMachine.state_ == MachineState::kUp || aMachine.state_ == MachineState::kMoving ||
          aMachine.state_ == MachineState::kMaintenance);
}

/** Draws hosts from the standby pool; the pools that lack most come first. */
void
PlanDraws(const FleetView& aView, FleetPlan& aPlan)
{
  std::vector<const Machine*> reserve;
  for (const Machine& machine : aView.machines_) {
    if (IsStandby(aView, machine) && IsFree(aView, machine)) {
      reserve.push_back(&machine);
    }
  }
  std::vector<std::pair<double, std::string>> lacking;
  for (const auto& [pool, target] : aPlan.targets_) {
    const auto present = std::count_if(
      aView.machines_.begin(), aView.machines_.end(), [&pool = pool](const Machine& aMachine) {
        return IsInPool(aMachine, pool);
      });
    const double lack = std::ceil(target - static_cast<double>(present));
    if (lack >= 1) {
      lacking.emplace_back(lack, pool);
    }
  }
  while (!reserve.empty() && !lacking.empty()) {
    const auto neediest = std::max_element(lacking.begin(), lacking.end());
    aPlan.moves_.push_back({ reserve.back()->name_, neediest->second });
    reserve.pop_back();
    neediest->first -= 1;
    if (neediest->first < 1) {
      lacking.erase(neediest);
    }
  }
}

/** Closes idle hosts that a pool has beyond its need, and returns those that are released. */
void
PlanReturns(const FleetView& aView, const PlannerOptions& aOptions, FleetPlan& aPlan)
{
  for (const auto& [pool, target] : aPlan.targets_) {
    if (!aView.pools_.at(pool).fresh_) {
      continue;
    }
    std::vector<const Machine*> idle;
    int present = 0;
    for (const Machine& machine : aView.machines_) {
      if (!IsInPool(machine, pool)) {
        continue;
      }
      ++present;
      const WorkerLoad* load = LoadOf(aView, machine);
      if (machine.state_ == MachineState::kUp && load != nullptr && load->runs_ == 0 &&
          !aView.busyMachines_.contains(machine.name_)) {
        idle.push_back(&machine);
      }
    }
    // Hosts that are released already go first, or they would be opened again.
    std::stable_partition(idle.begin(), idle.end(), [&aView](const Machine* aMachine) {
      return IsFree(aView, *aMachine);
    });
    const int surplus = present - static_cast<int>(std::ceil(target)) - aOptions.slackHosts_;
    for (int i = 0; i < std::min(surplus, static_cast<int>(idle.size())); ++i) {
      const Machine& machine = *idle[static_cast<std::size_t>(i)];
      aPlan.closed_.insert(machine.worker_);
      if (IsFree(aView, machine)) {
        aPlan.moves_.push_back({ machine.name_, aView.standbyPool_ });
      }
    }
  }
}

const Machine*
FindMachine(const FleetView& aView, const std::string& aName)
{
  const auto found = std::find_if(aView.machines_.begin(),
                                  aView.machines_.end(),
                                  [&aName](const Machine& aMachine) { return aMachine.name_ == aName; });
  return found == aView.machines_.end() ? nullptr : &*found;
}

/** Orders the hosts of a wave: those on which nothing runs, then short work, then lasting tasks. */
int
RankForMaintenance(const FleetView& aView, const Machine& aMachine)
{
  if (IsFree(aView, aMachine)) {
    return 0;
  }
  const WorkerLoad* load = LoadOf(aView, aMachine);
  if (load == nullptr) {
    return 3;
  }
  return load->hasLasting_ ? 2 : 1;
}

void
PlanWave(const FleetView& aView, const WaveProgress& aWave, FleetPlan& aPlan)
{
  if (aWave.completed_) {
    return;
  }
  int down = 0;
  std::vector<std::pair<int, const Machine*>> pending;
  for (const auto& [name, state] : aWave.machines_) {
    if (state.phase_ == MaintenancePhase::kOrdered) {
      ++down;
      continue;
    }
    const Machine* machine = FindMachine(aView, name);
    if (state.phase_ != MaintenancePhase::kPending || machine == nullptr) {
      continue;
    }
    if (machine->state_ == MachineState::kMaintenance) {
      ++down; // Ordered by an earlier owner.
    } else if (machine->state_ == MachineState::kUp) {
      pending.emplace_back(RankForMaintenance(aView, *machine), machine);
    }
  }
  std::sort(pending.begin(), pending.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft.first, aLeft.second->name_) < std::pair(aRight.first, aRight.second->name_);
  });
  int room = aWave.request_.mostAtOnce_ - down;
  for (const auto& [rank, machine] : pending) {
    if (room-- <= 0) {
      return;
    }
    if (IsFree(aView, *machine)) {
      aPlan.maintenance_.push_back({ machine->name_, aWave.request_.number_ });
      std::erase_if(aPlan.moves_, [name = machine->name_](const MoveOrder& aMove) {
        return aMove.machine_ == name;
      });
    }
    if (!IsStandby(aView, *machine)) {
      aPlan.closed_.insert(machine->worker_);
      if (rank == 2) {
        aPlan.vacate_.insert(machine->worker_);
      }
    }
  }
}

} // namespace

double
HostsNeeded(const PoolDemand& aDemand, double aCoresPerHost, const PlannerOptions& aOptions)
{
  const double rise = aDemand.recentWork_ - aDemand.earlierWork_;
  const double arriving =
    std::max(aDemand.recentWork_, aDemand.recentWork_ + rise * aOptions.slopeWeight_) *
    aOptions.arrivalWeight_;
  const double waiting = aDemand.backlogWork_ * aOptions.backlogWeight_;
  const double cores =
    std::max(arriving, waiting) * aOptions.forecastFactor_ + aDemand.lastingCores_;
  return std::max(cores / aCoresPerHost, static_cast<double>(aOptions.keptHosts_));
}

FleetPlan
MakePlan(const FleetView& aView, const PlannerOptions& aOptions, clock::Moment /*aNow*/)
{
  FleetPlan plan;
  if (!aView.standbyPool_.empty()) {
    const double cores = CoresPerHost(aView);
    for (const auto& [pool, demand] : aView.pools_) {
      if (pool != aView.standbyPool_) {
        plan.targets_[pool] = HostsNeeded(demand, cores, aOptions);
      }
    }
    PlanDraws(aView, plan);
    if (aOptions.mayPark_) {
      PlanReturns(aView, aOptions, plan);
    }
  }
  for (const WaveProgress& wave : aView.waves_) {
    PlanWave(aView, wave, plan);
  }
  return plan;
}

void
UpdateWave(WaveProgress& aWave,
           const std::vector<Machine>& aMachines,
           clock::Milliseconds aMaintenanceTime,
           clock::Moment aNow)
{
  bool all = true;
  for (auto& [name, state] : aWave.machines_) {
    const auto machine =
      std::find_if(aMachines.begin(), aMachines.end(), [&name = name](const Machine& aMachine) {
        return aMachine.name_ == name;
      });
    if (machine == aMachines.end() || state.phase_ == MaintenancePhase::kDone) {
      continue; // A host that is gone for good does not hold the wave up.
    }
    if (state.phase_ == MaintenancePhase::kPending) {
      all = false;
      continue;
    }
    const bool isUp = machine->state_ == MachineState::kUp;
    state.seenAway_ = state.seenAway_ || !isUp || machine->worker_ != state.workerBefore_;
    const bool overdue = aNow - state.orderedAt_ > aMaintenanceTime + kMaintenanceSlack;
    if (isUp && (state.seenAway_ || (overdue && state.answered_))) {
      state.phase_ = MaintenancePhase::kDone;
    } else if (isUp && overdue) {
      state = {}; // No trace of the order: it is given again, which does no harm.
      all = false;
    } else {
      all = false;
    }
  }
  aWave.completed_ = all;
}

} // namespace quetzal::fleet
