#include "include/quetzal/retry/Decision.h"

namespace quetzal::retry {
namespace {

constexpr int kMaxAttempts = 4;

Action
RetryIfBudgetAllows(const RetryContext& aContext)
{
  return aContext.budgetAllows_ ? Action::kRetryAndSpendToken : Action::kGiveUp;
}

} // namespace

Action
Decide(const RetryContext& aContext)
{
  if (aContext.timeLeft_.count() <= 0 || aContext.attempts_ >= kMaxAttempts) {
    return Action::kGiveUp;
  }
  switch (aContext.state_) {
    case routing::AttemptState::kNotWritten:
      return Action::kRetry;
    case routing::AttemptState::kRefused:
      return RetryIfBudgetAllows(aContext);
    case routing::AttemptState::kAnswered:
    case routing::AttemptState::kWritten:
    case routing::AttemptState::kLost:
      return aContext.idempotent_ ? RetryIfBudgetAllows(aContext) : Action::kGiveUp;
  }
  return Action::kGiveUp;
}

bool
ShouldFailOver(const RetryContext& aContext, bool aOthersAreAvailable)
{
  return aContext.attempts_ == 1 && aOthersAreAvailable && Decide(aContext) != Action::kGiveUp;
}

} // namespace quetzal::retry
