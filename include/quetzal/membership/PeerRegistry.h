#pragma once

#include "include/quetzal/settings/Node.h"
#include "include/quetzal/wire/Link.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <map>
#include <string>
#include <vector>

namespace quetzal::membership {

/** One process of the same kind on another entry host. */
struct Peer
{
  std::string name_;
  std::string availabilityZone_;
  settings::Endpoint endpoint_;

  auto operator<=>(const Peer&) const = default;
};

/** The connections to all peers, and which of them are alive: those that have answered lately. */
class PeerRegistry : public QObject
{
  Q_OBJECT

public:
  /** @param aSelf its own row of @p aPeers; it always counts as alive. */
  PeerRegistry(Peer aSelf, const std::vector<Peer>& aPeers, QObject* aParent);

  void Start();

  const Peer& Self() const { return self_; }

  /** Returns the names of every peer that is alive, of one availability zone. */
  std::vector<std::string> LiveIn(const std::string& aZone) const;

  /** Returns every configured name, this process's own included. */
  std::vector<std::string> Names() const;

  /** Sends a message to a peer. @return false where its connection does not stand. */
  bool Send(const std::string& aPeer, const std::string& aPayload);

Q_SIGNALS:
  void MessageArrived(const std::string& aPeer, const std::string& aPayload);
  /** A peer was found alive or dead. */
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
  void SetAlive(PeerEntry& aRow, bool aAlive);

  Peer self_;
  std::map<std::string, PeerEntry> peers_;
  QTimer heartbeatTimer_;
  std::string heartbeat_;
};

} // namespace quetzal::membership
