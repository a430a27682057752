#include "include/quetzal/fleet/Wave.h"

#include "include/quetzal/document/DocumentQueries.h"

#include <algorithm>

namespace quetzal::fleet {
namespace {

using document::Document;
using document::Host;
using document::Service;

/** Returns a rack's unique name: racks of different availability zones may have the same name. */
std::string
RackOf(const Host& aHost)
{
  return aHost.availabilityZone_ + "/" + aHost.rack_;
}

/** Returns the healthy hosts of a service, counted by rack. */
std::map<std::string, int>
HealthyByRack(const Document& aDocument,
              const Service& aService,
              const UnavailableHosts& aUnavailable)
{
  std::map<std::string, int> byRack;
  for (const Host* host : document::HostsOf(aDocument, aService)) {
    if (!aUnavailable.contains(host->name_)) {
      ++byRack[RackOf(*host)];
    }
  }
  return byRack;
}

Margin
MakeMargin(const Service& aService, int aHosts, const std::map<std::string, int>& aHealthyByRack)
{
  Margin margin{ aService.name_, aHosts, 0, 0, aService.minHealthy_ };
  for (const auto& [rack, healthy] : aHealthyByRack) {
    margin.healthy_ += healthy;
    margin.worstRack_ = std::max(margin.worstRack_, healthy);
  }
  return margin;
}

Margin
MarginOf(const Document& aDocument, const Service& aService, const UnavailableHosts& aUnavailable)
{
  const auto hosts = static_cast<int>(document::HostsOf(aDocument, aService).size());
  return MakeMargin(aService, hosts, HealthyByRack(aDocument, aService, aUnavailable));
}

/** The healthy hosts of every service by rack. The counts are updated incrementally, since each
 * host is checked many times in a wave over a large fleet. */
class RackCounts
{
public:
  RackCounts(const Document& aDocument, const UnavailableHosts& aUnavailable)
  {
    services_.reserve(aDocument.services_.size());
    for (const Service& service : aDocument.services_) {
      const std::size_t index = services_.size();
      const auto hosts = document::HostsOf(aDocument, service);
      services_.push_back({ &service,
                            static_cast<int>(hosts.size()),
                            HealthyByRack(aDocument, service, aUnavailable) });
      for (const Host* host : hosts) {
        servicesOf_[host->name_].push_back(index);
      }
    }
  }

  /** Counts a host as stopped, if every service of its pool then keeps its promise.
   * @return whether the host was counted as stopped. */
  bool StopIfPromisesHold(const Host& aHost)
  {
    const std::vector<std::size_t>& affected = servicesOf_[aHost.name_];
    const std::string rack = RackOf(aHost);
    for (const std::size_t index : affected) {
      --services_[index].healthyByRack_[rack];
    }
    const bool promisesHold =
      std::all_of(affected.begin(), affected.end(), [this](std::size_t aIndex) {
        return services_[aIndex].KeepsPromise();
      });
    if (!promisesHold) {
      for (const std::size_t index : affected) {
        ++services_[index].healthyByRack_[rack];
      }
    }
    return promisesHold;
  }

private:
  struct ServiceCount
  {
    const Service* service_ = nullptr;
    int hosts_ = 0;
    std::map<std::string, int> healthyByRack_;

    bool KeepsPromise() const { return MakeMargin(*service_, hosts_, healthyByRack_).Spare() >= 0; }
  };

  std::vector<ServiceCount> services_;
  std::map<std::string, std::vector<std::size_t>> servicesOf_;
};

/** Returns the pending hosts in order of their racks: while a whole rack is stopped, its failure
 * costs no further hosts. */
std::vector<const Host*>
InRackOrder(const Document& aDocument, const std::set<std::string>& aPending)
{
  std::vector<const Host*> hosts;
  for (const Host& host : aDocument.hosts_) {
    if (aPending.contains(host.name_)) {
      hosts.push_back(&host);
    }
  }
  std::stable_sort(hosts.begin(), hosts.end(), [](const Host* aLeft, const Host* aRight) {
    return std::tie(aLeft->availabilityZone_, aLeft->rack_) <
           std::tie(aRight->availabilityZone_, aRight->rack_);
  });
  return hosts;
}

} // namespace

std::vector<Margin>
MarginsOf(const Document& aDocument, const UnavailableHosts& aUnavailable)
{
  std::vector<Margin> margins;
  for (const Service& service : aDocument.services_) {
    margins.push_back(MarginOf(aDocument, service, aUnavailable));
  }
  return margins;
}

std::vector<std::string>
NextBatch(const Document& aDocument,
          const UnavailableHosts& aUnavailable,
          const std::set<std::string>& aPending)
{
  std::vector<std::string> batch;
  RackCounts counts(aDocument, aUnavailable);
  for (const Host* host : InRackOrder(aDocument, aPending)) {
    if (aUnavailable.contains(host->name_) || counts.StopIfPromisesHold(*host)) {
      batch.push_back(host->name_);
    }
  }
  return batch;
}

WavePlan
PlanWave(const Document& aDocument)
{
  WavePlan plan;
  std::set<std::string> pending;
  for (const Host& host : aDocument.hosts_) {
    pending.insert(host.name_);
  }
  while (!pending.empty()) {
    const std::vector<std::string> batch = NextBatch(aDocument, {}, pending);
    if (batch.empty()) {
      break;
    }
    for (const std::string& host : batch) {
      pending.erase(host);
    }
    plan.batches_.push_back(batch);
  }
  plan.blockedHosts_ = std::move(pending);
  return plan;
}

} // namespace quetzal::fleet
