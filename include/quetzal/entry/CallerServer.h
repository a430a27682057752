#pragma once

#include "include/quetzal/entry/Dispatcher.h"
#include "include/quetzal/entry/EntrySettings.h"
#include "include/quetzal/http/Server.h"

#include <QtCore/QPointer>
#include <unordered_map>

namespace quetzal::entry {

/** The callers' side: takes their requests, and answers each with its outcome. */
class CallerServer : public QObject
{
  Q_OBJECT

public:
  CallerServer(const EntrySettings& aSettings,
               Dispatcher& aDispatcher,
               metrics::Registry& aMetrics,
               QObject* aParent);

  /** Starts listening. @throws http::ListenError. */
  void Listen();

  /** Tells the balancer to send no more; requests that come nevertheless are served. */
  void StartStopping();

  /** Accepts no further connection, and ends idle ones. */
  void StopListening();

  /** Tells whether every accepted request was answered and its connection ended. */
  bool IsDone() const;

private:
  void OnConnection(http::ServerConnection* aConnection);
  void OnRequest(http::ServerConnection* aConnection, const http::Request& aRequest);
  void OnFinished(const RequestResult& aResult);
  void Refuse(http::ServerConnection* aConnection, outcome::Reason aReason);
  void Reply(http::ServerConnection* aConnection,
             outcome::Reason aReason,
             const http::Response& aResponse);
  void CountOutcome(outcome::Reason aReason);

  EntrySettings settings_;
  Dispatcher& dispatcher_;
  metrics::Registry& metrics_;
  std::unordered_map<std::uint64_t, QPointer<http::ServerConnection>> waitingConnections_;
  /** The last request of each connection. */
  std::unordered_map<const QObject*, std::uint64_t> lastRequestIds_;
  std::uint64_t lastId_ = 0;
  int openConnections_ = 0;
  bool stopping_ = false;
  // Last, so that its connections end while the state above still stands.
  http::Server server_;
};

} // namespace quetzal::entry
