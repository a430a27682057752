#include "include/quetzal/node/LinkHealth.h"

#include "include/quetzal/node/PeerCall.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::node;
using namespace std::chrono_literals;

constexpr clock::Milliseconds kInterval{ 100 };
constexpr clock::Milliseconds kNoSuccessor{ 0 };

/** Returns the health after that time without bytes. */
LinkHealth
SilentFor(LinkHealth aHealth, clock::Milliseconds aTime)
{
  for (clock::Milliseconds time{ 0 }; time < aTime; time += kInterval) {
    aHealth = AfterCheck(aHealth, kInterval);
  }
  return aHealth;
}

/** A connection on which a call waits. */
LinkHealth
Waiting()
{
  return AfterSending(AfterConnecting({}));
}

BOOST_AUTO_TEST_SUITE(LinkHealthSuite)

BOOST_AUTO_TEST_CASE(Link_NothingIsDue_StaysHealthy)
{
  const LinkHealth idle = SilentFor(AfterConnecting({}), 1h);
  BOOST_CHECK(StateOf(idle, kNoSuccessor) == LinkState::kHealthy);
  const LinkHealth answered = SilentFor(AfterReceiving(Waiting(), false), 1h);
  BOOST_CHECK(StateOf(answered, kNoSuccessor) == LinkState::kHealthy);
}

BOOST_AUTO_TEST_CASE(Link_NoBytesWhileAnAnswerIsDue_IsQuietThenSuspectThenSilent)
{
  BOOST_CHECK(StateOf(SilentFor(Waiting(), 200ms), kNoSuccessor) == LinkState::kHealthy);
  LinkHealth quiet = SilentFor(Waiting(), 300ms);
  BOOST_CHECK(StateOf(quiet, kNoSuccessor) == LinkState::kQuiet);
  quiet.pinged_ = true;
  BOOST_CHECK(StateOf(quiet, kNoSuccessor) == LinkState::kHealthy);
  BOOST_CHECK(StateOf(SilentFor(quiet, 700ms), kNoSuccessor) == LinkState::kSuspect);
  BOOST_CHECK(StateOf(SilentFor(quiet, 3'600ms), kNoSuccessor) == LinkState::kSuspect);
  BOOST_CHECK(StateOf(SilentFor(quiet, 3'700ms), kNoSuccessor) == LinkState::kSilent);
}

BOOST_AUTO_TEST_CASE(Link_BytesArrive_SilenceStartsAgain)
{
  LinkHealth health = SilentFor(Waiting(), 3'900ms);
  health.pinged_ = true;
  health = AfterReceiving(health, true);
  BOOST_CHECK(health == Waiting());
  BOOST_CHECK(StateOf(SilentFor(health, 300ms), kNoSuccessor) == LinkState::kQuiet);
}

BOOST_AUTO_TEST_CASE(Link_SuspectWhileItsSuccessorAnswers_IsSilent)
{
  const LinkHealth suspect = SilentFor(Waiting(), 1s);
  BOOST_CHECK(StateOf(suspect, 100ms) == LinkState::kSuspect);
  BOOST_CHECK(StateOf(suspect, 150ms) == LinkState::kSilent);
  BOOST_CHECK(StateOf(SilentFor(Waiting(), 900ms), 150ms) == LinkState::kQuiet);
}

BOOST_AUTO_TEST_CASE(Link_ThisProcessStalled_SilenceCountsOnlyInPart)
{
  const LinkHealth health = AfterCheck(Waiting(), 10s);
  BOOST_CHECK(StateOf(health, kNoSuccessor) == LinkState::kHealthy);
}

BOOST_AUTO_TEST_CASE(Link_NotConnectedInTime_IsSilent)
{
  BOOST_CHECK(StateOf(SilentFor({}, 800ms), kNoSuccessor) == LinkState::kHealthy);
  BOOST_CHECK(StateOf(SilentFor({}, 900ms), kNoSuccessor) == LinkState::kSilent);
}

BOOST_AUTO_TEST_CASE(Call_WithoutAnAnswer_EndsAsNotSentUnlessItWasSent)
{
  const clock::Moment expiresAt = clock::Moment{} + 1h;
  BOOST_TEST(!IsExpired({ expiresAt, true }, expiresAt - 1ms));
  BOOST_TEST(IsExpired({ expiresAt, true }, expiresAt));
  BOOST_CHECK(FailureOf({ expiresAt, true }) == CallFailure::kNoAnswer);
  BOOST_CHECK(FailureOf({ expiresAt, false }) == CallFailure::kNotSent);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
