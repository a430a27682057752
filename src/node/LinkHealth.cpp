#include "include/quetzal/node/LinkHealth.h"

#include <algorithm>

namespace quetzal::node {
namespace {

/** Time limit for connecting. */
constexpr clock::Milliseconds kConnectionTimeout{ 900 };
constexpr clock::Milliseconds kQuietAfter{ 300 };
constexpr clock::Milliseconds kSuspectAfter{ 1'000 };
constexpr clock::Milliseconds kSilentAfter{ 4'000 };
/** A host that was stalled answers on all its connections within this time. */
constexpr clock::Milliseconds kSuccessorMargin{ 150 };
constexpr clock::Milliseconds kMaxCountedInterval{ 200 };

} // namespace

LinkHealth
AfterConnecting(LinkHealth aHealth)
{
  aHealth.connected_ = true;
  aHealth.silence_ = clock::Milliseconds(0);
  return aHealth;
}

LinkHealth
AfterSending(LinkHealth aHealth)
{
  aHealth.answerDue_ = true;
  return aHealth;
}

LinkHealth
AfterReceiving(LinkHealth aHealth, bool aCallsWait)
{
  aHealth.answerDue_ = aCallsWait;
  aHealth.pinged_ = false;
  aHealth.silence_ = clock::Milliseconds(0);
  return aHealth;
}

LinkHealth
AfterCheck(LinkHealth aHealth, clock::Milliseconds aElapsed)
{
  if (!aHealth.connected_ || aHealth.answerDue_) {
    aHealth.silence_ += std::min(aElapsed, kMaxCountedInterval);
  }
  return aHealth;
}

LinkState
StateOf(const LinkHealth& aHealth, clock::Milliseconds aSuccessorAnswersFor)
{
  if (!aHealth.connected_) {
    return aHealth.silence_ >= kConnectionTimeout ? LinkState::kSilent : LinkState::kHealthy;
  }
  if (aHealth.silence_ >= kSilentAfter) {
    return LinkState::kSilent;
  }
  if (aHealth.silence_ >= kSuspectAfter) {
    return aSuccessorAnswersFor >= kSuccessorMargin ? LinkState::kSilent : LinkState::kSuspect;
  }
  const bool isPingDue = aHealth.silence_ >= kQuietAfter && !aHealth.pinged_;
  return isPingDue ? LinkState::kQuiet : LinkState::kHealthy;
}

} // namespace quetzal::node
