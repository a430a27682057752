#pragma once

#include "include/quetzal/connection/BackendConnection.h"

#include <QtCore/QObject>
#include <vector>

namespace quetzal::connection {

/** The open connections to one backend server. It owns them. */
class ConnectionSet : public QObject
{
  Q_OBJECT

public:
  ConnectionSet(const settings::Endpoint& aEndpoint, QObject* aParent);

  int Size() const { return static_cast<int>(connections_.size()); }

  /** Returns the idle connection that was heard of last; null where there is none.
   * @param aTrusted leaves out connections that must be proven first.
   * @param aExcept a connection that is left out; may be null. */
  BackendConnection* FindIdle(bool aTrusted, const BackendConnection* aExcept) const;

  BackendConnection* Add();

  /** Ends a connection at once. No signal of it follows. */
  void Discard(BackendConnection* aConnection);

  /** Every connection that was last heard of by then must be proven before its next use. */
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
