#pragma once

#include "include/quetzal/clock/Time.h"

#include <cstdint>

namespace quetzal::node {

/** What is known of one connection between entry hosts from the bytes that arrive on it. */
struct LinkHealth
{
  bool connected_ = false;
  bool answerDue_ =
    false;              ///< The other host has not sent all that it owes for what was sent to it.
  bool pinged_ = false; ///< A ping was sent since the last bytes arrived.
  clock::Milliseconds silence_{ 0 }; ///< Time without bytes while a connection or an answer is due.

  bool operator==(const LinkHealth&) const = default;
};

enum class LinkState : std::uint8_t
{
  kHealthy,
  kQuiet,   ///< A ping is due, which a responsive host answers at once.
  kSuspect, ///< Even a ping was not answered: new calls should use another connection.
  kSilent,  ///< The connection carries nothing and should be closed.
};

LinkHealth
AfterConnecting(LinkHealth aHealth);

LinkHealth
AfterSending(LinkHealth aHealth);

LinkHealth
AfterReceiving(LinkHealth aHealth, bool aCallsWait);

/** Returns the health at a periodic check. @param aElapsed time since the last check; a long one
 * counts only in part, because this process has not read meanwhile. */
LinkHealth
AfterCheck(LinkHealth aHealth, clock::Milliseconds aElapsed);

/** Returns a connection's state. @param aSuccessorAnswersFor how long ago the other host first
 * answered on a newer connection; 0 if it has not. A host that answers there is responsive, so that
 * a suspect connection is silent. */
LinkState
StateOf(const LinkHealth& aHealth, clock::Milliseconds aSuccessorAnswersFor);

} // namespace quetzal::node
