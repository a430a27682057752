#include "include/quetzal/node/PeerLinks.h"

#include "include/quetzal/log/Log.h"
#include "include/quetzal/wire/Frame.h"
#include "src/node/Envelope.h"

#include <QtCore/QPointer>
#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace quetzal::node {
namespace {

constexpr clock::Milliseconds kExpiryCheckInterval{ 100 };
/** Time limit for connecting, and for sent bytes to be acknowledged by the other host. */
constexpr clock::Milliseconds kConnectionTimeout{ 900 };

} // namespace

struct PeerLinks::Peer
{
  struct PendingCall
  {
    CallResultHandler done_;
    clock::Moment expiresAt_;
  };

  QTcpSocket* socket_ = nullptr;
  QByteArray unparsed_;
  std::map<std::int64_t, QByteArray> unsent_; ///< Frames to send once connected, by call.
  std::map<std::int64_t, PendingCall> calls_;
  bool connected_ = false;
  clock::Moment connectStartedAt_{};
};

PeerLinks::PeerLinks(QObject* aParent)
  : QObject(aParent)
  , server_(this)
{
  connect(&timer_, &QTimer::timeout, this, &PeerLinks::ExpireCalls);
  connect(&server_, &wire::LinkServer::LinkArrived, this, [this](wire::ServerLink* aLink) {
    connect(aLink, &wire::ServerLink::MessageArrived, this, [this, aLink](const auto& aPayload) {
      ServeCall(aLink, aPayload);
    });
  });
}

PeerLinks::~PeerLinks() = default;

void
PeerLinks::Serve(const settings::Endpoint& aEndpoint, IncomingCallHandler aHandler)
{
  handler_ = std::move(aHandler);
  server_.Listen(aEndpoint);
}

void
PeerLinks::ServeCall(wire::ServerLink* aLink, const std::string& aPayload)
{
  Envelope call;
  try {
    call = UnpackEnvelope(aPayload);
  } catch (const wire::WireError& error) {
    log::Warn("peers", "event=caller-dropped error=", error.what());
    aLink->Close();
    return;
  }
  const QPointer<wire::ServerLink> link(aLink);
  const auto reply = [link, number = call.number_](const std::string& aBody) {
    if (link) {
      link->Send(Pack({ number, 0, aBody }));
    }
  };
  handler_(static_cast<PeerMethod>(call.method_), call.body_, reply);
}

PeerLinks::Peer&
PeerLinks::PeerAt(const settings::Endpoint& aEndpoint)
{
  std::unique_ptr<Peer>& entry = peers_[aEndpoint];
  if (!entry) {
    entry = std::make_unique<Peer>();
  }
  Peer& peer = *entry;
  if (peer.socket_ != nullptr) {
    return peer;
  }
  auto* socket = new QTcpSocket(this);
  peer.socket_ = socket;
  peer.connectStartedAt_ = std::chrono::steady_clock::now();
  connect(socket, &QTcpSocket::connected, this, [&peer, socket] {
    const auto timeoutMs = static_cast<unsigned>(kConnectionTimeout.count());
    ::setsockopt(static_cast<int>(socket->socketDescriptor()),
                 IPPROTO_TCP,
                 TCP_USER_TIMEOUT,
                 &timeoutMs,
                 sizeof(timeoutMs));
    peer.connected_ = true;
    for (const auto& [number, frame] : peer.unsent_) {
      socket->write(frame);
    }
    peer.unsent_.clear();
  });
  connect(socket, &QTcpSocket::readyRead, this, [this, &peer] { OnBytes(peer); });
  connect(socket, &QTcpSocket::disconnected, this, [this, &peer] { DropConnection(peer); });
  connect(socket, &QTcpSocket::errorOccurred, this, [this, &peer] { DropConnection(peer); });
  socket->connectToHost(QHostAddress(QString::fromStdString(aEndpoint.address_)), aEndpoint.port_);
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  return peer;
}

void
PeerLinks::Call(const settings::Endpoint& aPeer,
                PeerMethod aMethod,
                const std::string& aBody,
                clock::Milliseconds aTimeout,
                CallResultHandler aDone)
{
  Peer& peer = PeerAt(aPeer);
  const std::int64_t number = nextCall_++;
  peer.calls_[number] = { std::move(aDone), std::chrono::steady_clock::now() + aTimeout };
  const QByteArray frame = wire::MakeFrame(Pack({ number, static_cast<int>(aMethod), aBody }));
  if (peer.connected_) {
    peer.socket_->write(frame);
  } else {
    peer.unsent_[number] = frame;
  }
  if (!timer_.isActive()) {
    timer_.start(kExpiryCheckInterval);
  }
}

void
PeerLinks::OnBytes(Peer& aPeer)
{
  if (aPeer.socket_ == nullptr) {
    return;
  }
  aPeer.unparsed_ += aPeer.socket_->readAll();
  try {
    while (const auto payload = wire::TakeFrame(aPeer.unparsed_)) {
      const Envelope answer = UnpackEnvelope(*payload);
      if (auto call = aPeer.calls_.extract(answer.number_); !call.empty()) {
        call.mapped().done_({ CallFailure::kNone, answer.body_ });
      }
    }
  } catch (const wire::WireError& error) {
    log::Warn("peers", "event=connection-dropped error=", error.what());
    DropConnection(aPeer);
  }
}

void
PeerLinks::DropConnection(Peer& aPeer)
{
  if (aPeer.socket_ == nullptr) {
    return;
  }
  QTcpSocket* socket = aPeer.socket_;
  aPeer.socket_ = nullptr;
  socket->disconnect(this);
  socket->abort();
  socket->deleteLater();
  const CallFailure failure = aPeer.connected_ ? CallFailure::kNoAnswer : CallFailure::kNotSent;
  aPeer.connected_ = false;
  aPeer.unparsed_.clear();
  aPeer.unsent_.clear();
  std::map<std::int64_t, Peer::PendingCall> calls;
  calls.swap(aPeer.calls_);
  for (const auto& [number, call] : calls) {
    call.done_({ failure, {} });
  }
}

void
PeerLinks::ExpireCalls()
{
  const clock::Moment now = std::chrono::steady_clock::now();
  bool waiting = false;
  for (auto& [endpoint, peer] : peers_) {
    if (peer->socket_ != nullptr && !peer->connected_ &&
        now - peer->connectStartedAt_ > kConnectionTimeout) {
      DropConnection(*peer);
      continue;
    }
    std::vector<CallResultHandler> expired;
    const CallFailure failure = peer->connected_ ? CallFailure::kNoAnswer : CallFailure::kNotSent;
    for (auto call = peer->calls_.begin(); call != peer->calls_.end();) {
      if (call->second.expiresAt_ > now) {
        ++call;
        continue;
      }
      expired.push_back(std::move(call->second.done_));
      peer->unsent_.erase(call->first);
      call = peer->calls_.erase(call);
    }
    if (!expired.empty()) {
      log::Warn("peers",
                "event=call-timeout peer=",
                settings::ToString(endpoint),
                " calls=",
                expired.size(),
                " dropped=",
                peer->calls_.size());
      // The connection may be silent (open but carrying nothing); the next call opens a new one.
      DropConnection(*peer);
    }
    for (const CallResultHandler& done : expired) {
      done({ failure, {} });
    }
    waiting = waiting || !peer->calls_.empty();
  }
  if (!waiting) {
    timer_.stop();
  }
}

} // namespace quetzal::node
