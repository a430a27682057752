#pragma once

#include "include/quetzal/connection/BackendConnection.h"
#include "include/quetzal/outcome/Outcome.h"
#include "include/quetzal/routing/Attempt.h"

#include <chrono>
#include <cstdint>

namespace quetzal::connection {

/** How an attempt ended. */
struct JobResult
{
  std::uint64_t request_ = 0;
  routing::AttemptState state_ = routing::AttemptState::kNotWritten;
  outcome::Reason reason_ = outcome::Reason::kNone;
  outcome::RetryReason retryReason_ = outcome::RetryReason::kConnectFailed;
  http::Response response_;
  std::chrono::duration<double, std::milli> time_{ 0 };
};

/** Returns what an attempt has come to that ended without an answer.
 * @param aWritten whether any byte of the request had been written. */
JobResult
ResultOfFailure(ExchangeError aError, bool aWritten);

/** Returns what an attempt has come to that was answered. A refusal says that nothing has run. */
JobResult
ResultOfAnswer(const http::Response& aResponse, bool aRefused);

/** Returns what an attempt has come to that was given up since its connection stayed silent. */
JobResult
ResultOfSilence(bool aWritten);

} // namespace quetzal::connection
