#pragma once

#include "include/quetzal/clock/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace quetzal::node {

/** The calls between entry hosts; sent as a number. */
enum class PeerMethod : int
{
  kAnswer = 0,        ///< Not a call, but the answer to one.
  kJob = 1,           ///< A caller's request, for the owner of a cell.
  kReport = 2,        ///< A cell's report, for the owner of the fleet.
  kPing = 3,          ///< Answered at once, to show that the connection works.
  kConfiguration = 4, ///< A question for a newer configuration, to any host.
};

enum class CallFailure : std::uint8_t
{
  kNone,
  kNotSent,  ///< The call was not sent to the other host.
  kNoAnswer, ///< The other host may have executed the call.
};

struct CallResult
{
  CallFailure failure_ = CallFailure::kNoAnswer;
  std::string body_;
};

using CallResultHandler = std::function<void(const CallResult&)>;

/** A call that waits for its answer. */
struct CallState
{
  clock::Moment expiresAt_{};
  bool sent_ = false;

  bool operator==(const CallState&) const = default;
};

/** Returns how a call ends that gets no answer any more. */
inline CallFailure
FailureOf(const CallState& aCall)
{
  return aCall.sent_ ? CallFailure::kNoAnswer : CallFailure::kNotSent;
}

inline bool
IsExpired(const CallState& aCall, clock::Moment aNow)
{
  return aCall.expiresAt_ <= aNow;
}

} // namespace quetzal::node
