#include "include/quetzal/connection/AttemptResult.h"

namespace quetzal::connection {
namespace {

using outcome::Reason;
using outcome::RetryReason;
using routing::AttemptEvent;
using routing::AttemptState;

Reason
ReasonOf(ExchangeError aError)
{
  switch (aError) {
    case ExchangeError::kConnectFailed:
      return Reason::kConnectFailed;
    case ExchangeError::kConnectionLost:
      return Reason::kConnectionLost;
    case ExchangeError::kTruncated:
      return Reason::kAnswerTruncated;
    case ExchangeError::kMalformed:
      return Reason::kAnswerMalformed;
    case ExchangeError::kTooLarge:
      return Reason::kAnswerTooLarge;
    case ExchangeError::kTimedOut:
      return Reason::kDeadlinePassed;
  }
  return Reason::kConnectionLost;
}

AttemptEvent
EventOf(ExchangeError aError)
{
  switch (aError) {
    case ExchangeError::kConnectFailed:
      return AttemptEvent::kConnectFailed;
    case ExchangeError::kConnectionLost:
      return AttemptEvent::kConnectionLost;
    case ExchangeError::kTimedOut:
      return AttemptEvent::kTimedOut;
    case ExchangeError::kTruncated:
    case ExchangeError::kMalformed:
    case ExchangeError::kTooLarge:
      return AttemptEvent::kBadAnswer;
  }
  return AttemptEvent::kConnectionLost;
}

/** Returns the state of an attempt immediately before it ended. */
AttemptState
StateBefore(bool aWritten)
{
  const AttemptState start = AttemptState::kNotWritten;
  return aWritten ? routing::Next(start, AttemptEvent::kFirstByteWritten) : start;
}

RetryReason
RetryReasonOf(ExchangeError aError)
{
  switch (aError) {
    case ExchangeError::kConnectFailed:
      return RetryReason::kConnectFailed;
    case ExchangeError::kConnectionLost:
    case ExchangeError::kTimedOut:
      return RetryReason::kConnectionLost;
    case ExchangeError::kTruncated:
    case ExchangeError::kMalformed:
    case ExchangeError::kTooLarge:
      return RetryReason::kBadAnswer;
  }
  return RetryReason::kConnectionLost;
}

} // namespace

AttemptResult
ResultOfFailure(ExchangeError aError, bool aWritten)
{
  AttemptResult result;
  result.state_ = routing::Next(StateBefore(aWritten), EventOf(aError));
  result.reason_ = ReasonOf(aError);
  result.retryReason_ = RetryReasonOf(aError);
  return result;
}

AttemptResult
ResultOfAnswer(const http::Response& aResponse, bool aRefused)
{
  AttemptResult result;
  result.state_ =
    routing::Next(AttemptState::kWritten,
                  aRefused ? AttemptEvent::kRefusalComplete : AttemptEvent::kAnswerComplete);
  result.reason_ = aRefused ? Reason::kBackendRefused : Reason::kNone;
  result.retryReason_ = aRefused ? RetryReason::kBackendRefused : RetryReason::kServerError;
  result.response_ = aResponse;
  return result;
}

AttemptResult
ResultOfSilence(bool aWritten)
{
  AttemptResult result;
  result.state_ = routing::Next(StateBefore(aWritten), AttemptEvent::kTimedOut);
  result.reason_ = aWritten ? Reason::kConnectionLost : Reason::kConnectFailed;
  result.retryReason_ = RetryReason::kSilent;
  return result;
}

} // namespace quetzal::connection
