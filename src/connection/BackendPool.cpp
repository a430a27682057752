#include "include/quetzal/connection/BackendPool.h"

#include "include/quetzal/admission/QueueQueries.h"
#include "include/quetzal/clock/Now.h"
#include "include/quetzal/connection/ConnectionPolicy.h"
#include "include/quetzal/log/Log.h"

#include <algorithm>

namespace quetzal::connection {
namespace {

using clock::Now;
using outcome::RetryReason;

constexpr clock::Milliseconds kHealthInterval{ 1'000 };
constexpr clock::Milliseconds kHealthTimeout{ 1'000 };
constexpr clock::Milliseconds kFirstHealthDelay{ 10 };
/** Backend servers stop work on a request within this time after its deadline. */
constexpr clock::Milliseconds kDeadlineGrace{ 250 };
constexpr clock::Milliseconds kSilenceCheckInterval{ 10 };
constexpr clock::Milliseconds kProbeTimeout{ 250 };
constexpr http::Limits kHealthLimits{ 8 * 1024, 8 * 1024 };
constexpr std::uint32_t kMaxAnswerHeaderBytes = 32 * 1024;

clock::Milliseconds
TimeUntil(clock::Moment aMoment)
{
  const auto left = std::chrono::duration_cast<clock::Milliseconds>(aMoment - Now());
  return std::max(left, clock::Milliseconds(1));
}

bool
IsRefusal(const document::Service& aService, unsigned aStatus)
{
  const auto& statuses = aService.notRunStatuses_;
  return std::find(statuses.begin(), statuses.end(), static_cast<int>(aStatus)) != statuses.end();
}

std::string
HealthRequest(const document::Service& aService)
{
  return http::Serialize(
    http::Request{ "GET", aService.healthPath_, { { "Host", "health" } }, {} });
}

} // namespace

BackendPool::BackendPool(const document::Service& aService,
                         const document::Host& aHost,
                         metrics::Registry& aMetrics,
                         QObject* aParent)
  : QObject(aParent)
  , service_(aService)
  , host_(aHost)
  , metrics_(aMetrics)
  , connections_({ aHost.address_, aService.port_ }, this)
{
  connect(&connections_, &ConnectionSet::Answered, this, &BackendPool::OnAnswer);
  connect(&connections_, &ConnectionSet::Failed, this, &BackendPool::OnFailure);
  connect(&healthTimer_, &QTimer::timeout, this, &BackendPool::CheckHealth);
  connect(&silenceTimer_, &QTimer::timeout, this, &BackendPool::ReportSilent);
  healthTimer_.start(kFirstHealthDelay);
}

void
BackendPool::SetShare(int aSlots, int aConnections)
{
  const bool grows = aSlots > slotShare_;
  slotShare_ = aSlots;
  connectionCap_ = aConnections;
  if (grows) {
    Q_EMIT CapacityChanged();
  }
}

void
BackendPool::SetService(const document::Service& aService)
{
  service_ = aService;
}

int
BackendPool::UsedSlots() const
{
  if (abandonedSlots_.empty()) {
    return static_cast<int>(running_.size());
  }
  const auto now = Now();
  const auto abandoned = std::count_if(abandonedSlots_.begin(),
                                       abandonedSlots_.end(),
                                       [now](clock::Moment aEnd) { return aEnd > now; });
  return static_cast<int>(running_.size()) + static_cast<int>(abandoned);
}

int
BackendPool::FreeSlots(document::WorkClass aClass) const
{
  if (retired_) {
    return 0;
  }
  // If more than one connection is allowed, one is kept for health requests.
  const int share = std::min(slotShare_, std::max(1, connectionCap_ - 1));
  const int free = share - UsedSlots();
  if (aClass == document::WorkClass::kQuick) {
    return free;
  }
  const auto longRunning = std::count_if(running_.begin(), running_.end(), [](const auto& aEntry) {
    return aEntry.second.attempt_.class_ == document::WorkClass::kLong;
  });
  return std::min(free, admission::SlotsForLongWork(share) - static_cast<int>(longRunning));
}

void
BackendPool::Start(const Attempt& aAttempt)
{
  Exchange& exchange = running_[aAttempt.request_];
  exchange.attempt_ = aAttempt;
  exchange.startedAt_ = Now();
  lastStart_ = exchange.startedAt_;
  AssignConnection(exchange);
}

void
BackendPool::AssignConnection(Exchange& aExchange)
{
  const bool idempotent = aExchange.attempt_.idempotent_;
  BackendConnection* idle = connections_.FindIdle(true, healthConnection_);
  if (idle != nullptr) {
    const auto silence =
      std::chrono::duration_cast<clock::Milliseconds>(Now() - idle->LastReceivedAt());
    aExchange.connection_ = idle;
    if (aExchange.attempt_.needsProbe_ || NeedsProbe(idempotent, silence)) {
      Probe(aExchange);
    } else {
      Write(aExchange);
    }
    return;
  }
  // At the connection cap, an idle suspect connection is closed to make room for a new one.
  BackendConnection* suspect = connections_.FindIdle(false, healthConnection_);
  if (suspect != nullptr && connections_.Size() >= connectionCap_) {
    connections_.Discard(suspect);
  }
  aExchange.connection_ = connections_.Add();
  Write(aExchange);
}

void
BackendPool::Probe(Exchange& aExchange)
{
  metrics_.Add("quetzal_connection_proofs_total", { { "service", service_.name_ } });
  aExchange.probing_ = true;
  aExchange.connection_->Send(HealthRequest(service_),
                              false,
                              kHealthLimits,
                              std::min(kProbeTimeout, TimeUntil(aExchange.attempt_.deadline_)));
}

void
BackendPool::Write(Exchange& aExchange)
{
  const Attempt& attempt = aExchange.attempt_;
  const http::Limits limits{ kMaxAnswerHeaderBytes,
                             static_cast<std::uint64_t>(service_.answerBytes_) };
  aExchange.probing_ = false;
  aExchange.connection_->Send(
    attempt.bytes_, attempt.isHead_, limits, TimeUntil(attempt.deadline_));
  if (attempt.idempotent_) {
    aExchange.silentAfter_ = Now() + attempt.silenceTimeout_;
    if (!silenceTimer_.isActive()) {
      silenceTimer_.start(kSilenceCheckInterval);
    }
  }
}

BackendPool::Exchange*
BackendPool::FindExchange(const BackendConnection* aConnection)
{
  const auto found =
    std::find_if(running_.begin(), running_.end(), [aConnection](const auto& aEntry) {
      return aEntry.second.connection_ == aConnection;
    });
  return found == running_.end() ? nullptr : &found->second;
}

void
BackendPool::OnAnswer(BackendConnection* aConnection, const http::Response& aResponse)
{
  const bool closed = aConnection->IsClosed();
  if (aConnection == healthConnection_) {
    healthConnection_ = nullptr;
    if (closed) {
      connections_.Discard(aConnection);
    }
    SetHealth(AfterAnswer(health_, aResponse.status_));
    return;
  }
  Exchange* exchange = FindExchange(aConnection);
  if (exchange == nullptr) {
    return;
  }
  if (exchange->probing_) {
    if (closed) {
      connections_.Discard(aConnection);
      AssignConnection(*exchange);
      return;
    }
    Write(*exchange);
    return;
  }
  if (closed) {
    connections_.Discard(aConnection);
  }
  const bool refused = IsRefusal(service_, aResponse.status_);
  End(exchange->attempt_.request_, ResultOfAnswer(aResponse, refused));
}

void
BackendPool::OnFailure(BackendConnection* aConnection, ExchangeError aError)
{
  const bool written = aConnection->HasWritten();
  const bool isHealth = aConnection == healthConnection_;
  Exchange* exchange = isHealth ? nullptr : FindExchange(aConnection);
  connections_.Discard(aConnection);
  if (isHealth) {
    healthConnection_ = nullptr;
    if (aError == ExchangeError::kTimedOut) {
      connections_.MarkAllSuspect();
    }
    SetHealth(AfterFailure(health_));
    return;
  }
  if (exchange == nullptr) {
    return;
  }
  if (exchange->probing_) {
    // Only the probe was written, so the request can be sent on another connection.
    metrics_.Add("quetzal_retries_total",
                 { { "service", service_.name_ },
                   { "reason", std::string(ToString(RetryReason::kProbeFailed)) } });
    AssignConnection(*exchange);
    return;
  }
  if (written && aError == ExchangeError::kTimedOut) {
    // The backend server may still run the request.
    abandonedSlots_.push_back(Now() + kDeadlineGrace);
  }
  End(exchange->attempt_.request_, ResultOfFailure(aError, written));
}

void
BackendPool::ReportSilent()
{
  const auto now = Now();
  std::vector<std::uint64_t> silent;
  bool anyBounded = false;
  for (auto& [request, exchange] : running_) {
    const bool bounded = exchange.silentAfter_ != clock::Moment{};
    anyBounded = anyBounded || bounded;
    if (bounded && exchange.silentAfter_ <= now && !exchange.connection_->HasAnswerStarted()) {
      exchange.silentAfter_ = {};
      silent.push_back(request);
    }
  }
  if (!anyBounded) {
    silenceTimer_.stop();
  }
  for (const std::uint64_t request : silent) {
    Q_EMIT AttemptSilent(request);
  }
}

void
BackendPool::Abandon(std::uint64_t aRequest)
{
  Exchange& exchange = running_.at(aRequest);
  // Connections that received nothing since the attempt started may have gone silent with it. Each
  // must answer a health request before its next use.
  connections_.MarkSuspectIfSilentSince(exchange.startedAt_);
  const bool written = exchange.connection_->HasWritten();
  if (written) {
    abandonedSlots_.push_back(exchange.attempt_.deadline_ + kDeadlineGrace);
  }
  connections_.Discard(exchange.connection_);
  End(aRequest, ResultOfSilence(written));
}

void
BackendPool::End(std::uint64_t aRequest, AttemptResult aResult)
{
  const auto found = running_.find(aRequest);
  aResult.request_ = aRequest;
  aResult.duration_ = Now() - found->second.startedAt_;
  running_.erase(found);
  Q_EMIT AttemptEnded(aResult);
  Q_EMIT CapacityChanged();
  DeleteIfDone();
}

void
BackendPool::CheckHealth()
{
  healthTimer_.start(kHealthInterval);
  RemoveExpiredSlots();
  if (retired_ || healthConnection_ != nullptr) {
    return;
  }
  BackendConnection* connection = connections_.FindIdle(false, healthConnection_);
  if (connection == nullptr && connections_.Size() >= connectionCap_) {
    return; // All connections are in use: the attempts on them show whether the server answers.
  }
  healthConnection_ = connection != nullptr ? connection : connections_.Add();
  healthConnection_->Send(HealthRequest(service_), false, kHealthLimits, kHealthTimeout);
}

void
BackendPool::SetHealth(const Health& aHealth)
{
  const bool changed = aHealth.state_ != health_.state_;
  health_ = aHealth;
  if (!changed) {
    return;
  }
  log::Info("health", service_.name_, " on host ", host_.name_, " is ", ToString(aHealth.state_));
  Q_EMIT CapacityChanged();
}

void
BackendPool::RemoveExpiredSlots()
{
  const auto now = Now();
  std::erase_if(abandonedSlots_, [now](clock::Moment aEnd) { return aEnd <= now; });
}

void
BackendPool::Retire()
{
  retired_ = true;
  healthTimer_.stop();
  DeleteIfDone();
}

void
BackendPool::DeleteIfDone()
{
  if (retired_ && running_.empty()) {
    deleteLater();
  }
}

} // namespace quetzal::connection
