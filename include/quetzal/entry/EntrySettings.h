#pragma once

#include "include/quetzal/http/ServerConnection.h"
#include "include/quetzal/settings/Node.h"

#include <string>
#include <vector>

/** The entry host: callers' requests in, backend servers' answers out. */
namespace quetzal::entry {

/** One entry host of the environment, as settings name it. */
struct EntryHost
{
  std::string name_;
  std::string availabilityZone_;
  settings::Endpoint peer_; ///< Where its entryd hears other entry hosts.

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
  std::vector<EntryHost> entryHosts_; ///< All of them, this one included.
  http::ServerLimits limits_;
  int maxCallers_ = 0;                        ///< Open callers' connections.
  std::chrono::milliseconds stopNotice_{ 0 }; ///< From the failing health check to the last accept.
  std::chrono::milliseconds hostListInterval_{ 0 };
  std::chrono::seconds claimRetention_{ 0 }; ///< How long a key stays known.
};

/** Reads and checks the settings. @throws settings::SettingsError. */
EntrySettings
MakeEntrySettings(const std::string& aFile);

/** Returns this entry host's own row. */
const EntryHost&
SelfOf(const EntrySettings& aSettings);

} // namespace quetzal::entry
