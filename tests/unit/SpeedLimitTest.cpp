#include "include/quetzal/sharing/SpeedLimit.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::sharing;

BOOST_AUTO_TEST_SUITE(SpeedLimit)

BOOST_AUTO_TEST_CASE(Speed_NoLatencySensitiveTasks_IsFull)
{
  BOOST_TEST(NextSpeedPercent(kFullSpeedPercent, {}) == kFullSpeedPercent);
}

BOOST_AUTO_TEST_CASE(Speed_LatencyOverTarget_IsZeroAfterFourEvaluations)
{
  int speedPercent = kFullSpeedPercent;
  for (int round = 0; round < 4; ++round) {
    speedPercent = NextSpeedPercent(speedPercent, { { 100, 20 }, { 100, 130 } });
  }
  BOOST_TEST(speedPercent == 0);
}

BOOST_AUTO_TEST_CASE(Speed_LatencyWellBelowTarget_RisesInSteps)
{
  int speedPercent = NextSpeedPercent(0, { { 100, 40 } });
  BOOST_TEST(speedPercent > 0);
  BOOST_TEST(speedPercent < kFullSpeedPercent);
  for (int round = 0; round < 10; ++round) {
    speedPercent = NextSpeedPercent(speedPercent, { { 100, 40 } });
  }
  BOOST_TEST(speedPercent == kFullSpeedPercent);
}

BOOST_AUTO_TEST_CASE(Speed_LatencyBetweenTheBounds_IsUnchanged)
{
  BOOST_TEST(NextSpeedPercent(50, { { 100, 70 } }) == 50);
}

/** Simulates a tail latency that rises in proportion to the speed of best-effort tasks. */
BOOST_AUTO_TEST_CASE(Speed_LoadRisesAndFalls_TargetIsMissedForAtMostTwoEvaluations)
{
  int speedPercent = kFullSpeedPercent;
  int missed = 0;
  int longestMiss = 0;
  int roundsAtFullSpeed = 0;
  for (int round = 0; round < 60; ++round) {
    const std::int64_t alone = round >= 20 && round < 40 ? 75 : 30;
    const std::int64_t tail = alone + speedPercent / 2;
    missed = tail > 100 ? missed + 1 : 0;
    longestMiss = std::max(longestMiss, missed);
    roundsAtFullSpeed += speedPercent == kFullSpeedPercent ? 1 : 0;
    speedPercent = NextSpeedPercent(speedPercent, { { 100, tail } });
  }
  BOOST_TEST(longestMiss <= 2);
  BOOST_TEST(roundsAtFullSpeed > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
