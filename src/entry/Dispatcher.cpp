#include "include/quetzal/entry/Dispatcher.h"

#include "include/quetzal/admission/QueueCommands.h"
#include "include/quetzal/admission/QueueQueries.h"
#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/Status.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/retry/Decision.h"

#include <algorithm>
#include <utility>

namespace quetzal::entry {
namespace {

using clock::Now;
using connection::AttemptResult;
using document::WorkClass;
using outcome::Reason;

constexpr clock::Milliseconds kQueueCheckInterval{ 5 };
/** How long a retry waits for a free slot of a backend server that the request has not tried.
 * After this time, the retry may run on a backend server that was tried before. */
constexpr clock::Milliseconds kDeferredRetryTimeout{ 50 };

clock::Milliseconds
TimeLeft(clock::Moment aDeadline)
{
  return std::chrono::duration_cast<clock::Milliseconds>(aDeadline - Now());
}

admission::QueuedRequest
ToWaiting(const ServiceRequest& aRequest)
{
  return { aRequest.deadline_, aRequest.id_, aRequest.route_.class_ };
}

/** Returns the queue with all deadlines moved to this moment at the latest. */
admission::Queue
WithBoundedDeadlines(const admission::Queue& aQueue, clock::Moment aLatest)
{
  admission::Queue bounded;
  bounded.consecutiveQuick_ = aQueue.consecutiveQuick_;
  for (const auto* requests : { &aQueue.quick_, &aQueue.long_ }) {
    for (admission::QueuedRequest request : *requests) {
      request.deadline_ = std::min(request.deadline_, aLatest);
      admission::Push(bounded, request);
    }
  }
  return bounded;
}

/** Returns whether the request must claim its idempotency key: the caller may resubmit the
 * request, and the request must not run twice. */
bool
NeedsClaim(const ServiceRequest& aRequest)
{
  return !aRequest.key_.empty() && !aRequest.route_.idempotent_;
}

claims::ClaimRequest
ToClaim(const ServiceRequest& aRequest)
{
  return { aRequest.id_,
           aRequest.service_,
           aRequest.key_,
           claims::FingerprintOf(aRequest.httpRequest_),
           aRequest.deadline_ };
}

/** Returns the reason for ending a request that was not granted its idempotency key, or kNone if
 * the stored answer is replayed. */
Reason
ReasonOf(claims::ClaimDecision aAnswer)
{
  switch (aAnswer) {
    case claims::ClaimDecision::kReplay:
      return Reason::kNone;
    case claims::ClaimDecision::kHeld:
      return Reason::kClaimHeld;
    case claims::ClaimDecision::kReused:
      return Reason::kKeyReused;
    case claims::ClaimDecision::kAbsent:
    case claims::ClaimDecision::kGranted:
    case claims::ClaimDecision::kUnavailable:
      break;
  }
  return Reason::kClaimUnavailable;
}

/** Returns whether an attempt counts as a failure of its backend server. An attempt that reached
 * its deadline in less time than attempts usually take does not count, because it was sent with
 * little time left. */
bool
HasFailed(const admission::Latency& aUsual, const AttemptResult& aResult)
{
  if (aResult.state_ == routing::AttemptState::kAnswered) {
    return aResult.response_.status_ >= http::status::kFirstServerError;
  }
  const bool tooLate = aResult.reason_ == Reason::kDeadlinePassed;
  return !tooLate || aResult.duration_ >= admission::SilenceTimeout(aUsual);
}

/** Returns the request's bytes, with the time until its deadline in Quetzal-Deadline-Ms. */
std::string
BytesOf(const ServiceRequest& aRequest)
{
  const auto left = std::max(TimeLeft(aRequest.deadline_), clock::Milliseconds(1));
  return http::Serialize(aRequest.httpRequest_,
                         http::Field{ "Quetzal-Deadline-Ms", std::to_string(left.count()) });
}

} // namespace

Dispatcher::Dispatcher(std::string aAvailabilityZone, metrics::Registry& aMetrics, QObject* aParent)
  : QObject(aParent)
  , availabilityZone_(std::move(aAvailabilityZone))
  , metrics_(aMetrics)
  , random_(std::random_device{}())
{
  connect(&queueTimer_, &QTimer::timeout, this, &Dispatcher::CheckQueues);
  queueTimer_.setTimerType(Qt::PreciseTimer);
}

Dispatcher::~Dispatcher() = default;

void
Dispatcher::SetView(const view::View& aView)
{
  if (!view::IsNewer(aView.revision_, view_.revision_)) {
    return;
  }
  view_ = aView;
  std::set<std::string> named;
  for (const document::Service& service : aView.document_->services_) {
    named.insert(service.name_);
    ServiceState& state = services_[service.name_];
    state.promise_ = service;
    if (!state.servers_) {
      state.servers_ = MakeServers(service.name_);
    }
    state.servers_->ApplyDocument(*aView.document_, service);
  }
  for (auto entry = services_.begin(); entry != services_.end();) {
    ServiceState& state = entry->second;
    if (named.contains(entry->first)) {
      SendWaiting(state);
      ++entry;
      continue;
    }
    state.servers_->Retire();
    // Pending requests still use the state of their service. If there are any, the state is erased
    // when a later document is applied.
    const bool used = std::any_of(pending_.begin(), pending_.end(), [&entry](const auto& aItem) {
      return aItem.second.request_.service_ == entry->first;
    });
    entry = used ? std::next(entry) : services_.erase(entry);
  }
}

std::unique_ptr<BackendServers>
Dispatcher::MakeServers(const std::string& aService)
{
  auto servers = std::make_unique<BackendServers>(availabilityZone_, hostStates_, metrics_, this);
  connect(servers.get(), &BackendServers::AttemptEnded, this, &Dispatcher::OnAttemptEnded);
  connect(servers.get(), &BackendServers::AttemptSilent, this, &Dispatcher::OnAttemptSilent);
  connect(servers.get(), &BackendServers::CapacityChanged, this, [this, aService] {
    const auto state = services_.find(aService);
    if (state != services_.end()) {
      SendWaiting(state->second);
    }
  });
  return servers;
}

void
Dispatcher::SetHostStates(const platform::HostStates& aStates)
{
  hostStates_ = aStates;
  for (auto& [name, state] : services_) {
    SendWaiting(state);
  }
}

std::vector<connection::BackendPool*>
Dispatcher::Pools() const
{
  std::vector<connection::BackendPool*> pools;
  for (const auto& [name, state] : services_) {
    const auto servicePools = state.servers_->Pools();
    pools.insert(pools.end(), servicePools.begin(), servicePools.end());
  }
  return pools;
}

std::size_t
Dispatcher::CountQueued(const std::string& aService) const
{
  const auto state = services_.find(aService);
  if (state == services_.end()) {
    return 0;
  }
  return admission::SizeOf(state->second.queue_) + state->second.deferredRetries_.size();
}

void
Dispatcher::Submit(const ServiceRequest& aRequest)
{
  PendingRequest& pending = pending_[aRequest.id_];
  pending.request_ = aRequest;
  pending.arrivedAt_ = Now();
  const auto state = services_.find(aRequest.service_);
  if (state == services_.end()) {
    Finish(aRequest.id_, view_.document_ ? Reason::kNoSuchService : Reason::kNoDocument);
    return;
  }
  const Reason refusal = Admit(state->second, aRequest);
  if (refusal != Reason::kNone) {
    Finish(aRequest.id_, refusal);
    return;
  }
  if (NeedsClaim(aRequest)) {
    Q_EMIT ClaimNeeded(ToClaim(aRequest));
    return;
  }
  Proceed(state->second, pending);
}

void
Dispatcher::OnClaimDecided(const claims::ClaimResult& aResult)
{
  if (lateClaims_.contains(aResult.request_)) {
    OnLateClaim(aResult);
    return;
  }
  const auto found = pending_.find(aResult.request_);
  Q_ASSERT(found != pending_.end());
  PendingRequest& pending = found->second;
  if (aResult.decision_ != claims::ClaimDecision::kGranted) {
    Finish(aResult.request_, ReasonOf(aResult.decision_), aResult.replay_);
    return;
  }
  pending.holdsKey_ = true;
  const auto state = services_.find(pending.request_.service_);
  if (pending.callerLeft_ || state == services_.end()) {
    Finish(aResult.request_, pending.callerLeft_ ? Reason::kCallerLeft : Reason::kNoSuchService);
    return;
  }
  Proceed(state->second, pending);
}

void
Dispatcher::Proceed(ServiceState& aState, const PendingRequest& aPending)
{
  aState.budget_ = retry::Deposit(aState.budget_, aState.promise_.retryPercent_);
  Enqueue(aState, aPending);
}

Reason
Dispatcher::Admit(ServiceState& aState, const ServiceRequest& aRequest)
{
  admission::AdmissionContext arrival;
  const WorkClass workClass = aRequest.route_.class_;
  const BackendServers::SlotCapacity capacity = aState.servers_->CapacityFor(workClass);
  if (!capacity.anyAvailable_) {
    return Reason::kNoBackendServer;
  }
  arrival.slots_ = capacity.slots_;
  arrival.queued_ = admission::SizeOf(aState.queue_);
  arrival.maxQueued_ = static_cast<std::size_t>(aState.promise_.queueLength_);
  arrival.queuedAhead_ = admission::CountAhead(aState.queue_, workClass, aRequest.deadline_);
  arrival.serviceTime_ = aState.latency_[workClass].mean_;
  arrival.likelyTime_ = admission::LikelyTime(aState.latency_[workClass]);
  arrival.timeLeft_ = TimeLeft(aRequest.deadline_);
  const Reason reason = admission::DecideAdmission(arrival);
  if (reason == Reason::kDeadlineTooShort && arrival.likelyTime_ > arrival.timeLeft_) {
    admission::Latency& latency = aState.latency_[workClass];
    latency = admission::Decay(latency);
  }
  return reason;
}

void
Dispatcher::Enqueue(ServiceState& aState, const PendingRequest& aPending)
{
  admission::Push(aState.queue_, ToWaiting(aPending.request_));
  SendWaiting(aState);
  if (admission::SizeOf(aState.queue_) > 0) {
    WaitForSlots(aState);
  }
}

void
Dispatcher::WaitForSlots(const ServiceState& aState)
{
  if (!queueTimer_.isActive()) {
    queueTimer_.start(kQueueCheckInterval);
  }
  Q_EMIT SlotsNeeded(aState.promise_.name_);
}

void
Dispatcher::SendWaiting(ServiceState& aState)
{
  SendDeferredRetries(aState);
  while (admission::SizeOf(aState.queue_) > 0 && SendNext(aState)) {
  }
}

bool
Dispatcher::SendNext(ServiceState& aState)
{
  const auto next = admission::TakeNext(
    aState.queue_,
    !aState.queue_.quick_.empty() && aState.servers_->HasFreeSlot(WorkClass::kQuick),
    !aState.queue_.long_.empty() && aState.servers_->HasFreeSlot(WorkClass::kLong));
  if (!next) {
    return false;
  }
  PendingRequest& pending = pending_.at(next->request_);
  const std::vector<routing::Candidate> candidates =
    aState.servers_->CandidatesFor(pending.request_.route_.class_, pending.tried_);
  const auto chosen = Choose(candidates);
  Q_ASSERT(chosen);
  Send(aState, pending, candidates[*chosen].host_);
  return true;
}

void
Dispatcher::Send(ServiceState& aState, PendingRequest& aPending, const std::string& aHost)
{
  const ServiceRequest& request = aPending.request_;
  ++aPending.attempts_;
  aPending.tried_.insert(aHost);
  aPending.pool_ = &aState.servers_->PoolOf(aHost);
  connection::Attempt attempt;
  attempt.request_ = request.id_;
  attempt.bytes_ = BytesOf(request);
  attempt.isHead_ = request.httpRequest_.method_ == "HEAD";
  attempt.idempotent_ = request.route_.idempotent_;
  attempt.class_ = request.route_.class_;
  attempt.deadline_ = request.deadline_;
  attempt.needsProbe_ = aPending.hadSilentAttempt_;
  attempt.silenceTimeout_ = admission::SilenceTimeout(aState.latency_[request.route_.class_]);
  aPending.pool_->Start(attempt);
}

void
Dispatcher::OnAttemptEnded(const std::string& aHost, const AttemptResult& aResult)
{
  const auto found = pending_.find(aResult.request_);
  Q_ASSERT(found != pending_.end());
  PendingRequest& pending = found->second;
  pending.pool_ = nullptr;
  if (pending.ending_) {
    const bool mayHaveRun = routing::OutcomeOf(aResult.state_) != outcome::Outcome::kNotRun;
    Finish(aResult.request_, mayHaveRun ? Reason::kDeadlinePassed : Reason::kDeadlineInQueue);
    return;
  }
  ServiceState& state = services_.at(pending.request_.service_);
  const admission::Latency& usual = state.latency_[pending.request_.route_.class_];
  state.servers_->RecordAttempt(aHost, HasFailed(usual, aResult));
  const bool answered = aResult.state_ == routing::AttemptState::kAnswered;
  const bool serverError = answered && aResult.response_.status_ >= http::status::kFirstServerError;
  if (answered && !serverError) {
    admission::Latency& latency = state.latency_[pending.request_.route_.class_];
    latency = admission::Observe(latency, aResult.duration_);
  }
  if (routing::OutcomeOf(aResult.state_) != outcome::Outcome::kNotRun) {
    pending.earlierResult_ = RequestResult{ aResult.request_, aResult.reason_, aResult.response_ };
  }
  if ((!answered || serverError) && RetryIfAllowed(state, pending, aResult)) {
    return;
  }
  Finish(aResult.request_, aResult.reason_, aResult.response_);
}

void
Dispatcher::OnAttemptSilent(std::uint64_t aRequest)
{
  PendingRequest& pending = pending_.at(aRequest);
  ServiceState& state = services_.at(pending.request_.service_);
  const retry::RetryContext question = QuestionOf(state, pending, routing::AttemptState::kLost);
  const bool othersAreAvailable = state.servers_->HasAvailableExcept(pending.tried_);
  if (pending.callerLeft_ || !retry::ShouldFailOver(question, othersAreAvailable)) {
    return;
  }
  pending.hadSilentAttempt_ = true;
  pending.pool_->Abandon(aRequest);
}

retry::RetryContext
Dispatcher::QuestionOf(const ServiceState& aState,
                       const PendingRequest& aPending,
                       routing::AttemptState aAttempt)
{
  retry::RetryContext question;
  question.state_ = aAttempt;
  question.idempotent_ = aPending.request_.route_.idempotent_;
  question.attempts_ = aPending.attempts_;
  question.timeLeft_ = TimeLeft(aPending.request_.deadline_);
  question.budgetAllows_ = retry::CanSpend(aState.budget_);
  return question;
}

bool
Dispatcher::RetryIfAllowed(ServiceState& aState,
                           PendingRequest& aPending,
                           const AttemptResult& aResult)
{
  const retry::RetryContext question = QuestionOf(aState, aPending, aResult.state_);
  const retry::Action action = retry::Decide(question);
  if (action == retry::Action::kGiveUp || aPending.callerLeft_) {
    return false;
  }
  if (action == retry::Action::kRetryAndSpendToken) {
    aState.budget_ = retry::Spend(aState.budget_);
  }
  metrics_.Add("quetzal_retries_total",
               { { "service", aState.promise_.name_ },
                 { "reason", std::string(outcome::ToString(aResult.retryReason_)) } });
  if (aState.servers_->HasAvailableExcept(aPending.tried_)) {
    DeferRetry(aState, aPending);
  } else {
    Enqueue(aState, aPending);
  }
  return true;
}

void
Dispatcher::DeferRetry(ServiceState& aState, const PendingRequest& aPending)
{
  aState.deferredRetries_.push_back({ aPending.request_.id_, Now() + kDeferredRetryTimeout });
  SendWaiting(aState);
  if (!aState.deferredRetries_.empty()) {
    WaitForSlots(aState);
  }
}

void
Dispatcher::SendDeferredRetries(ServiceState& aState)
{
  const auto now = Now();
  std::vector<DeferredRetry> deferred = std::exchange(aState.deferredRetries_, {});
  for (const DeferredRetry& item : deferred) {
    PendingRequest& pending = pending_.at(item.request_);
    const std::vector<routing::Candidate> candidates =
      aState.servers_->CandidatesFor(pending.request_.route_.class_, pending.tried_);
    const auto chosen = Choose(candidates);
    if (chosen && !candidates[*chosen].tried_) {
      Send(aState, pending, candidates[*chosen].host_);
    } else if (item.expiresAt_ <= now) {
      admission::Push(aState.queue_, ToWaiting(pending.request_));
    } else {
      aState.deferredRetries_.push_back(item);
    }
  }
}

std::optional<std::size_t>
Dispatcher::Choose(const std::vector<routing::Candidate>& aCandidates)
{
  const auto first = static_cast<std::uint32_t>(random_());
  const auto second = static_cast<std::uint32_t>(random_());
  return routing::ChooseBackendServer(aCandidates, first, second);
}

bool
Dispatcher::RemoveWaiting(ServiceState& aState, const ServiceRequest& aRequest)
{
  const auto isSame = [&aRequest](const DeferredRetry& aRetry) {
    return aRetry.request_ == aRequest.id_;
  };
  return std::erase_if(aState.deferredRetries_, isSame) > 0 ||
         admission::Remove(aState.queue_, ToWaiting(aRequest));
}

void
Dispatcher::Cancel(std::uint64_t aId)
{
  const auto found = pending_.find(aId);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  pending.callerLeft_ = true;
  const auto state = services_.find(pending.request_.service_);
  if (state != services_.end() && RemoveWaiting(state->second, pending.request_)) {
    Finish(aId, Reason::kCallerLeft);
  }
}

void
Dispatcher::BoundDeadlines(clock::Moment aLatest)
{
  for (auto& [id, pending] : pending_) {
    pending.request_.deadline_ = std::min(pending.request_.deadline_, aLatest);
  }
  for (auto& [name, state] : services_) {
    state.queue_ = WithBoundedDeadlines(state.queue_, aLatest);
  }
}

void
Dispatcher::EndAll()
{
  for (auto& [name, state] : services_) {
    state.queue_ = {};
    state.deferredRetries_.clear();
  }
  std::vector<std::uint64_t> ids;
  for (const auto& [id, pending] : pending_) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    End(id);
  }
}

