#pragma once

#include "include/quetzal/admission/Latency.h"
#include "include/quetzal/admission/Queue.h"
#include "include/quetzal/claims/Claim.h"
#include "include/quetzal/document/Document.h"
#include "include/quetzal/entry/BackendServers.h"
#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/retry/Budget.h"
#include "include/quetzal/retry/Decision.h"
#include "include/quetzal/view/View.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace quetzal::entry {

/** A caller's request to a service. */
struct ServiceRequest
{
  std::uint64_t id_ = 0;
  std::string service_;
  document::Route route_;
  http::Request httpRequest_; ///< The request to forward to a backend server.
  std::string key_;           ///< The idempotency key, or empty.
  clock::Moment deadline_{};
};

/** How a request ended. The response is set if the reason is kNone. */
struct RequestResult
{
  std::uint64_t id_ = 0;
  outcome::Reason reason_ = outcome::Reason::kNone;
  http::Response response_;
};

/** Admits, queues, routes and retries the requests of every service. */
class Dispatcher : public QObject
{
  Q_OBJECT

public:
  Dispatcher(std::string aAvailabilityZone, metrics::Registry& aMetrics, QObject* aParent);
  ~Dispatcher() override;

  /** Applies a document if it is newer than the one in force: adds and retires services and the
   * pools of their backend servers. */
  void SetView(const view::View& aView);
  const view::View& View() const { return view_; }

  /** Sets the platform's list of hosts. */
  void SetHostStates(const platform::HostStates& aStates);

  /** Admits a request or refuses it immediately. Finished() follows in either case. */
  void Submit(const ServiceRequest& aRequest);

  /** Continues a request for which ClaimNeeded() was emitted. */
  void OnClaimDecided(const claims::ClaimResult& aResult);

  /** Notes that a request's caller has left. A request that is queued or waits for a retry is
   * dropped; otherwise the attempt runs to its end and is not retried. */
  void Cancel(std::uint64_t aId);

  /** Moves the deadlines of all pending requests to this moment at the latest. An attempt that is
   * already in flight keeps its own deadline. */
  void BoundDeadlines(clock::Moment aLatest);

  /** Ends all pending requests. Finished() is emitted for each, with the outcome kUnknown if the
   * request may have run. A request that is submitted later is not affected. */
  void EndAll();

  /** Returns whether no request is queued or in flight. */
  bool IsIdle() const { return pending_.empty(); }

  /** Returns the pools of every service, for the sharing of slots. */
  std::vector<connection::BackendPool*> Pools() const;

  /** Returns how many requests of a service wait for a slot, deferred retries included. */
  std::size_t CountQueued(const std::string& aService) const;

Q_SIGNALS:
  void Finished(const quetzal::entry::RequestResult& aResult);
  /** A request must claim its idempotency key before it is queued. */
  void ClaimNeeded(const quetzal::claims::ClaimRequest& aRequest);
  /** A request that holds its idempotency key has ended. */
  void ClaimEnded(const quetzal::claims::ClaimRequest& aRequest,
                  const quetzal::entry::RequestResult& aResult);
  /** A request waits because no backend server has a free slot for it. */
  void SlotsNeeded(const std::string& aService);

private:
  /** A retry that waits for a free slot of a backend server that has not been tried. */
  struct DeferredRetry
  {
    std::uint64_t request_ = 0;
    clock::Moment expiresAt_{};
  };

  struct ServiceState
  {
    document::Service promise_;
    admission::Queue queue_;
    std::vector<DeferredRetry> deferredRetries_;
    retry::Budget budget_;
    std::map<document::WorkClass, admission::Latency> latency_;
    std::unique_ptr<BackendServers> servers_;
  };

  struct PendingRequest
  {
    ServiceRequest request_;
    int attempts_ = 0;
    std::set<std::string> tried_;
    /** The pool of the current attempt, which outlives the attempt. Null while the request waits.
     */
    connection::BackendPool* pool_ = nullptr;
    clock::Moment arrivedAt_{};
    bool holdsKey_ = false;
    bool callerLeft_ = false;
    bool ending_ = false;           ///< EndAll() is ending the current attempt.
    bool hadSilentAttempt_ = false; ///< An attempt was abandoned because it was silent.
    /** The result of the last attempt that was answered or may have run. */
    std::optional<RequestResult> earlierResult_;
  };

  std::unique_ptr<BackendServers> MakeServers(const std::string& aService);

  outcome::Reason Admit(ServiceState& aState, const ServiceRequest& aRequest);
  void Proceed(ServiceState& aState, const PendingRequest& aPending);
  void Enqueue(ServiceState& aState, const PendingRequest& aPending);
  void WaitForSlots(const ServiceState& aState);
  void SendWaiting(ServiceState& aState);
  void SendDeferredRetries(ServiceState& aState);
  /** Removes a request from the queue or the deferred retries. @return false if it does not wait.
   */
  static bool RemoveWaiting(ServiceState& aState, const ServiceRequest& aRequest);
  void DeferRetry(ServiceState& aState, const PendingRequest& aPending);
  std::optional<std::size_t> Choose(const std::vector<routing::Candidate>& aCandidates);
  bool SendNext(ServiceState& aState);
  void Send(ServiceState& aState, PendingRequest& aPending, const std::string& aHost);
  void OnAttemptEnded(const std::string& aHost, const connection::AttemptResult& aResult);
  void OnAttemptSilent(std::uint64_t aRequest);
  static retry::RetryContext QuestionOf(const ServiceState& aState,
                                        const PendingRequest& aPending,
                                        routing::AttemptState aAttempt);
  bool RetryIfAllowed(ServiceState& aState,
                      PendingRequest& aPending,
                      const connection::AttemptResult& aResult);
  void Finish(std::uint64_t aId, outcome::Reason aReason, const http::Response& aResponse = {});
  void CheckQueues();
  void End(std::uint64_t aId);
  void OnLateClaim(const claims::ClaimResult& aResult);

  /** Claims that are not yet decided, of requests that have ended. */
  std::map<std::uint64_t, claims::ClaimRequest> lateClaims_;
  std::string availabilityZone_;
  metrics::Registry& metrics_;
  view::View view_;
  platform::HostStates hostStates_;
  std::map<std::string, ServiceState> services_;
  std::unordered_map<std::uint64_t, PendingRequest> pending_;
  QTimer queueTimer_;
  std::mt19937 random_;
};

} // namespace quetzal::entry
