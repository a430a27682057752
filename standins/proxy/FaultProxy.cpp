#include "standins/proxy/FaultProxy.h"

#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <QtNetwork/QTcpSocket>

namespace standins::proxy {

using quetzal::http::ServerConnection;

struct FaultProxy::Link
{
  QPointer<QTcpSocket> near_;
  QPointer<QTcpSocket> far_;
  bool silent_ = false;
  std::int64_t answered_ = 0;
};

FaultProxy::FaultProxy(const quetzal::settings::Endpoint& aTarget, QObject* aParent)
  : QObject(aParent)
  , target_(aTarget)
  , control_(quetzal::http::ServerLimits{})
{
  listener_.setMaxPendingConnections(512);
  connect(&listener_, &QTcpServer::newConnection, this, &FaultProxy::Accept);
  connect(&control_,
          &quetzal::http::Server::ConnectionArrived,
          this,
          [this](ServerConnection* aConnection) {
            connect(aConnection,
                    &ServerConnection::RequestArrived,
                    this,
                    [this, aConnection](const quetzal::http::Request& aRequest) {
                      OnControl(aConnection, aRequest);
                    });
          });
}

void
FaultProxy::Listen(const quetzal::settings::Endpoint& aEndpoint,
                   const quetzal::settings::Endpoint& aControl)
{
  const QHostAddress address(QString::fromStdString(aEndpoint.address_));
  if (!listener_.listen(address, aEndpoint.port_)) {
    throw quetzal::http::ListenError(aEndpoint, listener_.errorString().toStdString());
  }
  control_.Listen(aControl);
}

void
FaultProxy::Accept()
{
  while (QTcpSocket* near = listener_.nextPendingConnection()) {
    ++accepted_;
    near->setParent(this);
    connect(near, &QTcpSocket::disconnected, near, &QObject::deleteLater);
    if (faults_.refuse_) {
      near->abort();
      continue;
    }
    auto link = std::make_shared<Link>();
    auto* far = new QTcpSocket(this);
    link->near_ = near;
    link->far_ = far;
    link->silent_ = faults_.silenceNew_;
    links_.push_back(link);
    near->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    far->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(near, &QTcpSocket::readyRead, this, [this, link] { Forward(link, true); });
    connect(far, &QTcpSocket::readyRead, this, [this, link] { Forward(link, false); });
    connect(far, &QTcpSocket::connected, this, [this, link] { Forward(link, true); });
    connect(near, &QTcpSocket::disconnected, far, [link] {
      if (!link->silent_ && link->far_) {
        link->far_->disconnectFromHost();
      }
    });
    connect(far, &QTcpSocket::errorOccurred, near, [link] {
      if (!link->silent_ && link->near_) {
        link->near_->disconnectFromHost();
      }
    });
    connect(far, &QTcpSocket::disconnected, far, &QObject::deleteLater);
    far->connectToHost(QHostAddress(QString::fromStdString(target_.address_)), target_.port_);
  }
}

void
FaultProxy::Forward(const std::shared_ptr<Link>& aLink, bool aToTarget)
{
  const QPointer<QTcpSocket> from = aToTarget ? aLink->near_ : aLink->far_;
  const QPointer<QTcpSocket> to = aToTarget ? aLink->far_ : aLink->near_;
  if (!from || !to || (aToTarget && to->state() != QAbstractSocket::ConnectedState)) {
    return;
  }
  QByteArray bytes = from->readAll();
  if (aLink->silent_ || bytes.isEmpty()) {
    return;
  }
  bool cut = false;
  if (!aToTarget && faults_.truncateAfter_ >= 0) {
    const auto room = std::max<std::int64_t>(0, faults_.truncateAfter_ - aLink->answered_);
    cut = bytes.size() > room;
    bytes.truncate(static_cast<qsizetype>(std::min<std::int64_t>(room, bytes.size())));
  }
  aLink->answered_ += aToTarget ? 0 : bytes.size();
  const auto deliver = [aLink, to, bytes, cut] {
    if (!to || aLink->silent_) {
      return;
    }
    to->write(bytes);
    if (cut) {
      to->disconnectFromHost();
    }
  };
  if (faults_.delayMs_ > 0) {
    QTimer::singleShot(faults_.delayMs_, Qt::PreciseTimer, this, deliver);
  } else {
    deliver();
  }
}

void
FaultProxy::ResetAll()
{
  for (const auto& link : links_) {
    if (link->near_) {
      link->near_->abort();
    }
    if (link->far_) {
      link->far_->abort();
    }
  }
  links_.clear();
}

void
FaultProxy::OnControl(ServerConnection* aConnection, const quetzal::http::Request& aRequest)
{
  const QJsonObject body =
    QJsonDocument::fromJson(QByteArray::fromStdString(aRequest.body_)).object();
  if (aRequest.target_ == "/control/faults") {
    faults_.refuse_ = body["refuse"].toBool();
    faults_.silenceNew_ = body["silence_new"].toBool();
    faults_.delayMs_ = body["delay_ms"].toInt();
    faults_.truncateAfter_ = body["truncate_after"].toInt(-1);
  } else if (aRequest.target_ == "/control/silence") {
    for (const auto& link : links_) {
      link->silent_ = true;
    }
  } else if (aRequest.target_ == "/control/reset") {
    ResetAll();
  }
  const QJsonObject report{ { "accepted", accepted_ } };
  aConnection->Answer({ 200, {}, QJsonDocument(report).toJson().toStdString() });
}

} // namespace standins::proxy
