#include "src/node/PeerConnection.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/wire/Frame.h"
#include "src/node/Envelope.h"

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace quetzal::node {
namespace {

/** Time limit for sent bytes to be acknowledged by the other host's kernel. */
constexpr clock::Milliseconds kAcknowledgementTimeout{ 900 };

} // namespace

PeerConnection::PeerConnection(const settings::Endpoint& aPeer, QObject* aParent)
  : QObject(aParent)
  , peer_(aPeer)
  , socket_(new QTcpSocket(this))
{
  connect(socket_, &QTcpSocket::connected, this, &PeerConnection::OnConnected);
  connect(socket_, &QTcpSocket::readyRead, this, &PeerConnection::OnBytes);
  // Queued, because connectToHost() may emit an error before the first call has been added.
  connect(socket_, &QTcpSocket::disconnected, this, &PeerConnection::Close, Qt::QueuedConnection);
  connect(socket_, &QTcpSocket::errorOccurred, this, &PeerConnection::Close, Qt::QueuedConnection);
  socket_->connectToHost(QHostAddress(QString::fromStdString(aPeer.address_)), aPeer.port_);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

PeerConnection::~PeerConnection()
{
  socket_->disconnect(this);
}

void
PeerConnection::OnConnected()
{
  const auto timeoutMs = static_cast<unsigned>(kAcknowledgementTimeout.count());
  ::setsockopt(static_cast<int>(socket_->socketDescriptor()),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &timeoutMs,
               sizeof(timeoutMs));
  health_ = AfterConnecting(health_);
  std::map<std::int64_t, QByteArray> unsent;
  unsent.swap(unsent_);
  for (const auto& [number, frame] : unsent) {
    Send(number, frame);
  }
}

void
PeerConnection::Send(std::int64_t aNumber, const QByteArray& aFrame)
{
  if (!health_.connected_) {
    unsent_[aNumber] = aFrame;
    return;
  }
  socket_->write(aFrame);
  health_ = AfterSending(health_);
  if (const auto call = calls_.find(aNumber); call != calls_.end()) {
    call->second.state_.sent_ = true;
  }
}

void
PeerConnection::Call(std::int64_t aNumber,
                     const QByteArray& aFrame,
                     clock::Moment aExpiresAt,
                     CallResultHandler aDone)
{
  calls_[aNumber] = { { aExpiresAt, false }, std::move(aDone) };
  Send(aNumber, aFrame);
}

void
PeerConnection::Ping(std::int64_t aNumber)
{
  health_.pinged_ = true;
  Send(aNumber, wire::MakeFrame(Pack(MakePing(aNumber))));
}

void
PeerConnection::OnBytes()
{
  if (!firstBytesAt_) {
    firstBytesAt_ = clock::Now();
  }
  unparsed_ += socket_->readAll();
  try {
    while (const auto payload = wire::TakeFrame(unparsed_)) {
      const Envelope answer = UnpackEnvelope(*payload);
      if (auto call = calls_.extract(answer.number_); !call.empty()) {
        call.mapped().done_({ CallFailure::kNone, answer.body_ });
      }
    }
  } catch (const wire::WireError& error) {
    log::Warn("peers",
              "event=connection-dropped peer=",
              settings::ToString(peer_),
              " calls=",
              calls_.size(),
              " error=",
              error.what());
    Close();
    return;
  }
  health_ = AfterReceiving(health_, !calls_.empty());
}

void
PeerConnection::ExpireCalls(clock::Moment aNow)
{
  std::vector<WaitingCall> expired;
  for (auto call = calls_.begin(); call != calls_.end();) {
    if (!IsExpired(call->second.state_, aNow)) {
      ++call;
      continue;
    }
    expired.push_back(std::move(call->second));
    unsent_.erase(call->first);
    call = calls_.erase(call);
  }
  if (expired.empty()) {
    return;
  }
  log::Warn(
    "peers", "event=call-timeout peer=", settings::ToString(peer_), " calls=", expired.size());
  for (const WaitingCall& call : expired) {
    call.done_({ FailureOf(call.state_), {} });
  }
}

void
PeerConnection::Check(clock::Milliseconds aElapsed)
{
  health_ = AfterCheck(health_, aElapsed);
}

void
PeerConnection::Close()
{
  if (closed_) {
    return;
  }
  closed_ = true;
  socket_->disconnect(this);
  socket_->abort();
  unparsed_.clear();
  std::map<std::int64_t, WaitingCall> calls;
  calls.swap(calls_);
  Q_EMIT Closed();
  for (const auto& [number, call] : calls) {
    call.done_({ FailureOf(call.state_), {} });
  }
}

clock::Milliseconds
PeerConnection::AnswersFor(clock::Moment aNow) const
{
  return firstBytesAt_ ? std::chrono::duration_cast<clock::Milliseconds>(aNow - *firstBytesAt_)
                       : clock::Milliseconds(0);
}

} // namespace quetzal::node
