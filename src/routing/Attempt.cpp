#include "include/quetzal/routing/Attempt.h"

namespace quetzal::routing {
namespace {

AttemptState
NextWritten(AttemptEvent aEvent)
{
  switch (aEvent) {
    case AttemptEvent::kAnswerComplete:
      return AttemptState::kAnswered;
    case AttemptEvent::kRefusalComplete:
      return AttemptState::kRefused;
    case AttemptEvent::kFirstByteWritten:
      return AttemptState::kWritten;
    case AttemptEvent::kConnectFailed:
    case AttemptEvent::kConnectionLost:
    case AttemptEvent::kTimedOut:
    case AttemptEvent::kBadAnswer:
      return AttemptState::kLost;
  }
  return AttemptState::kLost;
}

} // namespace

AttemptState
Next(AttemptState aState, AttemptEvent aEvent)
{
  switch (aState) {
    case AttemptState::kNotWritten:
      return aEvent == AttemptEvent::kFirstByteWritten ? AttemptState::kWritten : aState;
    case AttemptState::kWritten:
      return NextWritten(aEvent);
    case AttemptState::kAnswered:
    case AttemptState::kRefused:
    case AttemptState::kLost:
      break;
  }
  return aState;
}

bool
HasNotRun(AttemptState aState)
{
  return aState == AttemptState::kNotWritten || aState == AttemptState::kRefused;
}

outcome::Outcome
OutcomeOf(AttemptState aState)
{
  if (aState == AttemptState::kAnswered) {
    return outcome::Outcome::kAnswered;
  }
  return HasNotRun(aState) ? outcome::Outcome::kNotRun : outcome::Outcome::kUnknown;
}

} // namespace quetzal::routing
