#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/routing/Attempt.h"

namespace quetzal::retry {

/** The facts for a retry decision, when an attempt has ended without an answer. */
struct RetryContext
{
  routing::AttemptState state_ = routing::AttemptState::kLost;
  bool idempotent_ = false;
  int attempts_ = 1; ///< Attempts made so far.
  clock::Milliseconds timeLeft_{ 0 };
  bool budgetAllows_ = false;
};

enum class Action : std::uint8_t
{
  kGiveUp,
  kRetry,
  kRetryAndSpendToken, ///< Retry, at the cost of one token of the budget.
};

/** Decides whether a request is retried. A request that may have run is retried only if it is
 * idempotent. */
Action
Decide(const RetryContext& aContext);

/** Returns whether an attempt that has been silent for longer than usual is abandoned for a retry
 * on another backend server. Only a request's first attempt is abandoned. A request may use all the
 * time until its deadline, and if later attempts were abandoned too, a request that merely takes
 * long would be run again and again. */
bool
ShouldFailOver(const RetryContext& aContext, bool aOthersAreAvailable);

} // namespace quetzal::retry
