#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/routing/Attempt.h"

namespace quetzal::retry {

/** What is known when an attempt has ended without the answer. */
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
  kRetryAndSpendToken, ///< Send again, at the cost of one token of the budget.
};

/** Decides whether a request is sent again. A request that may have run is sent again only if it
 * is idempotent. */
Action
Decide(const RetryContext& aContext);

/** Decides whether an attempt that has stayed silent for longer than usual is given up for one on
 * another backend server. Only a request's first attempt is: an answer that is merely slow would
 * otherwise be worked on again and again, and the request may use all of its caller's time. */
bool
ShouldFailOver(const RetryContext& aContext, bool aOthersAreAvailable);

} // namespace quetzal::retry
