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
using connection::JobResult;
using document::WorkClass;
using outcome::Reason;

constexpr clock::Milliseconds kDueInterval{ 5 };
/** A retry waits this long for a slot of a backend server that it has not tried. */
constexpr clock::Milliseconds kParkTime{ 50 };

clock::Milliseconds
TimeLeft(clock::Moment aDeadline)
{
  return std::chrono::duration_cast<clock::Milliseconds>(aDeadline - Now());
}

admission::QueuedRequest
ToWaiting(const Ticket& aTicket)
{
  return { aTicket.deadline_, aTicket.id_, aTicket.route_.class_ };
}

/** Tells whether a request may be submitted again although it must not run twice. */
bool
NeedsClaim(const Ticket& aTicket)
{
  return !aTicket.key_.empty() && !aTicket.route_.idempotent_;
}

claims::ClaimRequest
ToClaim(const Ticket& aTicket)
{
  return { aTicket.id_,
           aTicket.service_,
           aTicket.key_,
           claims::FingerprintOf(aTicket.request_),
           aTicket.deadline_ };
}

/** Returns why a request whose key was not granted ends; kNone where the kept answer is replayed.
 */
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

/** Tells whether an attempt speaks against its backend server. One that was sent with little time
 * left and missed its deadline does not. */
bool
HasFailed(const admission::Latency& aUsual, const JobResult& aResult)
{
  if (aResult.state_ == routing::AttemptState::kAnswered) {
    return aResult.response_.status_ >= http::status::kFirstServerError;
  }
  const bool tooLate = aResult.reason_ == Reason::kDeadlinePassed;
  return !tooLate || aResult.time_ >= admission::SilenceTimeout(aUsual);
}

/** Returns the request's bytes with the time that is left for it. */
std::string
BytesOf(const Ticket& aTicket)
{
  const auto left = std::max(TimeLeft(aTicket.deadline_), clock::Milliseconds(1));
  return http::Serialize(aTicket.request_,
                         http::Field{ "Quetzal-Deadline-Ms", std::to_string(left.count()) });
}

} // namespace

Dispatcher::Dispatcher(std::string aAvailabilityZone, metrics::Registry& aMetrics, QObject* aParent)
  : QObject(aParent)
  , availabilityZone_(std::move(aAvailabilityZone))
  , metrics_(aMetrics)
  , random_(std::random_device{}())
{
  connect(&dueTimer_, &QTimer::timeout, this, &Dispatcher::DropDue);
  dueTimer_.setTimerType(Qt::PreciseTimer);
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
    state.servers_->Assign(*aView.document_, service);
  }
  for (auto entry = services_.begin(); entry != services_.end();) {
    ServiceState& state = entry->second;
    if (named.contains(entry->first)) {
      Pump(state);
      ++entry;
      continue;
    }
    state.servers_->Retire();
    // Requests in flight still need the state; it goes once they have ended.
    const bool used = std::any_of(pending_.begin(), pending_.end(), [&entry](const auto& aItem) {
      return aItem.second.ticket_.service_ == entry->first;
    });
    entry = used ? std::next(entry) : services_.erase(entry);
  }
}

std::unique_ptr<BackendServers>
Dispatcher::MakeServers(const std::string& aService)
{
  auto servers = std::make_unique<BackendServers>(availabilityZone_, hostStates_, metrics_, this);
  connect(servers.get(), &BackendServers::JobEnded, this, &Dispatcher::OnJobEnded);
  connect(servers.get(), &BackendServers::JobSilent, this, &Dispatcher::OnJobSilent);
  connect(servers.get(), &BackendServers::CapacityChanged, this, [this, aService] {
    const auto state = services_.find(aService);
    if (state != services_.end()) {
      Pump(state->second);
    }
  });
  return servers;
}

void
Dispatcher::SetHostStates(const platform::HostStates& aStates)
{
  hostStates_ = aStates;
  for (auto& [name, state] : services_) {
    Pump(state);
  }
}

