#pragma once

#include "include/quetzal/http/Eviction.h"
#include "include/quetzal/http/OccupancyLimits.h"

#include <map>

namespace quetzal::metrics {
class Registry;
}

namespace quetzal::http {

class ServerConnection;

/** What all connections of a process hold together. Keeps it within the limits by refusing
 * unfinished requests and closing quiet connections. The connections and the metrics are not owned;
 * the occupancy outlives the connections. */
class Occupancy
{
public:
  Occupancy(const OccupancyLimits& aLimits, metrics::Registry& aMetrics);

  void Add(ServerConnection& aConnection);
  void Remove(ServerConnection& aConnection);

  /** Records what a connection holds now. */
  void Update(ServerConnection& aConnection, const Occupant& aOccupant);

  /** Refuses unfinished requests until the held bytes are within the limit. */
  void EnforceHeldBytes();

  /** Closes connections until their number is within the limit. */
  void EnforceConnections();

private:
  using Occupants = std::map<ServerConnection*, Occupant>;

  std::vector<Occupant> List() const;
  void Replace(Occupant& aOld, const Occupant& aNew);
  void ReturnFreedMemory();
  void ReportEviction(const char* aEvent, std::size_t& aCount, clock::Moment& aLoggedAt);
  /** Sets the gauges, at most ten times a second. */
  void Export();

  OccupancyLimits limits_;
  metrics::Registry& metrics_;
  Occupants occupants_;
  std::size_t heldBytes_ = 0;
  std::size_t peakBytes_ = 0; ///< Since freed memory was last returned to the system.
  std::size_t evictedRequests_ = 0;
  std::size_t evictedConnections_ = 0;
  clock::Moment exportedAt_{};
  clock::Moment requestsLoggedAt_{};
  clock::Moment connectionsLoggedAt_{};
};

} // namespace quetzal::http
