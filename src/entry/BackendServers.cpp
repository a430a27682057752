#include "include/quetzal/entry/BackendServers.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/document/DocumentQueries.h"
#include "include/quetzal/log/Log.h"

#include <algorithm>

namespace quetzal::entry {

using clock::Now;
using connection::BackendPool;

BackendServers::BackendServers(std::string aAvailabilityZone,
                               const platform::HostStates& aHostStates,
                               metrics::Registry& aMetrics,
                               QObject* aPoolParent)
  : availabilityZone_(std::move(aAvailabilityZone))
  , hostStates_(aHostStates)
  , metrics_(aMetrics)
  , poolParent_(aPoolParent)
{
}

void
BackendServers::ApplyDocument(const document::Document& aDocument,
                              const document::Service& aService)
{
  service_ = aService.name_;
  std::map<std::string, Server> servers;
  for (const document::Host* host : document::HostsOf(aDocument, aService)) {
    const auto known = servers_.find(host->name_);
    const bool same = known != servers_.end() && known->second.pool_->Host() == *host &&
                      known->second.pool_->Service().port_ == aService.port_;
    if (same) {
      known->second.pool_->SetService(aService);
      servers.insert(servers_.extract(known));
    } else {
      servers[host->name_].pool_ = MakePool(aService, *host);
    }
  }
  Retire();
  servers_ = std::move(servers);
}

void
BackendServers::Retire()
{
  for (auto& [host, server] : servers_) {
    server.pool_->Retire();
  }
  servers_.clear();
}

BackendPool*
BackendServers::MakePool(const document::Service& aService, const document::Host& aHost)
{
  auto* pool = new BackendPool(aService, aHost, metrics_, poolParent_);
  const std::string host = aHost.name_;
  connect(
    pool, &BackendPool::AttemptEnded, this, [this, host](const connection::AttemptResult& aResult) {
      Q_EMIT AttemptEnded(host, aResult);
    });
  connect(pool, &BackendPool::AttemptSilent, this, &BackendServers::AttemptSilent);
  connect(pool, &BackendPool::CapacityChanged, this, &BackendServers::CapacityChanged);
  return pool;
}

std::vector<BackendPool*>
BackendServers::Pools() const
{
  std::vector<BackendPool*> pools;
  for (const auto& [host, server] : servers_) {
    pools.push_back(server.pool_);
  }
  return pools;
}

bool
BackendServers::IsAvailable(const Server& aServer, clock::Moment aNow) const
{
  const auto listed = hostStates_.find(aServer.pool_->Host().name_);
  const bool leaving =
    listed != hostStates_.end() && listed->second == platform::HostState::kLeaving;
  return !leaving && aServer.pool_->State() == connection::HealthState::kHealthy &&
         !routing::IsEjected(aServer.failureStats_, aNow);
}

BackendServers::SlotCapacity
BackendServers::CapacityFor(document::WorkClass aClass) const
{
  SlotCapacity capacity;
  const auto now = Now();
  for (const auto& [host, server] : servers_) {
    if (IsAvailable(server, now)) {
      capacity.anyAvailable_ = true;
      capacity.slots_ +=
        server.pool_->RunningAttempts() + std::max(server.pool_->FreeSlots(aClass), 0);
    }
  }
  return capacity;
}

bool
BackendServers::HasFreeSlot(document::WorkClass aClass) const
{
  const auto now = Now();
  return std::any_of(servers_.begin(), servers_.end(), [this, aClass, now](const auto& aItem) {
    return IsAvailable(aItem.second, now) && aItem.second.pool_->FreeSlots(aClass) > 0;
  });
}

bool
BackendServers::HasAvailableExcept(const std::set<std::string>& aTried) const
{
  const auto now = Now();
  return std::any_of(servers_.begin(), servers_.end(), [this, &aTried, now](const auto& aItem) {
    return !aTried.contains(aItem.first) && IsAvailable(aItem.second, now);
  });
}

std::vector<routing::Candidate>
BackendServers::CandidatesFor(document::WorkClass aClass, const std::set<std::string>& aTried) const
{
  std::vector<routing::Candidate> candidates;
  candidates.reserve(servers_.size());
  const auto now = Now();
  for (const auto& [host, server] : servers_) {
    routing::Candidate candidate;
    candidate.host_ = host;
    candidate.sameZone_ = server.pool_->Host().availabilityZone_ == availabilityZone_;
    candidate.available_ = IsAvailable(server, now);
    candidate.tried_ = aTried.contains(host);
    candidate.freeSlots_ = server.pool_->FreeSlots(aClass);
    candidate.inFlight_ = server.pool_->UsedSlots();
    candidate.weight_ = routing::WeightOf(server.failureStats_, now);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void
BackendServers::RecordAttempt(const std::string& aHost, bool aFailed)
{
  const auto server = servers_.find(aHost);
  if (server == servers_.end()) {
    return;
  }
  routing::FailureStats& stats = server->second.failureStats_;
  stats = routing::Observe(stats, !aFailed);
  const auto now = Now();
  const auto ejected = std::count_if(servers_.begin(), servers_.end(), [now](const auto& aItem) {
    return routing::IsEjected(aItem.second.failureStats_, now);
  });
  if (!routing::ShouldEject(stats, static_cast<std::size_t>(ejected), servers_.size(), now)) {
    return;
  }
  stats = routing::Eject(stats, now);
  metrics_.Add("quetzal_ejections_total", { { "service", service_ } });
  log::Warn("routing", "Ejected host ", aHost, " from service ", service_);
}

} // namespace quetzal::entry
