#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/settings/Node.h"

#include <QtCore/QByteArray>
#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <QtNetwork/QTcpServer>

class QTcpSocket;

namespace quetzal::wire {

/** One accepted connection from another process. It deletes itself once the connection is closed.
 */
class ServerLink : public QObject
{
  Q_OBJECT

public:
  ServerLink(QTcpSocket* aSocket, QObject* aParent);

  void Send(const std::string& aPayload);

  /** Closes the connection. Messages that have arrived but were not yet handled are dropped. */
  void Close();

Q_SIGNALS:
  void MessageArrived(const std::string& aPayload);
  void Ended();

private:
  void Read();

  QTcpSocket* socket_;
  QByteArray readBuffer_;
};

/** Accepts connections from other processes. */
class LinkServer : public QObject
{
  Q_OBJECT

public:
  explicit LinkServer(QObject* aParent = nullptr);

  /** Starts listening. @throws http::ListenError. */
  void Listen(const settings::Endpoint& aEndpoint);

Q_SIGNALS:
  void LinkArrived(quetzal::wire::ServerLink* aLink);

private:
  QTcpServer listener_;
};

/** The connection to one other process. It reconnects whenever the connection was lost, could not
 * be made, or nothing was received on it within the silence timeout. */
class ClientLink : public QObject
{
  Q_OBJECT

public:
  /** @param aSilenceTimeout the time without a received byte after which the link reconnects. */
  ClientLink(const settings::Endpoint& aEndpoint,
             clock::Milliseconds aSilenceTimeout,
             QObject* aParent);

  void Start();

  /** Sends a message if connected. @return whether the message was handed to the socket. */
  bool Send(const std::string& aPayload);

  bool IsConnected() const;

Q_SIGNALS:
  void Connected();
  void Disconnected();
  void MessageArrived(const std::string& aPayload);

private:
  void Connect();
  void Read();
  void OnDisconnected();

  settings::Endpoint endpoint_;
  clock::Milliseconds silenceTimeout_;
  QTcpSocket* socket_;
  QByteArray readBuffer_;
  QTimer reconnectTimer_;
  QTimer silenceTimer_;
  bool connected_ = false;
};

} // namespace quetzal::wire