void
Dispatcher::End(std::uint64_t aId)
{
  PendingRequest& pending = pending_.at(aId);
  if (pending.pool_ != nullptr) {
    pending.ending_ = true;
    pending.pool_->Abandon(aId);
    return;
  }
  const bool isClaiming = NeedsClaim(pending.request_) && !pending.holdsKey_;
  if (isClaiming) {
    lateClaims_[aId] = ToClaim(pending.request_);
  }
  Finish(aId, isClaiming ? Reason::kClaimUnavailable : Reason::kDeadlineInQueue);
}

/** Releases the key if it is granted, since the request has ended without running. */
void
Dispatcher::OnLateClaim(const claims::ClaimResult& aResult)
{
  const claims::ClaimRequest claim = lateClaims_.at(aResult.request_);
  lateClaims_.erase(aResult.request_);
  if (aResult.decision_ == claims::ClaimDecision::kGranted) {
    Q_EMIT ClaimEnded(claim, { aResult.request_, Reason::kClaimUnavailable, {} });
  }
}

void
Dispatcher::CheckQueues()
{
  bool anyWaits = false;
  std::vector<admission::QueuedRequest> due;
  for (auto& [name, state] : services_) {
    for (const WorkClass workClass : { WorkClass::kQuick, WorkClass::kLong }) {
      // A request that would most likely miss its deadline is not sent.
      const auto needed = admission::LikelyTime(state.latency_[workClass]);
      const auto taken = admission::TakeDue(state.queue_, workClass, Now() + needed);
      due.insert(due.end(), taken.begin(), taken.end());
    }
    if (!state.deferredRetries_.empty()) {
      SendWaiting(state);
    }
    anyWaits = anyWaits || admission::SizeOf(state.queue_) > 0 || !state.deferredRetries_.empty();
  }
  if (!anyWaits) {
    queueTimer_.stop();
  }
  for (const admission::QueuedRequest& waiting : due) {
    Finish(waiting.request_, Reason::kDeadlineInQueue);
  }
}

void
Dispatcher::Finish(std::uint64_t aId, Reason aReason, const http::Response& aResponse)
{
  const auto found = pending_.find(aId);
  const PendingRequest& pending = found->second;
  RequestResult result{ aId, aReason, aResponse };
  if (outcome::OutcomeOf(aReason) == outcome::Outcome::kNotRun && pending.earlierResult_) {
    // An earlier attempt was answered or may have run, so kNotRun would be wrong.
    result = *pending.earlierResult_;
  }
  const std::string service = pending.request_.service_;
  metrics_.Observe(
    "quetzal_request_seconds",
    { { "service", services_.contains(service) ? service : std::string("none") },
      { "outcome", std::string(outcome::ToString(outcome::OutcomeOf(result.reason_))) } },
    Now() - pending.arrivedAt_);
  const PendingRequest ended = std::move(found->second);
  pending_.erase(found);
  if (ended.holdsKey_) {
    Q_EMIT ClaimEnded(ToClaim(ended.request_), result);
  }
  Q_EMIT Finished(result);
}

} // namespace quetzal::entry
