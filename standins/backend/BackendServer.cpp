#include "standins/backend/BackendServer.h"

#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <QtCore/QUrlQuery>
#include <QtNetwork/QTcpSocket>
#include <algorithm>
#include <array>

namespace standins::backend {
namespace {

using quetzal::http::Request;
using quetzal::http::Response;

constexpr std::size_t kOversizedBytes = 16 * 1024 * 1024;

struct ModeName
{
  const char* name_;
  Mode mode_;
};

constexpr std::array<ModeName, 11> kModes = { {
  { "normal", Mode::kNormal },
  { "close-after-read", Mode::kCloseAfterRead },
  { "reset-after-read", Mode::kResetAfterRead },
  { "silent", Mode::kSilent },
  { "fail", Mode::kFail },
  { "refuse", Mode::kRefuse },
  { "truncate", Mode::kTruncate },
  { "surplus", Mode::kSurplus },
  { "oversized", Mode::kOversized },
  { "malformed", Mode::kMalformed },
  { "unframed", Mode::kUnframed },
} };

QUrlQuery
QueryOf(const Request& aRequest)
{
  const auto mark = aRequest.target_.find('?');
  return QUrlQuery(QString::fromStdString(
    mark == std::string::npos ? std::string() : aRequest.target_.substr(mark + 1)));
}

std::string
IdOf(const Request& aRequest)
{
  const std::string* id = quetzal::http::FindField(aRequest.fields_, "Quetzal-Request-Id");
  return id != nullptr ? *id : std::string();
}

void
Write(QTcpSocket* aSocket, const std::string& aBytes)
{
  aSocket->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
}

} // namespace

struct BackendServer::Connection
{
  Connection()
    : reader_(quetzal::http::Limits{ 64 * 1024, 16 * 1024 * 1024 })
  {
  }

  quetzal::http::RequestReader reader_;
  QByteArray pending_;
  bool busy_ = false;
};

BackendServer::BackendServer(std::string aName, QObject* aParent)
  : QObject(aParent)
  , name_(std::move(aName))
  , control_(quetzal::http::ServerLimits{})
{
  listener_.setListenBacklogSize(512);
  listener_.setMaxPendingConnections(512);
  connect(&listener_, &QTcpServer::newConnection, this, &BackendServer::Accept);
  connect(&control_,
          &quetzal::http::Server::ConnectionArrived,
          this,
          [this](quetzal::http::ServerConnection* aConnection) {
            connect(
              aConnection,
              &quetzal::http::ServerConnection::RequestArrived,
              this,
              [this, aConnection](const Request& aRequest) { OnControl(aConnection, aRequest); });
          });
}

void
BackendServer::Listen(const quetzal::settings::Endpoint& aRequests,
                      const quetzal::settings::Endpoint& aControl)
{
  const QHostAddress address(QString::fromStdString(aRequests.address_));
  if (!listener_.listen(address, aRequests.port_)) {
    throw quetzal::http::ListenError(aRequests, listener_.errorString().toStdString());
  }
  control_.Listen(aControl);
}

void
BackendServer::Accept()
{
  while (QTcpSocket* socket = listener_.nextPendingConnection()) {
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connections_[socket] = std::make_shared<Connection>();
    mostConnections_ = std::max(mostConnections_, static_cast<int>(connections_.size()));
    connect(socket, &QTcpSocket::readyRead, this, [this, socket] { Read(socket); });
    connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
      const auto connection = connections_.find(socket);
      if (connection != connections_.end() && connection->second->busy_) {
        ++cut_;
      }
      connections_.erase(socket);
      socket->deleteLater();
    });
  }
}

void
BackendServer::Read(QTcpSocket* aSocket)
{
  const auto connection = connections_.at(aSocket);
  connection->pending_ += aSocket->readAll();
  if (connection->busy_) {
    return;
  }
  const auto state = connection->reader_.Feed(connection->pending_);
  if (state == quetzal::http::ReadState::kFailed) {
    aSocket->abort();
    return;
  }
  if (state == quetzal::http::ReadState::kComplete) {
    Handle(aSocket, connection->reader_.Take());
  }
}

void
BackendServer::Record(const Request& aRequest)
{
  const std::string id = IdOf(aRequest);
  if (!id.empty()) {
    ++runs_[id];
  }
}

