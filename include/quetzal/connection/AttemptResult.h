#pragma once

#include "include/quetzal/connection/BackendConnection.h"
#include "include/quetzal/outcome/Outcome.h"
#include "include/quetzal/routing/Attempt.h"

#include <chrono>
#include <cstdint>

namespace quetzal::connection {

/** The result of an attempt. */
struct AttemptResult
{
  std::uint64_t request_ = 0;
  routing::AttemptState state_ = routing::AttemptState::kNotWritten;
  outcome::Reason reason_ = outcome::Reason::kNone;
  outcome::RetryReason retryReason_ = outcome::RetryReason::kConnectFailed;
  http::Response response_;
  std::chrono::duration<double, std::milli> duration_{ 0 };
};

/** Returns the result of an attempt that ended without an answer.
 * @param aWritten whether any byte of the request was written. */
AttemptResult
ResultOfFailure(ExchangeError aError, bool aWritten);

/** Returns the result of an attempt that was answered.
 * @param aRefused whether the answer states that the request was not run. */
AttemptResult
ResultOfAnswer(const http::Response& aResponse, bool aRefused);

/** Returns the result of an attempt that was abandoned because it was silent.
 * @param aWritten whether any byte of the request was written. */
AttemptResult
ResultOfSilence(bool aWritten);

} // namespace quetzal::connection
