#include "include/quetzal/connection/ConnectionSet.h"

namespace quetzal::connection {

ConnectionSet::ConnectionSet(const settings::Endpoint& aEndpoint, QObject* aParent)
  : QObject(aParent)
  , endpoint_(aEndpoint)
{
}

BackendConnection*
ConnectionSet::FindIdle(bool aTrusted, const BackendConnection* aExcept) const
{
  BackendConnection* best = nullptr;
  for (BackendConnection* connection : connections_) {
    if (!connection->IsIdle() || connection == aExcept) {
      continue;
    }
    if (aTrusted && connection->IsSuspect()) {
      continue;
    }
    if (best == nullptr || connection->LastReceivedAt() > best->LastReceivedAt()) {
      best = connection;
    }
  }
  return best;
}

BackendConnection*
ConnectionSet::Add()
{
  auto* connection = new BackendConnection(endpoint_, this);
  connections_.push_back(connection);
  connect(connection,
          &BackendConnection::AnswerArrived,
          this,
          [this, connection](const http::Response& aResponse) {
            Q_EMIT Answered(connection, aResponse);
          });
  connect(connection,
          &BackendConnection::ExchangeFailed,
          this,
          [this, connection](ExchangeError aError) { Q_EMIT Failed(connection, aError); });
  connect(
    connection, &BackendConnection::IdleClosed, this, [this, connection] { Discard(connection); });
  return connection;
}

void
ConnectionSet::Discard(BackendConnection* aConnection)
{
  aConnection->Abort();
  std::erase(connections_, aConnection);
  aConnection->deleteLater();
}

void
ConnectionSet::MarkSuspectIfSilentSince(clock::Moment aMoment)
{
  for (BackendConnection* connection : connections_) {
    if (connection->LastReceivedAt() <= aMoment) {
      connection->MarkSuspect();
    }
  }
}

void
ConnectionSet::MarkAllSuspect()
{
  for (BackendConnection* connection : connections_) {
    connection->MarkSuspect();
  }
}

} // namespace quetzal::connection
