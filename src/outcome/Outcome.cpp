#include "include/quetzal/outcome/Outcome.h"

#include <cassert>

namespace quetzal::outcome {
namespace {

struct ReasonTraits
{
  Reason reason_;
  std::string_view name_;
  Outcome outcome_;
  unsigned status_;
};

constexpr std::array<ReasonTraits, kReasonCount> kReasons = { {
  { Reason::kNone, "none", Outcome::kAnswered, 200 },
  { Reason::kMalformedRequest, "malformed-request", Outcome::kNotRun, 400 },
  { Reason::kHeaderTooLarge, "header-too-large", Outcome::kNotRun, 431 },
  { Reason::kBodyTooLarge, "body-too-large", Outcome::kNotRun, 413 },
  { Reason::kSlowCaller, "slow-caller", Outcome::kNotRun, 408 },
  { Reason::kTooManyCallers, "too-many-callers", Outcome::kNotRun, 503 },
  { Reason::kNoDocument, "no-document", Outcome::kNotRun, 503 },
  { Reason::kNoSuchService, "no-such-service", Outcome::kNotRun, 404 },
  { Reason::kBadDeadline, "bad-deadline", Outcome::kNotRun, 400 },
  { Reason::kBadKey, "bad-key", Outcome::kNotRun, 400 },
  { Reason::kKeyReused, "key-reused", Outcome::kNotRun, 422 },
  { Reason::kQueueFull, "queue-full", Outcome::kNotRun, 503 },
  { Reason::kDeadlineTooShort, "deadline-too-short", Outcome::kNotRun, 503 },
  { Reason::kDeadlineInQueue, "deadline-in-queue", Outcome::kNotRun, 503 },
  { Reason::kNoBackendServer, "no-backend-server", Outcome::kNotRun, 503 },
  { Reason::kConnectFailed, "connect-failed", Outcome::kNotRun, 503 },
  { Reason::kBackendRefused, "backend-refused", Outcome::kNotRun, 503 },
  { Reason::kClaimUnavailable, "claim-unavailable", Outcome::kNotRun, 503 },
  { Reason::kCallerLeft, "caller-left", Outcome::kNotRun, 503 },
  { Reason::kDeadlinePassed, "deadline-passed", Outcome::kUnknown, 504 },
  { Reason::kConnectionLost, "connection-lost", Outcome::kUnknown, 504 },
  { Reason::kAnswerTruncated, "answer-truncated", Outcome::kUnknown, 504 },
  { Reason::kAnswerMalformed, "answer-malformed", Outcome::kUnknown, 504 },
  { Reason::kAnswerTooLarge, "answer-too-large", Outcome::kUnknown, 504 },
  { Reason::kClaimHeld, "claim-held", Outcome::kUnknown, 504 },
} };

constexpr bool
TraitsAreInEnumOrder()
{
  for (std::size_t i = 0; i < kReasons.size(); ++i) {
    if (static_cast<std::size_t>(kReasons[i].reason_) != i) {
      return false;
    }
  }
  return true;
}
static_assert(TraitsAreInEnumOrder());

const ReasonTraits&
TraitsOf(Reason aReason)
{
  return kReasons.at(static_cast<std::size_t>(aReason));
}

} // namespace

std::string_view
ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  assert(false);
  return {};
}

std::string_view
ToString(Reason aReason)
{
  return TraitsOf(aReason).name_;
}

std::string_view
ToString(RetryReason aReason)
{
  static constexpr std::array<std::string_view, kRetryReasonCount> kNames = {
    "connect-failed", "backend-refused", "connection-lost", "bad-answer",
    "silent",         "server-error",    "unproven",
  };
  return kNames.at(static_cast<std::size_t>(aReason));
}

Outcome
OutcomeOf(Reason aReason)
{
  return TraitsOf(aReason).outcome_;
}

unsigned
StatusOf(Reason aReason)
{
  return TraitsOf(aReason).status_;
}

} // namespace quetzal::outcome
