#include "include/quetzal/node/PeerLinks.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/wire/Frame.h"
#include "src/node/Envelope.h"
#include "src/node/PeerConnection.h"

#include <QtCore/QPointer>
#include <algorithm>

namespace quetzal::node {
namespace {

constexpr clock::Milliseconds kCheckInterval{ 100 };

} // namespace

PeerLinks::PeerLinks(QObject* aParent)
  : QObject(aParent)
  , server_(this)
{
  connect(&timer_, &QTimer::timeout, this, &PeerLinks::CheckAll);
  connect(&server_, &wire::LinkServer::LinkArrived, this, [this](wire::ServerLink* aLink) {
    connect(aLink, &wire::ServerLink::MessageArrived, this, [this, aLink](const auto& aPayload) {
      ServeCall(aLink, aPayload);
    });
  });
}

PeerLinks::~PeerLinks() = default;

// --- Incoming calls ------------------------------------------------------------------------------

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
      link->Send(Pack({ number, static_cast<int>(PeerMethod::kAnswer), aBody }));
    }
  };
  const auto method = static_cast<PeerMethod>(call.method_);
  if (method == PeerMethod::kPing) {
    reply({});
    return;
  }
  handler_(method, call.body_, reply);
}

// --- Outgoing calls ------------------------------------------------------------------------------

PeerConnection&
PeerLinks::ConnectionTo(const settings::Endpoint& aPeer)
{
  const Connections& connections = peers_[aPeer];
  return connections.empty() ? Open(aPeer) : *connections.back();
}

PeerConnection&
PeerLinks::Open(const settings::Endpoint& aPeer)
{
  auto* connection = new PeerConnection(aPeer, this);
  peers_[aPeer].push_back(connection);
  connect(connection, &PeerConnection::Closed, this, [this, aPeer, connection] {
    std::erase(peers_[aPeer], connection);
    connection->deleteLater();
  });
  return *connection;
}

void
PeerLinks::Call(const settings::Endpoint& aPeer,
                PeerMethod aMethod,
                const std::string& aBody,
                clock::Milliseconds aTimeout,
                CallResultHandler aDone)
{
  const std::int64_t number = nextNumber_++;
  const QByteArray frame = wire::MakeFrame(Pack({ number, static_cast<int>(aMethod), aBody }));
  ConnectionTo(aPeer).Call(number, frame, clock::Now() + aTimeout, std::move(aDone));
  if (!timer_.isActive()) {
    lastCheckAt_ = clock::Now();
    timer_.start(kCheckInterval);
  }
}

// --- Health --------------------------------------------------------------------------------------

void
PeerLinks::CheckAll()
{
  const clock::Moment now = clock::Now();
  const auto elapsed = std::chrono::duration_cast<clock::Milliseconds>(now - lastCheckAt_);
  lastCheckAt_ = now;
  bool anyBusy = false;
  // A call's handler may add a peer, which leaves iterators of a map valid.
  for (const auto& [peer, connections] : peers_) {
    CheckPeer(peer, elapsed);
    anyBusy = anyBusy || std::any_of(connections.begin(), connections.end(), [](const auto* aLink) {
                return !aLink->IsIdle();
              });
  }
  if (!anyBusy) {
    timer_.stop();
  }
}

void
PeerLinks::CheckPeer(const settings::Endpoint& aPeer, clock::Milliseconds aElapsed)
{
  const clock::Moment now = clock::Now();
  // A copy, because a call's handler may open or close connections.
  const Connections connections = peers_[aPeer];
  for (PeerConnection* connection : connections) {
    connection->ExpireCalls(now);
    if (connection->IsClosed()) {
      continue;
    }
    connection->Check(aElapsed);
    const bool isNewest = connection == connections.back();
    const auto successorAnswersFor =
      isNewest ? clock::Milliseconds(0) : connections.back()->AnswersFor(now);
    switch (connection->State(successorAnswersFor)) {
      case LinkState::kHealthy:
        break;
      case LinkState::kQuiet:
        connection->Ping(nextNumber_++);
        break;
      case LinkState::kSuspect:
        // If a replacement is open and answers nothing either, it is the host that is stalled.
        if (connections.size() == 1) {
          Replace(aPeer);
        }
        break;
      case LinkState::kSilent:
        log::Warn("peers",
                  "event=connection-silent peer=",
                  settings::ToString(aPeer),
                  " calls=",
                  connection->CallCount());
        connection->Close();
        break;
    }
    if (!isNewest && connection->CallCount() == 0) {
      connection->Close();
    }
  }
}

void
PeerLinks::Replace(const settings::Endpoint& aPeer)
{
  log::Info("peers", "event=connection-suspect peer=", settings::ToString(aPeer));
  // The ping shows whether the host is responsive, even if no call follows.
  Open(aPeer).Ping(nextNumber_++);
}

} // namespace quetzal::node
