#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/node/PeerCall.h"
#include "include/quetzal/settings/Node.h"
#include "include/quetzal/wire/Link.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <functional>
#include <map>
#include <vector>

namespace quetzal::node {

class PeerConnection;

/** Handles an incoming call; the reply may be sent later. */
using IncomingCallHandler =
  std::function<void(PeerMethod, const std::string&, std::function<void(const std::string&)>)>;

/** Calls between entry hosts, over one connection to each host that is opened on first use. A
 * connection on which nothing arrives is replaced; until it is closed, the calls sent on it can
 * still be answered. */
class PeerLinks : public QObject
{
  Q_OBJECT

public:
  explicit PeerLinks(QObject* aParent);
  ~PeerLinks() override;

  /** Listens for calls from other hosts. @throws http::ListenError. */
  void Serve(const settings::Endpoint& aEndpoint, IncomingCallHandler aHandler);

  /** Sends a call. @param aDone is called once, and not before this function has returned. */
  void Call(const settings::Endpoint& aPeer,
            PeerMethod aMethod,
            const std::string& aBody,
            clock::Milliseconds aTimeout,
            CallResultHandler aDone);

private:
  /** The connections to one host, oldest first. The newest takes new calls. */
  using Connections = std::vector<PeerConnection*>;

  void ServeCall(wire::ServerLink* aLink, const std::string& aPayload);
  PeerConnection& ConnectionTo(const settings::Endpoint& aPeer);
  PeerConnection& Open(const settings::Endpoint& aPeer);
  void CheckAll();
  void CheckPeer(const settings::Endpoint& aPeer, clock::Milliseconds aElapsed);
  void Replace(const settings::Endpoint& aPeer);

  std::map<settings::Endpoint, Connections> peers_;
  wire::LinkServer server_;
  IncomingCallHandler handler_;
  std::int64_t nextNumber_ = 1; ///< Of the next call or ping.
  QTimer timer_;
  clock::Moment lastCheckAt_{};
};

} // namespace quetzal::node