std::vector<connection::BackendPool*>
Dispatcher::Pools() const
{
  std::vector<connection::BackendPool*> pools;
  for (const auto& [name, state] : services_) {
    const auto of = state.servers_->Pools();
    pools.insert(pools.end(), of.begin(), of.end());
  }
  return pools;
}

std::size_t
Dispatcher::QueuedOf(const std::string& aService) const
{
  const auto state = services_.find(aService);
  if (state == services_.end()) {
    return 0;
  }
  return admission::SizeOf(state->second.queue_) + state->second.parked_.size();
}

void
Dispatcher::Submit(const Ticket& aTicket)
{
  Pending& pending = pending_[aTicket.id_];
  pending.ticket_ = aTicket;
  pending.arrived_ = Now();
  const auto state = services_.find(aTicket.service_);
  if (state == services_.end()) {
    Finish(aTicket.id_, view_.document_ ? Reason::kNoSuchService : Reason::kNoDocument);
    return;
  }
  const Reason refusal = Admit(state->second, aTicket);
  if (refusal != Reason::kNone) {
    Finish(aTicket.id_, refusal);
    return;
  }
  if (NeedsClaim(aTicket)) {
    Q_EMIT ClaimWanted(ToClaim(aTicket));
    return;
  }
  Proceed(state->second, pending);
}

void
Dispatcher::OnClaimDecided(const claims::ClaimResult& aVerdict)
{
  const auto found = pending_.find(aVerdict.request_);
  Q_ASSERT(found != pending_.end());
  Pending& pending = found->second;
  if (aVerdict.decision_ != claims::ClaimDecision::kGranted) {
    Finish(aVerdict.request_, ReasonOf(aVerdict.decision_), aVerdict.replay_);
    return;
  }
  pending.claimed_ = true;
  const auto state = services_.find(pending.ticket_.service_);
  if (pending.abandoned_ || state == services_.end()) {
    Finish(aVerdict.request_, pending.abandoned_ ? Reason::kCallerLeft : Reason::kNoSuchService);
    return;
  }
  Proceed(state->second, pending);
}

void
Dispatcher::Proceed(ServiceState& aState, const Pending& aPending)
{
  aState.budget_ = retry::Deposit(aState.budget_, aState.promise_.retryPercent_);
  Enqueue(aState, aPending);
}

Reason
Dispatcher::Admit(ServiceState& aState, const Ticket& aTicket)
{
  admission::AdmissionContext arrival;
  const WorkClass workClass = aTicket.route_.class_;
  const BackendServers::Room room = aState.servers_->RoomFor(workClass);
  if (!room.anyAvailable_) {
    return Reason::kNoBackendServer;
  }
  arrival.slots_ = room.slots_;
  arrival.queued_ = admission::SizeOf(aState.queue_);
  arrival.maxQueued_ = static_cast<std::size_t>(aState.promise_.queueLength_);
  arrival.queuedAhead_ = admission::CountAhead(aState.queue_, workClass, aTicket.deadline_);
  arrival.serviceTime_ = aState.latency_[workClass].mean_;
  arrival.likelyTime_ = admission::LikelyTime(aState.latency_[workClass]);
  arrival.timeLeft_ = TimeLeft(aTicket.deadline_);
  const Reason reason = admission::DecideAdmission(arrival);
  if (reason == Reason::kDeadlineTooShort && arrival.likelyTime_ > arrival.timeLeft_) {
    admission::Latency& latency = aState.latency_[workClass];
    latency = admission::Decay(latency);
  }
  return reason;
}

void
Dispatcher::Enqueue(ServiceState& aState, const Pending& aPending)
{
  admission::Push(aState.queue_, ToWaiting(aPending.ticket_));
  Pump(aState);
  if (admission::SizeOf(aState.queue_) > 0) {
    WaitForSlots(aState);
  }
}

void
Dispatcher::WaitForSlots(const ServiceState& aState)
{
  if (!dueTimer_.isActive()) {
    dueTimer_.start(kDueInterval);
  }
  Q_EMIT SlotsWanted(aState.promise_.name_);
}

