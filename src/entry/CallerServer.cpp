#include "include/quetzal/entry/CallerServer.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/entry/ServiceRequestBuilder.h"
#include "include/quetzal/http/Status.h"

namespace quetzal::entry {
namespace {

using outcome::Outcome;
using outcome::Reason;

constexpr const char* kHealthPath = "/health";

Reason
ReasonOf(http::ReadError aError)
{
  switch (aError) {
    case http::ReadError::kHeaderTooLarge:
      return Reason::kHeaderTooLarge;
    case http::ReadError::kBodyTooLarge:
      return Reason::kBodyTooLarge;
    case http::ReadError::kNone:
    case http::ReadError::kMalformed:
    case http::ReadError::kFramingTooLarge:
    case http::ReadError::kUnframed:
    case http::ReadError::kTruncated:
      break;
  }
  return Reason::kMalformedRequest;
}

/** Without a descriptor limit in the settings, only the limit on callers counts; it refuses the
 * newest connection. */
http::OccupancyLimits
OccupancyLimitsOf(const EntrySettings& aSettings)
{
  http::OccupancyLimits limits = http::MakeOccupancyLimits(aSettings.hostLimits_);
  if (!aSettings.hostLimits_.descriptors_) {
    limits.connections_ = static_cast<std::size_t>(aSettings.maxCallers_) + 1;
  }
  return limits;
}

/** Returns the response with header fields added that tell the caller the outcome and, unless the
 * request was answered, the reason. */
http::Response
WithOutcome(Reason aReason, const http::Response& aResponse)
{
  http::Response response = aResponse;
  const Outcome outcome = outcome::OutcomeOf(aReason);
  if (outcome == Outcome::kAnswered) {
    response.fields_ = http::EndToEndFields(aResponse.fields_);
  } else {
    response = {};
    response.status_ = outcome::StatusOf(aReason);
    response.body_ = std::string(outcome::ToString(aReason)) + "\n";
    response.fields_ = { { "Content-Type", "text/plain" },
                         { "Quetzal-Reason", std::string(outcome::ToString(aReason)) } };
    if (response.status_ == http::status::kServiceUnavailable) {
      response.fields_.push_back({ "Retry-After", "1" });
    }
  }
  http::RemoveField(response.fields_, "Quetzal-Outcome");
  response.fields_.push_back({ "Quetzal-Outcome", std::string(outcome::ToString(outcome)) });
  response.keepAlive_ = true;
  return response;
}

} // namespace

CallerServer::CallerServer(const EntrySettings& aSettings,
                           Dispatcher& aDispatcher,
                           metrics::Registry& aMetrics,
                           QObject* aParent)
  : QObject(aParent)
  , settings_(aSettings)
  , dispatcher_(aDispatcher)
  , metrics_(aMetrics)
  , occupancy_(OccupancyLimitsOf(aSettings), aMetrics)
  , server_(aSettings.limits_, nullptr, &occupancy_)
{
  connect(&server_, &http::Server::ConnectionArrived, this, &CallerServer::OnConnection);
  connect(&dispatcher_, &Dispatcher::Finished, this, &CallerServer::OnFinished);
}

void
CallerServer::Listen()
{
  server_.Listen(settings_.callers_);
}

void
CallerServer::OnConnection(http::ServerConnection* aConnection)
{
  ++openConnections_;
  connect(aConnection, &QObject::destroyed, this, [this, aConnection] {
    --openConnections_;
    lastRequestIds_.erase(aConnection);
  });
  if (openConnections_ > settings_.maxCallers_) {
    metrics_.Add("quetzal_refusals_total",
                 { { "reason", std::string(ToString(Reason::kTooManyCallers)) } });
    aConnection->Abort();
    return;
  }
  connect(aConnection,
          &http::ServerConnection::RequestArrived,
          this,
          [this, aConnection](const http::Request& aRequest) { OnRequest(aConnection, aRequest); });
  connect(aConnection,
          &http::ServerConnection::RequestRefused,
          this,
          [this, aConnection](http::ReadError aError) { Refuse(aConnection, ReasonOf(aError)); });
  connect(aConnection, &http::ServerConnection::RequestTooSlow, this, [this, aConnection] {
    Refuse(aConnection, Reason::kSlowCaller);
  });
  connect(aConnection, &http::ServerConnection::RequestEvicted, this, [this, aConnection] {
    Refuse(aConnection, Reason::kTooManyCallers);
  });
  connect(aConnection, &http::ServerConnection::CallerLeft, this, [this, aConnection] {
    const auto id = lastRequestIds_.find(aConnection);
    if (id != lastRequestIds_.end()) {
      dispatcher_.Cancel(id->second);
    }
  });
  if (stopping_) {
    aConnection->CloseAfterAnswer();
  }
}

void
CallerServer::OnRequest(http::ServerConnection* aConnection, const http::Request& aRequest)
{
  if (aRequest.target_ == kHealthPath) {
    const unsigned status = stopping_ ? http::status::kServiceUnavailable : http::status::kOk;
    aConnection->Answer({ status, {}, stopping_ ? "leaving\n" : "ok\n" });
    return;
  }
  const std::uint64_t id = ++lastId_;
  const view::View& view = dispatcher_.View();
  ServiceRequestResult result =
    MakeServiceRequest(id, aRequest, view.document_.get(), clock::Now());
  if (result.refusal_ != Reason::kNone) {
    Refuse(aConnection, result.refusal_);
    return;
  }
  if (stopping_ && !BoundDeadline(result.request_.deadline_)) {
    Refuse(aConnection, Reason::kDeadlineTooShort);
    return;
  }
  waitingConnections_[id] = aConnection;
  lastRequestIds_[aConnection] = id;
  dispatcher_.Submit(result.request_);
}

/** Moves a deadline so that the response is sent before this process ends. @return false if the
 * time until then is too short. */
bool
CallerServer::BoundDeadline(clock::Moment& aDeadline) const
{
  const clock::Moment now = clock::Now();
  const auto elapsed = std::chrono::duration_cast<clock::Milliseconds>(now - stopStartedAt_);
  const auto timeout = std::chrono::duration_cast<clock::Milliseconds>(aDeadline - now);
  const auto bounded = process::TimeoutDuringStop(stopSchedule_, elapsed, timeout);
  if (!bounded) {
    return false;
  }
  aDeadline = std::min(aDeadline, now + *bounded);
  return true;
}

void
CallerServer::OnFinished(const RequestResult& aResult)
{
  const auto found = waitingConnections_.find(aResult.id_);
  if (found == waitingConnections_.end()) {
    return;
  }
  const QPointer<http::ServerConnection> connection = found->second;
  waitingConnections_.erase(found);
  if (connection) {
    Reply(connection, aResult.reason_, aResult.response_);
  } else {
    CountOutcome(aResult.reason_);
  }
}

void
CallerServer::Refuse(http::ServerConnection* aConnection, Reason aReason)
{
  Reply(aConnection, aReason, {});
}

void
CallerServer::Reply(http::ServerConnection* aConnection,
                    Reason aReason,
                    const http::Response& aResponse)
{
  CountOutcome(aReason);
  aConnection->Answer(WithOutcome(aReason, aResponse));
}

void
CallerServer::CountOutcome(Reason aReason)
{
  const std::string outcome(outcome::ToString(outcome::OutcomeOf(aReason)));
  metrics_.Add("quetzal_requests_total", { { "outcome", outcome } });
  if (aReason != Reason::kNone) {
    metrics_.Add("quetzal_refusals_total", { { "reason", std::string(ToString(aReason)) } });
  }
}

void
CallerServer::StartStopping(const process::StopSchedule& aSchedule)
{
  stopping_ = true;
  stopSchedule_ = aSchedule;
  stopStartedAt_ = clock::Now();
  for (http::ServerConnection* connection : server_.Connections()) {
    connection->CloseAfterAnswer();
  }
}

void
CallerServer::StopListening()
{
  server_.StopListening();
}

bool
CallerServer::IsDone() const
{
  return waitingConnections_.empty() && openConnections_ == 0;
}

} // namespace quetzal::entry
