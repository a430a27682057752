#include "include/quetzal/membership/PeerRegistry.h"

#include "include/quetzal/log/Log.h"
#include "include/quetzal/membership/PeerMessages.h"
#include "include/quetzal/wire/Message.h"

namespace quetzal::membership {
namespace {

constexpr clock::Milliseconds kHeartbeatInterval{ 500 };
/** Three hellos without an answer. */
constexpr clock::Milliseconds kSilenceTimeout{ 1'600 };

} // namespace

PeerRegistry::PeerRegistry(Peer aSelf, const std::vector<Peer>& aPeers, QObject* aParent)
  : QObject(aParent)
  , self_(std::move(aSelf))
  , heartbeat_(wire::Pack(Heartbeat{ self_.name_ }))
{
  for (const Peer& peer : aPeers) {
    if (peer.name_ != self_.name_) {
      AddPeer(peer);
    }
  }
  connect(&heartbeatTimer_, &QTimer::timeout, this, &PeerRegistry::SendHeartbeats);
}

void
PeerRegistry::AddPeer(const Peer& aPeer)
{
  PeerEntry& row = peers_[aPeer.name_];
  row.peer_ = aPeer;
  row.link_ = new wire::ClientLink(aPeer.endpoint_, kSilenceTimeout, this);
  const std::string name = aPeer.name_;
  connect(row.link_, &wire::ClientLink::Connected, this, [this, name] {
    peers_.at(name).link_->Send(heartbeat_);
  });
  connect(row.link_, &wire::ClientLink::Disconnected, this, [this, name] {
    SetAlive(peers_.at(name), false);
  });
  connect(
    row.link_, &wire::ClientLink::MessageArrived, this, [this, name](const std::string& aPayload) {
      SetAlive(peers_.at(name), true);
      Q_EMIT MessageArrived(name, aPayload);
    });
}

void
PeerRegistry::Start()
{
  for (auto& [name, row] : peers_) {
    row.link_->Start();
  }
  heartbeatTimer_.start(kHeartbeatInterval);
}

void
PeerRegistry::SendHeartbeats()
{
  for (auto& [name, row] : peers_) {
    row.link_->Send(heartbeat_);
  }
}

void
PeerRegistry::SetAlive(PeerEntry& aRow, bool aAlive)
{
  if (aRow.alive_ == aAlive) {
    return;
  }
  aRow.alive_ = aAlive;
  log::Info("peers", aRow.peer_.name_, aAlive ? " is alive" : " is not heard");
  Q_EMIT LivenessChanged();
}

std::vector<std::string>
PeerRegistry::LiveIn(const std::string& aZone) const
{
  std::vector<std::string> live;
  if (self_.availabilityZone_ == aZone) {
    live.push_back(self_.name_);
  }
  for (const auto& [name, row] : peers_) {
    if (row.alive_ && row.peer_.availabilityZone_ == aZone) {
      live.push_back(name);
    }
  }
  return live;
}

std::vector<std::string>
PeerRegistry::Names() const
{
  std::vector<std::string> names{ self_.name_ };
  for (const auto& [name, row] : peers_) {
    names.push_back(name);
  }
  return names;
}

bool
PeerRegistry::Send(const std::string& aPeer, const std::string& aPayload)
{
  const auto row = peers_.find(aPeer);
  return row != peers_.end() && row->second.link_->Send(aPayload);
}

} // namespace quetzal::membership
