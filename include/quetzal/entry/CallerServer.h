#pragma once

#include "include/quetzal/entry/Dispatcher.h"
#include "include/quetzal/entry/EntrySettings.h"
#include "include/quetzal/http/Server.h"
#include "include/quetzal/process/StopSchedule.h"

#include <QtCore/QPointer>
#include <unordered_map>

namespace quetzal::entry {

/** The HTTP server for callers: submits their requests to the dispatcher and answers each with its
 * outcome. */
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

  /** Makes the health check fail, so that load balancers send no new requests. Requests that still
   * arrive are served within the schedule, or refused if the time is too short; each connection is
   * closed after its next response. */
  void StartStopping(const process::StopSchedule& aSchedule);

  /** Stops accepting connections and closes the idle ones. */
  void StopListening();

  /** Refuses the requests that have only partly arrived. */
  void EndReading() { server_.EndReading(); }

  int OpenConnections() const { return openConnections_; }

  /** Returns whether every accepted request is answered and every connection is closed. */
  bool IsDone() const;

private:
  void OnConnection(http::ServerConnection* aConnection);
  void OnRequest(http::ServerConnection* aConnection, const http::Request& aRequest);
  bool BoundDeadline(clock::Moment& aDeadline) const;
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
  /** The ID of the last request of each connection. It is used to cancel the request if the caller
   * leaves. */
  std::unordered_map<const QObject*, std::uint64_t> lastRequestIds_;
  std::uint64_t lastId_ = 0;
  int openConnections_ = 0;
  bool stopping_ = false;
  process::StopSchedule stopSchedule_;
  clock::Moment stopStartedAt_{};
  http::Occupancy occupancy_;
  // Last member: its connections are destroyed first, and their handlers use the members above.
  http::Server server_;
};

} // namespace quetzal::entry
