#pragma once

#include "include/quetzal/http/Server.h"

#include <QtNetwork/QTcpServer>
#include <vector>

class QTcpSocket;

/** A TCP proxy that truncates, silences, delays and resets connections. */
namespace standins::proxy {

/** Faults of the proxied connections, set through POST /control/faults. */
struct Faults
{
  bool refuse_ = false;             ///< New connections are reset.
  bool silenceNew_ = false;         ///< New connections transfer nothing.
  int delayMs_ = 0;                 ///< Added in each direction.
  std::int64_t truncateAfter_ = -1; ///< Bytes of answers after which a connection is cut; -1: none.
};

/** Forwards connections from one listening address to one target. */
class FaultProxy : public QObject
{
  Q_OBJECT

public:
  FaultProxy(const quetzal::settings::Endpoint& aTarget, QObject* aParent = nullptr);

  void Listen(const quetzal::settings::Endpoint& aEndpoint,
              const quetzal::settings::Endpoint& aControl);

private:
  struct Link;

  void Accept();
  void Forward(const std::shared_ptr<Link>& aLink, bool aToTarget);
  void OnControl(quetzal::http::ServerConnection* aConnection,
                 const quetzal::http::Request& aRequest);
  void ResetAll();

  quetzal::settings::Endpoint target_;
  Faults faults_;
  std::vector<std::shared_ptr<Link>> links_;
  int accepted_ = 0;
  // Declared last, so that connections are closed before the state above is destroyed.
  QTcpServer listener_;
  quetzal::http::Server control_;
};

} // namespace standins::proxy