void
Dispatcher::Pump(ServiceState& aState)
{
  PumpParked(aState);
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
  Pending& pending = pending_.at(next->request_);
  const std::vector<routing::Candidate> candidates =
    aState.servers_->CandidatesFor(pending.ticket_.route_.class_, pending.tried_);
  const auto chosen = Choose(candidates);
  Q_ASSERT(chosen);
  Send(aState, pending, candidates[*chosen].host_);
  return true;
}

void
Dispatcher::Send(ServiceState& aState, Pending& aPending, const std::string& aHost)
{
  const Ticket& ticket = aPending.ticket_;
  ++aPending.attempts_;
  aPending.tried_.insert(aHost);
  aPending.sentTo_ = aHost;
  connection::Job job;
  job.request_ = ticket.id_;
  job.bytes_ = BytesOf(ticket);
  job.toHead_ = ticket.request_.method_ == "HEAD";
  job.idempotent_ = ticket.route_.idempotent_;
  job.class_ = ticket.route_.class_;
  job.deadline_ = ticket.deadline_;
  job.needsProof_ = aPending.wasSilent_;
  job.silenceBound_ = admission::SilenceTimeout(aState.latency_[ticket.route_.class_]);
  aState.servers_->PoolOf(aHost).Start(job);
}

void
Dispatcher::OnJobEnded(const std::string& aHost, const JobResult& aResult)
{
  const auto found = pending_.find(aResult.request_);
  Q_ASSERT(found != pending_.end());
  Pending& pending = found->second;
  pending.sentTo_.clear();
  ServiceState& state = services_.at(pending.ticket_.service_);
  const admission::Latency& usual = state.latency_[pending.ticket_.route_.class_];
  state.servers_->Judge(aHost, HasFailed(usual, aResult));
  const bool answered = aResult.state_ == routing::AttemptState::kAnswered;
  const bool serverError = answered && aResult.response_.status_ >= http::status::kFirstServerError;
  if (answered && !serverError) {
    admission::Latency& latency = state.latency_[pending.ticket_.route_.class_];
    latency = admission::Observe(latency, aResult.time_);
  }
  if (routing::OutcomeOf(aResult.state_) != outcome::Outcome::kNotRun) {
    pending.earlier_ = Verdict{ aResult.request_, aResult.reason_, aResult.response_ };
  }
  if ((!answered || serverError) && RetriesIfAllowed(state, pending, aResult)) {
    return;
  }
  Finish(aResult.request_, aResult.reason_, aResult.response_);
}

void
Dispatcher::OnJobSilent(const std::string& aHost, std::uint64_t aRequest)
{
  Pending& pending = pending_.at(aRequest);
  ServiceState& state = services_.at(pending.ticket_.service_);
  const retry::RetryContext question = QuestionOf(state, pending, routing::AttemptState::kLost);
  const bool othersAreAvailable = state.servers_->HasAvailableBut(pending.tried_);
  if (pending.abandoned_ || !retry::ShouldFailOver(question, othersAreAvailable)) {
    return;
  }
  pending.wasSilent_ = true;
  state.servers_->PoolOf(aHost).GiveUp(aRequest);
}

retry::RetryContext
Dispatcher::QuestionOf(const ServiceState& aState,
                       const Pending& aPending,
                       routing::AttemptState aAttempt)
{
  retry::RetryContext question;
  question.state_ = aAttempt;
  question.idempotent_ = aPending.ticket_.route_.idempotent_;
  question.attempts_ = aPending.attempts_;
  question.timeLeft_ = TimeLeft(aPending.ticket_.deadline_);
  question.budgetAllows_ = retry::CanSpend(aState.budget_);
  return question;
}

