#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/http/OccupancyLimits.h"
#include "include/quetzal/settings/Node.h"
#include "include/quetzal/workers/LeaseTimes.h"

#include <optional>
#include <string>

namespace quetzal::node {

/** Settings of quetzal-jobd on one entry host. */
struct NodeSettings
{
  std::string name_;
  std::string address_; ///< IP address of this host.
  std::string availabilityZone_;
  settings::Endpoint peers_;
  settings::Endpoint callers_;
  settings::Endpoint ready_;
  settings::Endpoint metrics_;
  settings::Endpoint store_;
  settings::Endpoint hosts_;
  double hostOrdersPerSecond_ = 0;
  double hostReadsPerSecond_ = 0;
  std::optional<settings::Endpoint> advice_;
  clock::Milliseconds stopTime_{ 0 }; ///< Time from SIGTERM until the process must have exited.
  clock::Milliseconds fleetOrderGap_{
    0
  }; ///< Time between the last order of one owner of the fleet and the first of the next.
  clock::Milliseconds retention_{ 0 }; ///< Minimum time for which ended jobs remain visible.
  clock::Milliseconds maintenanceTime_{ 0 };
  clock::Milliseconds moveTime_{
    0
  }; ///< Time from an order to move a host until its worker has registered.
  double processorShare_ = 1; ///< Cores that this process may use.
  double farFactor_ = 1; ///< Duration of a task away from its data, as a multiple of that near it.
  workers::LeaseTimes leaseTimes_;
  http::HostLimits hostLimits_;

  bool operator==(const NodeSettings&) const = default;
};

/** Reads and checks a settings file. @throws settings::SettingsError. */
NodeSettings
MakeNodeSettings(const std::string& aFile);

} // namespace quetzal::node
