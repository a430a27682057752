#pragma once

#include "include/quetzal/connection/BackendConnection.h"

#include <QtCore/QObject>
#include <vector>

namespace quetzal::connection {

/** The open connections to one backend server. The set owns the connections. */
class ConnectionSet : public QObject
{
  Q_OBJECT

public:
  ConnectionSet(const settings::Endpoint& aEndpoint, QObject* aParent);

  int Size() const { return static_cast<int>(connections_.size()); }

  /** Returns the idle connection that received a byte most recently, or null if there is none.
   * @param aTrusted excludes suspect connections.
   * @param aExcept a connection to exclude, or null. */
  BackendConnection* FindIdle(bool aTrusted, const BackendConnection* aExcept) const;

  BackendConnection* Add();

  /** Closes and removes a connection immediately, without a signal. */
  void Discard(BackendConnection* aConnection);

  /** Marks as suspect every connection that has received no byte since that moment. */
  void MarkSuspectIfSilentSince(clock::Moment aMoment);
  void MarkAllSuspect();

Q_SIGNALS:
  void Answered(quetzal::connection::BackendConnection* aConnection,
                const quetzal::http::Response& aResponse);
  void Failed(quetzal::connection::BackendConnection* aConnection,
              quetzal::connection::ExchangeError aError);

private:
  settings::Endpoint endpoint_;
  std::vector<BackendConnection*> connections_;
};

} // namespace quetzal::connection
