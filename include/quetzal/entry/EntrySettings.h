#pragma once

#include "include/quetzal/http/OccupancyLimits.h"
#include "include/quetzal/http/ServerConnection.h"
#include "include/quetzal/settings/Node.h"

#include <string>
#include <vector>

/** The entry host: forwards callers' requests to backend servers and returns their responses. */
namespace quetzal::entry {

/** One entry host of the environment, as listed in the settings. */
struct EntryHost
{
  std::string name_;
  std::string availabilityZone_;
  settings::Endpoint peer_; ///< Address at which its quetzal-entryd accepts other entry hosts.

  auto operator<=>(const EntryHost&) const = default;
};

/** The settings of quetzal-entryd. */
struct EntrySettings
{
  std::string name_;
  std::string availabilityZone_;
  std::string environment_;
  settings::Endpoint callers_;
  settings::Endpoint operators_;
  settings::Endpoint platform_;
  std::vector<EntryHost> entryHosts_; ///< All entry hosts, this one included.
  http::ServerLimits limits_;
  http::HostLimits hostLimits_;
  int maxCallers_ = 0; ///< Bound on open connections of callers.
  /** In a planned stop, the time from when the health check fails until listening stops. */
  std::chrono::milliseconds stopNotice_{ 0 };
  std::chrono::seconds stopTime_{ 0 }; ///< From the stop signal until the process is killed.
  std::chrono::milliseconds hostListInterval_{ 0 };
  std::chrono::seconds claimRetention_{ 0 }; ///< How long an idempotency key is remembered.
};

/** Reads and checks the settings. @throws settings::SettingsError. */
EntrySettings
MakeEntrySettings(const std::string& aFile);

/** Returns the entry of this host in entryHosts_. */
const EntryHost&
SelfOf(const EntrySettings& aSettings);

} // namespace quetzal::entry
