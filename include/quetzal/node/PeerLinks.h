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

/** What one entry host asks of another. */
enum class PeerMethod : int
{
  kJob = 1,    ///< A caller's request, for the owner of a cell.
  kReport = 2, ///< A cell's report, for the owner of the fleet.
};

enum class CallFailure : std::uint8_t
{
  kNone,
  kNotSent,  ///< The other host never had it.
  kNoAnswer, ///< It may have been carried out.
};

struct CallResult
{
  CallFailure failure_ = CallFailure::kNoAnswer;
  std::string body_;
};

using CallResultHandler = std::function<void(const CallResult&)>;
/** Answers a call; the reply may be given later. */
using IncomingCallHandler =
  std::function<void(PeerMethod, const std::string&, std::function<void(const std::string&)>)>;

/** Calls between entry hosts, over one connection to each that is made when it is first needed. */
class PeerLinks : public QObject
{
  Q_OBJECT

public:
  explicit PeerLinks(QObject* aParent);
  ~PeerLinks() override;

  /** Serves others' calls. @throws http::ListenError. */
  void Serve(const settings::Endpoint& aEndpoint, IncomingCallHandler aServer);

  void Call(const settings::Endpoint& aPeer,
            PeerMethod aMethod,
            const std::string& aBody,
            clock::Milliseconds aTime,
            CallResultHandler aDone);

private:
  struct Peer;

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
