#include "standins/platform/PlatformServer.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>

namespace standins::platform {
namespace {

using quetzal::http::Request;
using quetzal::http::Response;
using quetzal::http::ServerConnection;

constexpr std::chrono::milliseconds kLeaseCheckInterval{ 50 };
constexpr std::uint64_t kBodyBytes = 2 * 1024 * 1024;

quetzal::http::ServerLimits
MakeLimits()
{
  quetzal::http::ServerLimits limits;
  limits.message_.bodyBytes_ = kBodyBytes;
  return limits;
}

QJsonObject
ParseBody(const std::string& aBody)
{
  return QJsonDocument::fromJson(QByteArray::fromStdString(aBody)).object();
}

Response
ToResponse(const QJsonObject& aAnswer)
{
  const QByteArray bytes = QJsonDocument(aAnswer).toJson(QJsonDocument::Compact);
  return { 200, { { "Content-Type", "application/json" } }, bytes.toStdString() };
}

} // namespace

PlatformServer::PlatformServer(QObject* aParent)
  : QObject(aParent)
  , server_(MakeLimits())
{
  connect(&server_, &quetzal::http::Server::ConnectionArrived, this, &PlatformServer::OnConnection);
  connect(&leaseTimer_, &QTimer::timeout, this, [this] {
    if (!faults_.down_) {
      store_.ExpireLeases(std::chrono::steady_clock::now());
    }
  });
  leaseTimer_.start(kLeaseCheckInterval);
  store_.OnChange([this](const std::string& aKey, const QJsonObject& aEvent) {
    std::erase_if(watches_, [](const Watch& aWatch) { return aWatch.connection_.isNull(); });
    const QByteArray line = QJsonDocument(aEvent).toJson(QJsonDocument::Compact) + '\n';
    for (const Watch& watch : watches_) {
      if (watch.key_ == aKey && !faults_.silentWatches_ && !faults_.down_) {
        watch.connection_->SendChunk(line.toStdString());
      }
    }
  });
}

void
PlatformServer::Listen(const quetzal::settings::Endpoint& aEndpoint)
{
  server_.Listen(aEndpoint);
}

void
PlatformServer::OnConnection(ServerConnection* aConnection)
{
  connect(aConnection,
          &ServerConnection::RequestArrived,
          this,
          [this, aConnection](const Request& aRequest) { OnRequest(aConnection, aRequest); });
  connect(aConnection, &ServerConnection::RequestRefused, aConnection, [aConnection] {
    aConnection->Answer({ 400, {}, {} });
  });
}

void
PlatformServer::OnRequest(ServerConnection* aConnection, const Request& aRequest)
{
  const QJsonObject body = ParseBody(aRequest.body_);
  if (aRequest.target_.starts_with("/control/")) {
    OnControl(aConnection, aRequest.target_, body);
    return;
  }
  if (faults_.refuseConnections_) {
    aConnection->Abort();
    return;
  }
  if (faults_.down_) {
    return;
  }
  ++calls_[aRequest.target_];
  const QPointer<ServerConnection> connection = aConnection;
  const std::string path = aRequest.target_;
  QTimer::singleShot(faults_.delayMs_, this, [this, connection, path, body] {
    if (connection) {
      OnCall(connection, path, body);
    }
  });
}

QJsonObject
PlatformServer::Read(const QJsonObject& aBody) const
{
  return faults_.stale_ ? staleStore_.Range(aBody) : store_.Range(aBody);
}

void
PlatformServer::OnCall(ServerConnection* aConnection,
                       const std::string& aPath,
                       const QJsonObject& aBody)
{
  const auto now = std::chrono::steady_clock::now();
  if (aPath == "/v3/kv/range") {
    Answer(aConnection, Read(aBody));
  } else if (aPath == "/v3/kv/txn") {
    const QJsonObject answer = store_.Transact(aBody);
    if (faults_.loseWriteAnswers_ > 0) {
      --faults_.loseWriteAnswers_;
      aConnection->Abort();
      return;
    }
    Answer(aConnection, answer);
  } else if (aPath == "/v3/lease/grant") {
    Answer(aConnection, store_.GrantLease(aBody, now));
  } else if (aPath == "/v3/lease/keepalive") {
    Answer(aConnection, store_.KeepAlive(aBody, now));
  } else if (aPath == "/v3/lease/revoke") {
    Answer(aConnection, store_.RevokeLease(aBody));
  } else if (aPath == "/v3/watch") {
    StartWatch(aConnection, aBody);
  } else if (aPath == "/v1/hosts") {
    Answer(aConnection, HostList());
  } else {
    aConnection->Answer({ 404, {}, {} });
  }
}

void
PlatformServer::StartWatch(ServerConnection* aConnection, const QJsonObject& aBody)
{
  const QString key = aBody["create_request"].toObject()["key"].toString();
  watches_.push_back({ aConnection, QByteArray::fromBase64(key.toLatin1()).toStdString() });
  aConnection->StartStream(200);
  aConnection->SendChunk("{\"result\":{\"created\":true}}\n");
}

QJsonObject
PlatformServer::HostList() const
{
  QJsonArray hosts;
  for (const auto& [name, state] : hosts_) {
    hosts.append(QJsonObject{ { "name", QString::fromStdString(name) },
                              { "state", QString::fromStdString(state) } });
  }
  return { { "hosts", hosts } };
}

void
PlatformServer::OnControl(ServerConnection* aConnection,
                          const std::string& aPath,
                          const QJsonObject& aBody)
{
  if (aPath == "/control/faults") {
    SetFaults(aBody);
  } else if (aPath == "/control/hosts") {
    for (const QString& name : aBody.keys()) {
      hosts_[name.toStdString()] = aBody[name].toString().toStdString();
    }
  } else if (aPath == "/control/calls") {
    QJsonObject calls;
    for (const auto& [path, count] : calls_) {
      calls[QString::fromStdString(path)] = count;
    }
    aConnection->Answer(ToResponse(calls));
    return;
  }
  aConnection->Answer(ToResponse({}));
}

void
PlatformServer::SetFaults(const QJsonObject& aBody)
{
  const bool wasStale = faults_.stale_;
  faults_.down_ = aBody["down"].toBool();
  faults_.refuseConnections_ = aBody["refuse"].toBool();
  faults_.delayMs_ = aBody["delay_ms"].toInt();
  faults_.loseWriteAnswers_ = aBody["lose_write_answers"].toInt();
  faults_.silentWatches_ = aBody["silent_watches"].toBool();
  faults_.stale_ = aBody["stale"].toBool();
  if (faults_.stale_ && !wasStale) {
    staleStore_ = store_;
  }
}

void
PlatformServer::Answer(ServerConnection* aConnection, const QJsonObject& aAnswer)
{
  aConnection->Answer(ToResponse(aAnswer));
}

} // namespace standins::platform
