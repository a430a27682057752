#include "include/quetzal/entry/OperatorServer.h"

#include "include/quetzal/http/Server.h"

#include <QtHttpServer/QHttpServerResponse>

namespace quetzal::entry {

OperatorServer::OperatorServer(metrics::Registry& aMetrics, std::function<QByteArray()> aStatus)
{
  server_.route("/metrics", [&aMetrics] {
    return QHttpServerResponse("text/plain; version=0.0.4",
                               QByteArray::fromStdString(aMetrics.ToText()));
  });
  server_.route("/status", [status = std::move(aStatus)] {
    return QHttpServerResponse("application/json", status());
  });
}

void
OperatorServer::Listen(const settings::Endpoint& aEndpoint)
{
  const QHostAddress address(QString::fromStdString(aEndpoint.address_));
  if (server_.listen(address, aEndpoint.port_) == 0) {
    throw http::ListenError(aEndpoint, "the address is in use or does not belong to this host");
  }
}

} // namespace quetzal::entry
