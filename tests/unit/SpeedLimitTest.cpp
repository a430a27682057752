#include "include/quetzal/sharing/SpeedLimit.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::sharing;

BOOST_AUTO_TEST_SUITE(FillingPace)

BOOST_AUTO_TEST_CASE(Pace_NothingServes_IsFull)
{
  BOOST_TEST(NextSpeedPercent(kFullSpeedPercent, {}) == kFullSpeedPercent);
}

BOOST_AUTO_TEST_CASE(Pace_AServingTaskOverItsTarget_IsNoneAfterFewLooks)
{
  int pace = kFullSpeedPercent;
  for (int look = 0; look < 4; ++look) {
    pace = NextSpeedPercent(pace, { { 100, 20 }, { 100, 130 } });
  }
  BOOST_TEST(pace == 0);
}

BOOST_AUTO_TEST_CASE(Pace_ServingTasksRelaxed_ReturnsStepByStep)
{
  int pace = NextSpeedPercent(0, { { 100, 40 } });
  BOOST_TEST(pace > 0);
  BOOST_TEST(pace < kFullSpeedPercent);
  for (int look = 0; look < 10; ++look) {
    pace = NextSpeedPercent(pace, { { 100, 40 } });
  }
  BOOST_TEST(pace == kFullSpeedPercent);
}

BOOST_AUTO_TEST_CASE(Pace_BetweenTheBounds_Stays)
{
  BOOST_TEST(NextSpeedPercent(50, { { 100, 70 } }) == 50);
}

/** Plays a serving load that is disturbed in proportion to the pace, as fillers on a worker do. */
BOOST_AUTO_TEST_CASE(Pace_LoadRisesAndFalls_TargetIsMissedForTwoLooksAtMost)
{
  int pace = kFullSpeedPercent;
  int missed = 0;
  int longest = 0;
  int atFull = 0;
  for (int look = 0; look < 60; ++look) {
    const std::int64_t alone = look >= 20 && look < 40 ? 75 : 30;
    const std::int64_t tail = alone + pace / 2;
    missed = tail > 100 ? missed + 1 : 0;
    longest = std::max(longest, missed);
    atFull += pace == kFullSpeedPercent ? 1 : 0;
    pace = NextSpeedPercent(pace, { { 100, tail } });
  }
  BOOST_TEST(longest <= 2);
  BOOST_TEST(atFull > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
