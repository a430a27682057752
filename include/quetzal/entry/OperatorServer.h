#pragma once

#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/settings/Node.h"

#include <QtHttpServer/QHttpServer>
#include <functional>

namespace quetzal::entry {

/** The HTTP endpoint for operators: /metrics and /status. Each request is answered within its
 * handler. */
class OperatorServer
{
public:
  /** @param aStatus returns the status as JSON. */
  OperatorServer(metrics::Registry& aMetrics, std::function<QByteArray()> aStatus);

  /** Starts listening. @throws http::ListenError. */
  void Listen(const settings::Endpoint& aEndpoint);

private:
  QHttpServer server_;
};

} // namespace quetzal::entry
