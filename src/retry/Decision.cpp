#include "include/quetzal/retry/Decision.h"

namespace quetzal::retry {
namespace {

constexpr int kMostAttempts = 4;

Action
IfBudgetAllows(const Question& aQuestion)
{
  return aQuestion.budgetAllows_ ? Action::kSendAgainAndSpend : Action::kGiveUp;
}

} // namespace

Action
Decide(const Question& aQuestion)
{
  if (aQuestion.left_.count() <= 0 || aQuestion.attempts_ >= kMostAttempts) {
    return Action::kGiveUp;
  }
  switch (aQuestion.state_) {
    case routing::AttemptState::kNotWritten:
      return Action::kSendAgain;
    case routing::AttemptState::kRefused:
      return IfBudgetAllows(aQuestion);
    case routing::AttemptState::kAnswered:
    case routing::AttemptState::kWritten:
    case routing::AttemptState::kLost:
      return aQuestion.idempotent_ ? IfBudgetAllows(aQuestion) : Action::kGiveUp;
  }
  return Action::kGiveUp;
}

bool
ShouldTryElsewhere(const Question& aQuestion, bool aOthersAreAvailable)
{
  return aQuestion.attempts_ == 1 && aOthersAreAvailable && Decide(aQuestion) != Action::kGiveUp;
}

} // namespace quetzal::retry
