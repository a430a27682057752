#pragma once

#include "include/quetzal/outcome/Outcome.h"

#include <cstdint>

namespace quetzal::routing {

/** The state of one attempt of a request at one backend server. */
enum class AttemptState : std::uint8_t
{
  kNotWritten, ///< No byte was written to a connected socket: the request has not run.
  kWritten,    ///< The request may be running.
  kAnswered,   ///< The whole answer was received.
  kRefused,    ///< The backend server answered that the request did not run.
  kLost,       ///< The request was written, and no whole answer will be received.
};

enum class AttemptEvent : std::uint8_t
{
  kFirstByteWritten,
  kAnswerComplete,
  kRefusalComplete,
  kConnectFailed,
  kConnectionLost,
  kTimedOut,
  kBadAnswer,
};

/** Returns the state after an event. Events after the end of an attempt change nothing. */
AttemptState
Next(AttemptState aState, AttemptEvent aEvent);

/** Returns whether an attempt in this state has certainly not run. */
bool
HasNotRun(AttemptState aState);

/** Returns the outcome to send to the caller if no further attempt is made. */
outcome::Outcome
OutcomeOf(AttemptState aState);

} // namespace quetzal::routing
