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

/** One caller's request on its way to a backend server. */
struct Ticket
{
  std::uint64_t id_ = 0;
  std::string service_;
  document::Route route_;
  http::Request request_; ///< As the backend server shall see it.
  std::string key_;       ///< Names a request that may be submitted again; may be empty.
  clock::Moment deadline_{};
};

/** How a ticket ended. The answer is set where the reason is kNone. */
struct Verdict
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

  /** Puts a document in force: pools of its backend servers come and go. */
  void SetView(const view::View& aView);
  const view::View& View() const { return view_; }

  /** Takes over the platform's list of hosts. */
  void SetHostStates(const platform::HostStates& aStates);

  /** Admits a request or refuses it at once. Finished() follows in either case. */
  void Submit(const Ticket& aTicket);

  /** Goes on with a request whose key was asked for. */
  void OnClaimDecided(const claims::ClaimResult& aVerdict);

  /** Drops a request whose caller has left. One that may be running is left to end. */
  void Cancel(std::uint64_t aId);

  /** Tells whether no request is queued or in flight. */
  bool IsIdle() const { return pending_.empty(); }

  /** Returns the pools of every service, for the sharing of slots. */
  std::vector<connection::BackendPool*> Pools() const;

  /** Returns how many requests of a service wait in the queue. */
  std::size_t QueuedOf(const std::string& aService) const;

Q_SIGNALS:
  void Finished(const quetzal::entry::Verdict& aVerdict);
  /** A request may go on only once it holds its key. */
  void ClaimWanted(const quetzal::claims::ClaimRequest& aRequest);
  /** A request that held its key has ended. */
  void ClaimEnded(const quetzal::claims::ClaimRequest& aRequest,
                  const quetzal::entry::Verdict& aVerdict);
  /** A request waits and no backend server has a free slot for it. */
  void SlotsWanted(const std::string& aService);

private:
  /** A retry that waits for a backend server that it has not tried. */
  struct Parked
  {
    std::uint64_t request_ = 0;
    clock::Moment until_{};
  };

  struct ServiceState
  {
    document::Service promise_;
    admission::Queue queue_;
    std::vector<Parked> parked_;
    retry::Budget budget_;
    std::map<document::WorkClass, admission::Latency> latency_;
    std::unique_ptr<BackendServers> servers_;
  };

  struct Pending
  {
    Ticket ticket_;
    int attempts_ = 0;
    std::set<std::string> tried_;
    std::string sentTo_; ///< The host that runs it; empty while it waits.
    clock::Moment arrived_{};
    bool claimed_ = false;           ///< It holds its key.
    bool abandoned_ = false;         ///< Its caller has left.
    bool wasSilent_ = false;         ///< An attempt was given up since nothing was heard of it.
    std::optional<Verdict> earlier_; ///< What the last attempt that may have run came to.
  };

  std::unique_ptr<BackendServers> MakeServers(const std::string& aService);

  outcome::Reason Admit(ServiceState& aState, const Ticket& aTicket);
  void Proceed(ServiceState& aState, const Pending& aPending);
  void Enqueue(ServiceState& aState, const Pending& aPending);
  void WaitForSlots(const ServiceState& aState);
  void Pump(ServiceState& aState);
  void PumpParked(ServiceState& aState);
  void Park(ServiceState& aState, const Pending& aPending);
  std::optional<std::size_t> Choose(const std::vector<routing::Candidate>& aCandidates);
  bool SendNext(ServiceState& aState);
  void Send(ServiceState& aState, Pending& aPending, const std::string& aHost);
  void OnJobEnded(const std::string& aHost, const connection::JobResult& aResult);
  void OnJobSilent(const std::string& aHost, std::uint64_t aRequest);
  static retry::RetryContext QuestionOf(const ServiceState& aState,
                                        const Pending& aPending,
                                        routing::AttemptState aAttempt);
  bool RetriesIfAllowed(ServiceState& aState,
                        Pending& aPending,
                        const connection::JobResult& aResult);
  void Finish(std::uint64_t aId, outcome::Reason aReason, const http::Response& aResponse = {});
  void DropDue();

  std::string availabilityZone_;
  metrics::Registry& metrics_;
  view::View view_;
  platform::HostStates hostStates_;
  std::map<std::string, ServiceState> services_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  QTimer dueTimer_;
  std::mt19937 random_;
};

} // namespace quetzal::entry
