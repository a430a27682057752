#pragma once

#include "include/quetzal/http/ServerConnection.h"
#include "include/quetzal/settings/Node.h"

#include <QtNetwork/QTcpServer>
#include <stdexcept>

namespace quetzal::http {

/** Thrown if a server cannot listen on its address. */
class ListenError : public std::runtime_error
{
public:
  ListenError(const settings::Endpoint& aEndpoint, const std::string& aCause);
};

/** Accepts connections and emits each as a ServerConnection, which it owns. */
class Server : public QObject
{
  Q_OBJECT

public:
  /** @param aOccupancy limits what the connections hold; null: no such limit. */
  explicit Server(const ServerLimits& aLimits,
                  QObject* aParent = nullptr,
                  Occupancy* aOccupancy = nullptr);

  /** Starts listening. @throws ListenError. */
  void Listen(const settings::Endpoint& aEndpoint);

  /** Stops listening, and closes each connection once it carries no request
   * (ServerConnection::CloseIfIdle). Connections that the kernel has accepted are served. */
  void StopListening();

  /** Ends the requests that have only partly arrived (ServerConnection::EndReading). */
  void EndReading();

  bool IsListening() const { return listener_.isListening(); }

  /** Returns the open connections. */
  QList<ServerConnection*> Connections() const;

Q_SIGNALS:
  void ConnectionArrived(quetzal::http::ServerConnection* aConnection);

private:
  void Accept();

  ServerLimits limits_;
  Occupancy* occupancy_;
  QTcpServer listener_;
};

} // namespace quetzal::http