bool
Dispatcher::RetriesIfAllowed(ServiceState& aState, Pending& aPending, const JobResult& aResult)
{
  const retry::RetryContext question = QuestionOf(aState, aPending, aResult.state_);
  const retry::Action action = retry::Decide(question);
  if (action == retry::Action::kGiveUp || aPending.abandoned_) {
    return false;
  }
  if (action == retry::Action::kRetryAndSpendToken) {
    aState.budget_ = retry::Spend(aState.budget_);
  }
  metrics_.Add("quetzal_retries_total",
               { { "service", aState.promise_.name_ },
                 { "reason", std::string(outcome::ToString(aResult.retryReason_)) } });
  if (aState.servers_->HasAvailableBut(aPending.tried_)) {
    Park(aState, aPending);
  } else {
    Enqueue(aState, aPending);
  }
  return true;
}

void
Dispatcher::Park(ServiceState& aState, const Pending& aPending)
{
  aState.parked_.push_back({ aPending.ticket_.id_, Now() + kParkTime });
  Pump(aState);
  if (!aState.parked_.empty()) {
    WaitForSlots(aState);
  }
}

void
Dispatcher::PumpParked(ServiceState& aState)
{
  const auto now = Now();
  std::vector<Parked> parked = std::exchange(aState.parked_, {});
  for (const Parked& item : parked) {
    Pending& pending = pending_.at(item.request_);
    const std::vector<routing::Candidate> candidates =
      aState.servers_->CandidatesFor(pending.ticket_.route_.class_, pending.tried_);
    const auto chosen = Choose(candidates);
    if (chosen && !candidates[*chosen].tried_) {
      Send(aState, pending, candidates[*chosen].host_);
    } else if (item.until_ <= now) {
      admission::Push(aState.queue_, ToWaiting(pending.ticket_));
    } else {
      aState.parked_.push_back(item);
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

void
Dispatcher::Cancel(std::uint64_t aId)
{
  const auto found = pending_.find(aId);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  pending.abandoned_ = true;
  const auto state = services_.find(pending.ticket_.service_);
  if (state != services_.end() &&
      admission::Remove(state->second.queue_, ToWaiting(pending.ticket_))) {
    Finish(aId, Reason::kCallerLeft);
  }
}

void
Dispatcher::DropDue()
{
  bool anyWaits = false;
  std::vector<admission::QueuedRequest> due;
  for (auto& [name, state] : services_) {
    for (const WorkClass workClass : { WorkClass::kQuick, WorkClass::kLong }) {
      // A request that would most likely miss its deadline had better not run.
      const auto needed = admission::LikelyTime(state.latency_[workClass]);
      const auto taken = admission::TakeDue(state.queue_, workClass, Now() + needed);
      due.insert(due.end(), taken.begin(), taken.end());
    }
    if (!state.parked_.empty()) {
      Pump(state);
    }
    anyWaits = anyWaits || admission::SizeOf(state.queue_) > 0 || !state.parked_.empty();
  }
  if (!anyWaits) {
    dueTimer_.stop();
  }
  for (const admission::QueuedRequest& waiting : due) {
    Finish(waiting.request_, Reason::kDeadlineInQueue);
  }
}

void
Dispatcher::Finish(std::uint64_t aId, Reason aReason, const http::Response& aResponse)
{
  const auto found = pending_.find(aId);
  const Pending& pending = found->second;
  Verdict verdict{ aId, aReason, aResponse };
  if (outcome::OutcomeOf(aReason) == outcome::Outcome::kNotRun && pending.earlier_) {
    // An earlier attempt may have run, or has answered: "not run" would be false.
    verdict = *pending.earlier_;
  }
  const std::string service = pending.ticket_.service_;
  metrics_.Observe(
    "quetzal_request_seconds",
    { { "service", services_.contains(service) ? service : std::string("none") },
      { "outcome", std::string(outcome::ToString(outcome::OutcomeOf(verdict.reason_))) } },
    Now() - pending.arrived_);
  const Pending ended = std::move(found->second);
  pending_.erase(found);
  if (ended.claimed_) {
    Q_EMIT ClaimEnded(ToClaim(ended.ticket_), verdict);
  }
  Q_EMIT Finished(verdict);
}

} // namespace quetzal::entry