void
BackendServer::Handle(QTcpSocket* aSocket, const Request& aRequest)
{
  if (aRequest.target_ == "/health") {
    const bool healthy = !leaving_ && !stopping_;
    Write(aSocket,
          Serialize(Response{ healthy ? 200U : 503U, {}, healthy ? "ok\n" : "leaving\n" }, false));
    return;
  }
  if (mode_ == Mode::kRefuse) {
    Write(aSocket, Serialize(Response{ 503, {}, "busy\n" }, false));
    return;
  }
  Record(aRequest);
  if (mode_ != Mode::kNormal) {
    ApplyFault(aSocket);
    return;
  }
  connections_.at(aSocket)->busy_ = true;
  ++inFlight_;
  mostInFlight_ = std::max(mostInFlight_, inFlight_);
  const int workMs = QueryOf(aRequest).queryItemValue("work_ms").toInt();
  const QPointer<QTcpSocket> socket = aSocket;
  QTimer::singleShot(workMs, Qt::PreciseTimer, this, [this, socket, aRequest] {
    --inFlight_;
    if (socket) {
      Finish(socket, aRequest);
    }
    CheckStopped();
  });
}

void
BackendServer::Finish(QTcpSocket* aSocket, const Request& aRequest)
{
  const auto connection = connections_.find(aSocket);
  if (connection == connections_.end()) {
    return;
  }
  connection->second->busy_ = false;
  const QString bytes = QueryOf(aRequest).queryItemValue("bytes");
  Response response{ 200, { { "Content-Type", "text/plain" } }, {} };
  response.body_ = aRequest.method_ + " " + aRequest.target_ + " " + IdOf(aRequest) + "\n";
  response.body_ += aRequest.body_;
  response.body_.append(static_cast<std::size_t>(bytes.toULongLong()), 'x');
  response.keepAlive_ = !stopping_;
  Write(aSocket, Serialize(response, aRequest.method_ == "HEAD"));
  if (stopping_) {
    aSocket->disconnectFromHost();
    return;
  }
  Read(aSocket);
}

void
BackendServer::ApplyFault(QTcpSocket* aSocket)
{
  switch (mode_) {
    case Mode::kNormal:
    case Mode::kRefuse:
    case Mode::kSilent:
      return;
    case Mode::kCloseAfterRead:
      aSocket->disconnectFromHost();
      return;
    case Mode::kResetAfterRead:
      aSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
      aSocket->abort();
      return;
    case Mode::kFail:
      Write(aSocket, Serialize(Response{ 500, {}, "failed\n" }, false));
      return;
    case Mode::kTruncate:
      Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
      aSocket->disconnectFromHost();
      return;
    case Mode::kSurplus:
      Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
      Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
      return;
    case Mode::kOversized:
      Write(aSocket, Serialize(Response{ 200, {}, std::string(kOversizedBytes, 'x') }, false));
      return;
    case Mode::kMalformed:
      Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nabc");
      return;
    case Mode::kUnframed:
      Write(aSocket, "HTTP/1.1 200 OK\r\n\r\nno end");
      aSocket->disconnectFromHost();
      return;
  }
}

std::string
BackendServer::Report() const
{
  QJsonObject runs;
  for (const auto& [id, count] : runs_) {
    runs[QString::fromStdString(id)] = count;
  }
  const QJsonObject report{ { "name", QString::fromStdString(name_) },
                            { "runs", runs },
                            { "in_flight", inFlight_ },
                            { "most_in_flight", mostInFlight_ },
                            { "connections", static_cast<int>(connections_.size()) },
                            { "most_connections", mostConnections_ },
                            { "cut", cut_ } };
  return QJsonDocument(report).toJson(QJsonDocument::Compact).toStdString();
}

void
BackendServer::OnControl(quetzal::http::ServerConnection* aConnection, const Request& aRequest)
{
  const QString value = QString::fromStdString(aRequest.body_);
  if (aRequest.target_ == "/control/mode") {
    for (const ModeName& entry : kModes) {
      if (value == entry.name_) {
        mode_ = entry.mode_;
      }
    }
  } else if (aRequest.target_ == "/control/leaving") {
    leaving_ = value == "true";
  }
  aConnection->Answer({ 200, { { "Content-Type", "application/json" } }, Report() });
}

void
BackendServer::Stop()
{
  stopping_ = true;
  CheckStopped();
}

void
BackendServer::CheckStopped()
{
  if (stopping_ && inFlight_ == 0) {
    QTimer::singleShot(0, this, &BackendServer::Stopped);
  }
}

} // namespace standins::backend
