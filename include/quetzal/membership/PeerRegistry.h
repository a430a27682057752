#pragma once

#include "include/quetzal/settings/Node.h"
#include "include/quetzal/wire/Link.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <map>
#include <string>
#include <vector>

namespace quetzal::membership {

/** An entry process on another entry host. */
struct Peer
{
  std::string name_;
  std::string availabilityZone_;
  settings::Endpoint endpoint_;

  auto operator<=>(const Peer&) const = default;
};

/** The connections to all peers and their liveness: a peer is alive while it answers heartbeats. */
class PeerRegistry : public QObject
{
  Q_OBJECT

public:
  /** @param aSelf this process's own entry of @p aPeers; it always counts as alive. */
  PeerRegistry(Peer aSelf, const std::vector<Peer>& aPeers, QObject* aParent);

  void Start();

  const Peer& Self() const { return self_; }

  /** Returns the names of the live processes in one availability zone, including this one. */
  std::vector<std::string> LiveIn(const std::string& aZone) const;

  /** Returns all configured names, including this process's own. */
  std::vector<std::string> Names() const;

  /** Sends a message to a peer. @return false if there is no connection. */
  bool Send(const std::string& aPeer, const std::string& aPayload);

Q_SIGNALS:
  void MessageArrived(const std::string& aPeer, const std::string& aPayload);
  /** A peer has become alive or has stopped answering. */
  void LivenessChanged();

private:
  struct PeerEntry
  {
    Peer peer_;
    wire::ClientLink* link_ = nullptr;
    bool alive_ = false;
  };

  void AddPeer(const Peer& aPeer);
  void SendHeartbeats();
  void SetAlive(PeerEntry& aEntry, bool aAlive);

  Peer self_;
  std::map<std::string, PeerEntry> peers_;
  QTimer heartbeatTimer_;
  std::string heartbeat_;
};

} // namespace quetzal::membership
