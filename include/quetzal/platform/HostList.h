#pragma once

#include "include/quetzal/settings/Node.h"

#include <QtNetwork/QNetworkAccessManager>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace quetzal::platform {

enum class HostState : std::uint8_t
{
  kLive,
  kLeaving,
};

/** The state of each host in the platform's list, by the host's name. The list lags behind the
 * hosts' actual state. */
using HostStates = std::map<std::string, HostState>;

/** Reads the platform's list of hosts. */
class HostList
{
public:
  HostList(const settings::Endpoint& aEndpoint, std::chrono::milliseconds aCallTimeout);

  /** Reads the list. The callback receives std::nullopt if the platform gives no usable answer. */
  void Fetch(std::function<void(const std::optional<HostStates>&)> aCallback);

private:
  settings::Endpoint endpoint_;
  std::chrono::milliseconds callTimeout_;
  QNetworkAccessManager network_;
};

} // namespace quetzal::platform
