#include "include/quetzal/fleet/Planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace quetzal::fleet {
namespace {

/** Added to the time that maintenance takes before an order without a trace is repeated. */
constexpr clock::Milliseconds kMaintenanceSlack{ 1'500 };
/** The part of a host that a pool does without. */
constexpr double kRounding = 0.2;

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

HostSize
SizeOfHosts(const FleetView& aView)
{
  HostSize size{ 0, 0 };
  for (const Machine& machine : aView.machines_) {
    size.cores_ += static_cast<double>(machine.cpu_) / 1'000;
    size.memory_ += static_cast<double>(machine.memory_);
  }
  const double hosts = std::max(static_cast<double>(aView.machines_.size()), 1.0);
  return { std::max(size.cores_ / hosts, 1.0), std::max(size.memory_ / hosts, 1.0) };
}

bool
IsInPool(const Machine& aMachine, const std::string& aPool)
{
  return aMachine.pool_ == aPool &&
         (aMachine.state_ == MachineState::kUp || aMachine.state_ == MachineState::kMoving ||
          aMachine.state_ == MachineState::kMaintenance);
}

/** What the plan for pools knows of one host that might leave its pool. */
struct Source
{
  const Machine* machine_ = nullptr;
  int runs_ = 0;
  bool closed_ = false;
  bool free_ = false;
};

/** Returns the hosts that a pool may give away, those that cost it least first. */
std::vector<Source>
SourcesOf(const FleetView& aView, const std::string& aPool)
{
  std::vector<Source> sources;
  for (const Machine& machine : aView.machines_) {
    const WorkerLoad* load = LoadOf(aView, machine);
    if (machine.pool_ != aPool || machine.state_ != MachineState::kUp || load == nullptr ||
        load->hasLasting_ || aView.busyMachines_.contains(machine.name_)) {
      continue;
    }
    sources.push_back({ &machine, load->runs_, load->closed_, IsFree(aView, machine) });
  }
  // Hosts that are closed already come first, or they would be opened again.
  std::sort(sources.begin(), sources.end(), [](const Source& aLeft, const Source& aRight) {
    return std::make_tuple(!aLeft.free_, !aLeft.closed_, aLeft.runs_, aLeft.machine_->name_) <
           std::make_tuple(!aRight.free_, !aRight.closed_, aRight.runs_, aRight.machine_->name_);
  });
  return sources;
}

/** Counts a pool's hosts. @param aOpenOnly not those that are still to come. */
int
HostsIn(const FleetView& aView, const std::string& aPool, bool aOpenOnly = false)
{
  return static_cast<int>(
    std::count_if(aView.machines_.begin(), aView.machines_.end(), [&](const Machine& aMachine) {
      return IsInPool(aMachine, aPool) && (!aOpenOnly || aMachine.state_ == MachineState::kUp);
    }));
}

/** Gives hosts to the pools that lack most, as long as there are any. */
void
GiveTo(std::map<std::string, int>& aLacking, std::vector<const Machine*>& aHosts, FleetPlan& aPlan)
{
  while (!aHosts.empty() && !aLacking.empty()) {
    const auto neediest =
      std::max_element(aLacking.begin(), aLacking.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    aPlan.moves_.push_back({ aHosts.back()->name_, neediest->first });
    aHosts.pop_back();
    if (--neediest->second <= 0) {
      aLacking.erase(neediest);
    }
  }
}

/** Moves hosts to where they are needed, and those that nobody needs to the standby pool. */
void
PlanMoves(const FleetView& aView, const PlannerOptions& aOptions, FleetPlan& aPlan)
{
  std::map<std::string, int> lacking;
  std::map<std::string, int> surplus;
  int lack = 0;
  for (const auto& [pool, target] : aPlan.targets_) {
    const int difference = static_cast<int>(std::ceil(target - kRounding)) - HostsIn(aView, pool);
    if (difference > 0) {
      lacking[pool] = difference;
      lack += difference;
    } else if (difference < 0 && aView.pools_.at(pool).fresh_) {
      surplus[pool] = -difference;
    }
  }
  std::vector<const Machine*> reserve;
  for (const Machine& machine : aView.machines_) {
    if (IsStandby(aView, machine) && IsFree(aView, machine)) {
      reserve.push_back(&machine);
    }
  }
  lack -= static_cast<int>(reserve.size());
  std::vector<const Machine*> released;
  for (const auto& [pool, count] : surplus) {
    // Idle hosts go to the reserve; hosts at work are closed only where another pool lacks them.
    int idle = count - (lack > 0 ? 0 : aOptions.slackHosts_);
    int busy = lack >= aOptions.leastLack_ ? std::min(count, lack) : 0;
    for (const Source& source : SourcesOf(aView, pool)) {
      const bool isIdle = source.runs_ == 0;
      if (isIdle ? idle-- <= 0 : busy-- <= 0) {
        continue;
      }
      if (isIdle) {
        --busy;
      } else {
        --idle;
      }
      aPlan.closed_.insert(source.machine_->worker_);
      if (source.free_) {
        released.push_back(source.machine_);
      }
    }
  }
  GiveTo(lacking, reserve, aPlan);
  GiveTo(lacking, released, aPlan);
  if (aOptions.mayPark_) {
    for (const Machine* machine : released) {
      aPlan.moves_.push_back({ machine->name_, aView.standbyPool_ });
    }
  }
}

const Machine*
FindMachine(const FleetView& aView, const std::string& aName)
{
  const auto found =
    std::find_if(aView.machines_.begin(), aView.machines_.end(), [&aName](const Machine& aMachine) {
      return aMachine.name_ == aName;
    });
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
    return std::pair(aLeft.first, aLeft.second->name_) <
           std::pair(aRight.first, aRight.second->name_);
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

std::map<std::string, double>
ShareHosts(const std::map<std::string, PoolDemand>& aPools,
           double aHosts,
           const HostSize& aHost,
           const PlannerOptions& aOptions)
{
  std::map<std::string, double> shares;
  double left = aHosts;
  const auto share = [&](const auto& aNeedOf) {
    double total = 0;
    for (const auto& [pool, demand] : aPools) {
      total += std::max(aNeedOf(demand) - shares[pool], 0.0);
    }
    const double part = total > left ? left / total : 1;
    for (const auto& [pool, demand] : aPools) {
      const double given = std::max(aNeedOf(demand) - shares[pool], 0.0) * part;
      shares[pool] += given;
      left -= given;
    }
    left = std::max(left, 0.0);
  };
  const auto lastingHosts = [&](const PoolDemand& aDemand) {
    return std::max(aDemand.lastingCores_ / aHost.cores_,
                    aDemand.lastingMemory_ / (aHost.memory_ * aOptions.memoryFill_));
  };
  const auto urgentHosts = [&](const PoolDemand& aDemand) {
    return lastingHosts(aDemand) + aDemand.urgentCores_ * aOptions.margin_ / aHost.cores_;
  };
  const auto forecastHosts = [&](const PoolDemand& aDemand) {
    return lastingHosts(aDemand) +
           std::max(aDemand.forecastCores_ * aOptions.margin_ / aHost.cores_,
                    static_cast<double>(aOptions.keptHosts_));
  };
  share(lastingHosts);
  share(urgentHosts);
  share(forecastHosts);
  return shares;
}

FleetPlan
MakePlan(const FleetView& aView, const PlannerOptions& aOptions, clock::Moment /*aNow*/)
{
  FleetPlan plan;
  if (!aView.standbyPool_.empty()) {
    std::map<std::string, PoolDemand> pools = aView.pools_;
    pools.erase(aView.standbyPool_);
    int hosts = HostsIn(aView, aView.standbyPool_);
    for (const auto& [pool, demand] : pools) {
      hosts += HostsIn(aView, pool);
    }
    plan.targets_ = ShareHosts(pools, hosts, SizeOfHosts(aView), aOptions);
    for (auto& [pool, target] : plan.targets_) {
      const int stuck = std::min(pools.at(pool).stuckTasks_, aOptions.mostStuckHosts_);
      if (stuck > 0) {
        target = std::max(target, static_cast<double>(HostsIn(aView, pool, true) + stuck));
      }
    }
    PlanMoves(aView, aOptions, plan);
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
