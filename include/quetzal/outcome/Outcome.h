#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/** What a caller is told about its request, and why. */
namespace quetzal::outcome {

/** The handling that an answer promises its caller. */
enum class Outcome : std::uint8_t
{
  kAnswered, ///< The backend server's whole answer.
  kNotRun,   ///< No backend server has run the request, and none will.
  kUnknown,  ///< The request may or may not have run.
};

/** Why a request was not answered. Counters and answers share this enumeration. */
enum class Reason : std::uint8_t
{
  kNone,
  // The request was refused before any backend server saw it.
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

/** Why a request was sent to a further backend server. */
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

/** Returns the name that answers carry, such as "not-run". */
std::string_view
ToString(Outcome aOutcome);

/** Returns the name that answers and counters carry, such as "queue-full". */
std::string_view
ToString(Reason aReason);

/** Returns the name that counters carry, such as "connect-failed". */
std::string_view
ToString(RetryReason aReason);

/** Returns the outcome that a reason stands for; kAnswered for kNone. */
Outcome
OutcomeOf(Reason aReason);

/** Returns the HTTP status with which a request that ends for this reason is answered. */
unsigned
StatusOf(Reason aReason);

} // namespace quetzal::outcome
