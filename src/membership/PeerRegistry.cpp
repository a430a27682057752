#include "include/quetzal/membership/PeerRegistry.h"

#include "include/quetzal/log/Log.h"
#include "include/quetzal/membership/PeerMessages.h"
#include "include/quetzal/wire/Message.h"

namespace quetzal::membership {
namespace {

constexpr clock::Milliseconds kHeartbeatInterval{ 500 };
/** A peer that has sent nothing for this time, about three heartbeats, is not alive. */
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
  PeerEntry& entry = peers_[aPeer.name_];
  entry.peer_ = aPeer;
  entry.link_ = new wire::ClientLink(aPeer.endpoint_, kSilenceTimeout, this);
  const std::string name = aPeer.name_;
  connect(entry.link_, &wire::ClientLink::Connected, this, [this, name] {
    peers_.at(name).link_->Send(heartbeat_);
  });
  connect(entry.link_, &wire::ClientLink::Disconnected, this, [this, name] {
    SetAlive(peers_.at(name), false);
  });
  connect(entry.link_,
          &wire::ClientLink::MessageArrived,
          this,
          [this, name](const std::string& aPayload) {
            SetAlive(peers_.at(name), true);
            Q_EMIT MessageArrived(name, aPayload);
          });
}

void
PeerRegistry::Start()
{
  for (auto& [name, entry] : peers_) {
    entry.link_->Start();
  }
  heartbeatTimer_.start(kHeartbeatInterval);
}

void
PeerRegistry::SendHeartbeats()
{
  for (auto& [name, entry] : peers_) {
    entry.link_->Send(heartbeat_);
  }
}

void
PeerRegistry::SetAlive(PeerEntry& aEntry, bool aAlive)
{
  if (aEntry.alive_ == aAlive) {
    return;
  }
  aEntry.alive_ = aAlive;
  log::Info("peers", aEntry.peer_.name_, aAlive ? " is alive" : " is not answering heartbeats");
  Q_EMIT LivenessChanged();
}

std::vector<std::string>
PeerRegistry::LiveIn(const std::string& aZone) const
{
  std::vector<std::string> live;
  if (self_.availabilityZone_ == aZone) {
    live.push_back(self_.name_);
  }
  for (const auto& [name, entry] : peers_) {
    if (entry.alive_ && entry.peer_.availabilityZone_ == aZone) {
      live.push_back(name);
    }
  }
  return live;
}

std::vector<std::string>
PeerRegistry::Names() const
{
  std::vector<std::string> names{ self_.name_ };
  for (const auto& [name, entry] : peers_) {
    names.push_back(name);
  }
  return names;
}

bool
PeerRegistry::Send(const std::string& aPeer, const std::string& aPayload)
{
  const auto entry = peers_.find(aPeer);
  return entry != peers_.end() && entry->second.link_->Send(aPayload);
}

} // namespace quetzal::membership
