#pragma once

#include "include/quetzal/fleet/Planner.h"

#include <unordered_set>

namespace quetzal::fleet {

using HostNames = std::unordered_set<std::string>;

/** The hosts of one pool that all maintenance waves together may keep from new tasks. */
struct MaintenanceBudget
{
  int limit_ = 0;
  std::set<std::string> withheld_; ///< Hosts that are withheld now, by name.

  bool operator==(const MaintenanceBudget&) const = default;
};

/** Budgets by pool. Pools without long running tasks have none: their hosts are limited only by
 * each wave's own limit. */
using MaintenanceBudgets = std::map<std::string, MaintenanceBudget>;

/** Computes the budgets of all pools. The hosts that long running tasks need, and one further host
 * for each of a few waiting tasks, are kept. Each pool may still withhold one host, and as many as
 * the waves need to end when they are due, up to half of its hosts: tasks that can never be placed
 * do not stop a wave.
 * @param aPlan the moves planned so far; hosts that are to leave a pool no longer count as its. */
MaintenanceBudgets
MakeMaintenanceBudgets(const FleetView& aView,
                       const FleetPlan& aPlan,
                       const PlannerOptions& aOptions,
                       clock::Moment aNow);

/** Withholds a host, if its pool's budget allows that. A host that is withheld already, for another
 * wave or for a move, costs nothing.
 * @return whether the host is withheld. */
bool
WithholdHost(MaintenanceBudgets& aBudgets, const FleetPlan& aPlan, const Host& aHost);

/** Returns the hosts that are ordered for a wave, though the list may still show them as up. */
HostNames
OrderedHosts(const std::vector<WaveProgress>& aWaves);

/** Returns when a wave is due. */
clock::Moment
DueAt(const WaveProgress& aWave);

} // namespace quetzal::fleet
