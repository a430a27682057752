#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/settings/Node.h"
#include "include/quetzal/wire/Link.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <functional>
#include <map>
#include <optional>

namespace quetzal::node {

/** The calls between entry hosts; sent as a number. */
enum class PeerMethod : int
{
  kJob = 1,    ///< A caller's request, for the owner of a cell.
  kReport = 2, ///< A cell's report, for the owner of the fleet.
};

enum class CallFailure : std::uint8_t
{
  kNone,
  kNotSent,  ///< The call was not sent to the other host.
  kNoAnswer, ///< The other host may have executed the call.
};

struct CallResult
{
  CallFailure failure_ = CallFailure::kNoAnswer;
  std::string body_;
};

using CallResultHandler = std::function<void(const CallResult&)>;
/** Handles an incoming call; the reply may be sent later. */
using IncomingCallHandler =
  std::function<void(PeerMethod, const std::string&, std::function<void(const std::string&)>)>;

/** Calls between entry hosts, over one connection to each host that is opened on first use. */
class PeerLinks : public QObject
{
  Q_OBJECT

public:
  explicit PeerLinks(QObject* aParent);
  ~PeerLinks() override;

  /** Listens for calls from other hosts. @throws http::ListenError. */
  void Serve(const settings::Endpoint& aEndpoint, IncomingCallHandler aHandler);

  void Call(const settings::Endpoint& aPeer,
            PeerMethod aMethod,
            const std::string& aBody,
            clock::Milliseconds aTimeout,
            CallResultHandler aDone);

private:
  struct Peer;

  void ServeCall(wire::ServerLink* aLink, const std::string& aPayload);
  Peer& PeerAt(const settings::Endpoint& aEndpoint);
  void OnBytes(Peer& aPeer);
  void DropConnection(Peer& aPeer);
  void ExpireCalls();

  std::map<settings::Endpoint, std::unique_ptr<Peer>> peers_;
  wire::LinkServer server_;
  IncomingCallHandler handler_;
  std::int64_t nextCall_ = 1;
  QTimer timer_;
};

} // namespace quetzal::node
