#include "include/quetzal/http/Occupancy.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/ServerConnection.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/metrics/Registry.h"

#include <algorithm>
#include <malloc.h>

namespace quetzal::http {
namespace {

constexpr clock::Milliseconds kLogInterval{ 1'000 };
/** Setting the gauges at each change would cost more than the change itself. */
constexpr clock::Milliseconds kExportInterval{ 100 };
/** Freed memory is returned when the held bytes have fallen to this part of their peak. */
constexpr std::size_t kReturnDivisor = 4;

} // namespace

Occupancy::Occupancy(const OccupancyLimits& aLimits, metrics::Registry& aMetrics)
  : limits_(aLimits)
  , metrics_(aMetrics)
{
}

void
Occupancy::Add(ServerConnection& aConnection)
{
  occupants_[&aConnection] = { OccupantState::kIdle, 0, clock::Now() };
  Export();
}

void
Occupancy::Remove(ServerConnection& aConnection)
{
  const auto found = occupants_.find(&aConnection);
  if (found == occupants_.end()) {
    return;
  }
  Replace(found->second, {});
  occupants_.erase(found);
  Export();
}

void
Occupancy::Update(ServerConnection& aConnection, const Occupant& aOccupant)
{
  const auto found = occupants_.find(&aConnection);
  if (found != occupants_.end()) {
    Replace(found->second, aOccupant);
    Export();
  }
}

void
Occupancy::Replace(Occupant& aOld, const Occupant& aNew)
{
  heldBytes_ = heldBytes_ - aOld.heldBytes_ + aNew.heldBytes_;
  peakBytes_ = std::max(peakBytes_, heldBytes_);
  aOld = aNew;
  ReturnFreedMemory();
}

/** The allocator keeps freed blocks, so a burst of requests would occupy its memory for good. */
void
Occupancy::ReturnFreedMemory()
{
  const bool wasHigh = peakBytes_ > limits_.heldBytes_ / kReturnDivisor;
  if (wasHigh && heldBytes_ < peakBytes_ / kReturnDivisor) {
    peakBytes_ = heldBytes_;
    ::malloc_trim(0);
  }
}

void
Occupancy::EnforceHeldBytes()
{
  while (heldBytes_ > limits_.heldBytes_) {
    const auto index = RequestToEvict(List());
    if (!index) {
      return;
    }
    auto* connection = std::next(occupants_.begin(), static_cast<std::ptrdiff_t>(*index))->first;
    connection->EvictRequest();
    metrics_.Add("quetzal_evictions_total", { { "reason", "held-bytes" } });
    ReportEviction("request-evicted", evictedRequests_, requestsLoggedAt_);
  }
}

void
Occupancy::EnforceConnections()
{
  while (occupants_.size() > limits_.connections_) {
    const auto index = ConnectionToEvict(List());
    if (!index) {
      return;
    }
    auto* connection = std::next(occupants_.begin(), static_cast<std::ptrdiff_t>(*index))->first;
    Remove(*connection);
    connection->Abort();
    metrics_.Add("quetzal_evictions_total", { { "reason", "connections" } });
    ReportEviction("connection-evicted", evictedConnections_, connectionsLoggedAt_);
  }
}

void
Occupancy::ReportEviction(const char* aEvent, std::size_t& aCount, clock::Moment& aLoggedAt)
{
  ++aCount;
  const clock::Moment now = clock::Now();
  if (now - aLoggedAt < kLogInterval) {
    return;
  }
  log::Info("http",
            "event=",
            aEvent,
            " count=",
            aCount,
            " held=",
            heldBytes_,
            " connections=",
            occupants_.size());
  aLoggedAt = now;
  aCount = 0;
}

std::vector<Occupant>
Occupancy::List() const
{
  std::vector<Occupant> list;
  list.reserve(occupants_.size());
  for (const auto& [connection, occupant] : occupants_) {
    list.push_back(occupant);
  }
  return list;
}

void
Occupancy::Export()
{
  const clock::Moment now = clock::Now();
  if (now - exportedAt_ < kExportInterval) {
    return;
  }
  exportedAt_ = now;
  metrics_.SetGauge("quetzal_request_held_bytes", {}, static_cast<double>(heldBytes_));
  metrics_.SetGauge("quetzal_caller_connections", {}, static_cast<double>(occupants_.size()));
}

} // namespace quetzal::http
