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

/** The platform's list of live and leaving hosts, by name. It lags behind the hosts' state. */
using HostStates = std::map<std::string, HostState>;

/** Reads the platform's list of hosts. */
class HostList
{
public:
  HostList(const settings::Endpoint& aEndpoint, std::chrono::milliseconds aCallTimeout);

  /** Reads the list. Calls back with nothing if the platform gives no usable answer. */
  void Fetch(std::function<void(const std::optional<HostStates>&)> aCallback);

private:
  settings::Endpoint endpoint_;
  std::chrono::milliseconds callTimeout_;
  QNetworkAccessManager network_;
};

} // namespace quetzal::platform
