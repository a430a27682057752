#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/** The outcome of a request, as sent to its caller, and the reason for it. */
namespace quetzal::outcome {

/** What an answer states about the processing of a request. */
enum class Outcome : std::uint8_t
{
  kAnswered, ///< The answer is the backend server's whole answer.
  kNotRun,   ///< No backend server has run the request, and none will.
  kUnknown,  ///< The request may or may not have run.
};

/** Why a request was not answered. Counters and answers both use this enumeration. */
enum class Reason : std::uint8_t
{
  kNone,
  // No backend server has run the request.
  kMalformedRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kSlowCaller,
  kTooManyCallers,
  kNoDocument,
  kNoSuchService,
  kBadDeadline,
  kBadKey,
  kKeyReused,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlineInQueue,
  kNoBackendServer,
  kConnectFailed,
  kBackendRefused,
  kClaimUnavailable,
  kCallerLeft,
  // A backend server may have run the request.
  kDeadlinePassed,
  kConnectionLost,
  kAnswerTruncated,
  kAnswerMalformed,
  kAnswerTooLarge,
  kClaimHeld,
};

inline constexpr std::size_t kReasonCount = static_cast<std::size_t>(Reason::kClaimHeld) + 1;

/** Why a request was retried on another backend server. */
enum class RetryReason : std::uint8_t
{
  kConnectFailed,
  kBackendRefused,
  kConnectionLost,
  kBadAnswer,
  kSilent,
  kServerError,
  kProbeFailed,
};

inline constexpr std::size_t kRetryReasonCount =
  static_cast<std::size_t>(RetryReason::kProbeFailed) + 1;

/** Returns the name used in answers, such as "not-run". */
std::string_view
ToString(Outcome aOutcome);

/** Returns the name used in answers and counters, such as "queue-full". */
std::string_view
ToString(Reason aReason);

/** Returns the name used in counters, such as "connect-failed". */
std::string_view
ToString(RetryReason aReason);

/** Returns the outcome for a reason; kAnswered for kNone. */
Outcome
OutcomeOf(Reason aReason);

/** Returns the HTTP status of the answer to a request that ends for this reason. */
unsigned
StatusOf(Reason aReason);

} // namespace quetzal::outcome
