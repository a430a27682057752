#include "include/quetzal/http/Server.h"

#include <QtNetwork/QTcpSocket>

namespace quetzal::http {
namespace {

/** Bound on the connections that the kernel queues until they are accepted. */
constexpr int kListenBacklog = 512;

} // namespace

ListenError::ListenError(const settings::Endpoint& aEndpoint, const std::string& aCause)
  : std::runtime_error("cannot listen on " + settings::ToString(aEndpoint) + ": " + aCause)
{
}

Server::Server(const ServerLimits& aLimits, QObject* aParent, Occupancy* aOccupancy)
  : QObject(aParent)
  , limits_(aLimits)
  , occupancy_(aOccupancy)
{
  listener_.setListenBacklogSize(kListenBacklog);
  listener_.setMaxPendingConnections(kListenBacklog);
  connect(&listener_, &QTcpServer::newConnection, this, &Server::Accept);
}

void
Server::Listen(const settings::Endpoint& aEndpoint)
{
  const QHostAddress address(QString::fromStdString(aEndpoint.address_));
  if (!listener_.listen(address, aEndpoint.port_)) {
    throw ListenError(aEndpoint, listener_.errorString().toStdString());
  }
}

void
Server::StopListening()
{
  // close() resets connections that are established but not yet accepted, so accept them first.
  for (int i = 0; i < kListenBacklog && listener_.waitForNewConnection(0); ++i) {
    Accept();
  }
  listener_.close();
  for (ServerConnection* connection : Connections()) {
    connection->CloseIfIdle();
  }
}

void
Server::EndReading()
{
  for (ServerConnection* connection : Connections()) {
    connection->EndReading();
  }
}

QList<ServerConnection*>
Server::Connections() const
{
  return findChildren<ServerConnection*>(Qt::FindDirectChildrenOnly);
}

void
Server::Accept()
{
  while (QTcpSocket* socket = listener_.nextPendingConnection()) {
    Q_EMIT ConnectionArrived(new ServerConnection(socket, limits_, this, occupancy_));
    if (occupancy_ != nullptr) {
      occupancy_->EnforceConnections();
    }
  }
}

} // namespace quetzal::http
