#pragma once

#include "include/quetzal/connection/BackendConnection.h"
#include "include/quetzal/outcome/Outcome.h"
#include "include/quetzal/routing/Attempt.h"

#include <chrono>
#include <cstdint>

namespace quetzal::connection {

/** How an attempt ended. */
struct AttemptResult
{
  std::uint64_t request_ = 0;
  routing::AttemptState state_ = routing::AttemptState::kNotWritten;
  outcome::Reason reason_ = outcome::Reason::kNone;
  outcome::RetryReason retryReason_ = outcome::RetryReason::kConnectFailed;
  http::Response response_;
  std::chrono::duration<double, std::milli> duration_{ 0 };
};

/** Returns what an attempt has come to that ended without an answer.
 * @param aWritten whether any byte of the request had been written. */
AttemptResult
ResultOfFailure(ExchangeError aError, bool aWritten);

/** Returns what an attempt has come to that was answered. A refusal says that nothing has run. */
AttemptResult
ResultOfAnswer(const http::Response& aResponse, bool aRefused);

/** Returns what an attempt has come to that was given up since its connection stayed silent. */
AttemptResult
ResultOfSilence(bool aWritten);

} // namespace quetzal::connection
