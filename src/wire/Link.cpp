#include "include/quetzal/wire/Link.h"

#include "include/quetzal/http/Server.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/wire/Frame.h"

#include <QtNetwork/QTcpSocket>

namespace quetzal::wire {
namespace {

constexpr clock::Milliseconds kReconnectInterval{ 200 };

QHostAddress
AddressOf(const settings::Endpoint& aEndpoint)
{
  return QHostAddress(QString::fromStdString(aEndpoint.address_));
}

/** Removes every complete message from the front of a buffer and hands it to the handler.
 * @return false if the bytes are not valid frames; the caller must then close the connection. */
template<typename Handler>
bool
TakeMessages(QByteArray& aBuffer, const Handler& aHandler)
{
  try {
    while (const auto payload = TakeFrame(aBuffer)) {
      aHandler(*payload);
    }
    return true;
  } catch (const WireError& error) {
    log::Warn("wire", "Closing connection: ", error.what());
    return false;
  }
}

} // namespace

ServerLink::ServerLink(QTcpSocket* aSocket, QObject* aParent)
  : QObject(aParent)
  , socket_(aSocket)
{
  socket_->setParent(this);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(socket_, &QTcpSocket::readyRead, this, &ServerLink::Read);
  connect(socket_, &QTcpSocket::disconnected, this, [this] {
    Q_EMIT Ended();
    deleteLater();
  });
}

void
ServerLink::Send(const std::string& aPayload)
{
  socket_->write(MakeFrame(aPayload));
}

void
ServerLink::Close()
{
  readBuffer_.clear();
  socket_->abort();
}

void
ServerLink::Read()
{
  readBuffer_ += socket_->readAll();
  if (!TakeMessages(readBuffer_,
                    [this](const std::string& aPayload) { Q_EMIT MessageArrived(aPayload); })) {
    socket_->abort();
  }
}

LinkServer::LinkServer(QObject* aParent)
  : QObject(aParent)
{
  connect(&listener_, &QTcpServer::newConnection, this, [this] {
    while (QTcpSocket* socket = listener_.nextPendingConnection()) {
      Q_EMIT LinkArrived(new ServerLink(socket, this));
    }
  });
}

void
LinkServer::Listen(const settings::Endpoint& aEndpoint)
{
  if (!listener_.listen(AddressOf(aEndpoint), aEndpoint.port_)) {
    throw http::ListenError(aEndpoint, listener_.errorString().toStdString());
  }
}

ClientLink::ClientLink(const settings::Endpoint& aEndpoint,
                       clock::Milliseconds aSilenceTimeout,
                       QObject* aParent)
  : QObject(aParent)
  , endpoint_(aEndpoint)
  , silenceTimeout_(aSilenceTimeout)
  , socket_(new QTcpSocket(this))
{
  reconnectTimer_.setSingleShot(true);
  silenceTimer_.setSingleShot(true);
  connect(&reconnectTimer_, &QTimer::timeout, this, &ClientLink::Connect);
  connect(&silenceTimer_, &QTimer::timeout, this, &ClientLink::OnDisconnected);
  connect(socket_, &QTcpSocket::connected, this, [this] {
    connected_ = true;
    silenceTimer_.start(silenceTimeout_);
    Q_EMIT Connected();
  });
  connect(socket_, &QTcpSocket::readyRead, this, &ClientLink::Read);
  connect(socket_, &QTcpSocket::disconnected, this, &ClientLink::OnDisconnected);
  connect(socket_, &QTcpSocket::errorOccurred, this, &ClientLink::OnDisconnected);
}

void
ClientLink::Start()
{
  Connect();
}

void
ClientLink::Connect()
{
  readBuffer_.clear();
  silenceTimer_.start(silenceTimeout_);
  socket_->connectToHost(AddressOf(endpoint_), endpoint_.port_);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

bool
ClientLink::IsConnected() const
{
  return connected_;
}

bool
ClientLink::Send(const std::string& aPayload)
{
  if (!connected_) {
    return false;
  }
  socket_->write(MakeFrame(aPayload));
  return true;
}

void
ClientLink::Read()
{
  silenceTimer_.start(silenceTimeout_);
  readBuffer_ += socket_->readAll();
  if (!TakeMessages(readBuffer_,
                    [this](const std::string& aPayload) { Q_EMIT MessageArrived(aPayload); })) {
    OnDisconnected();
  }
}

void
ClientLink::OnDisconnected()
{
  if (reconnectTimer_.isActive()) {
    return;
  }
  reconnectTimer_.start(kReconnectInterval);
  silenceTimer_.stop();
  connected_ = false;
  socket_->abort();
  Q_EMIT Disconnected();
}

} // namespace quetzal::wire
