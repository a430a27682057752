#include "include/quetzal/process/StopSchedule.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::process;
using namespace std::chrono_literals;

struct StopScheduleFixture
{
  const StopSchedule schedule_ = MakeStopSchedule(6'000ms, 3'200ms);
};

BOOST_FIXTURE_TEST_SUITE(StopScheduleOfAProcess, StopScheduleFixture)

BOOST_AUTO_TEST_CASE(Schedule_OfAnyStopTime_AnswersBeforeTheExitAndExitsBeforeTheKill)
{
  for (const auto stopTime : { 0ms, 500ms, 1'000ms, 2'000ms, 6'000ms, 30'000ms }) {
    const StopSchedule schedule = MakeStopSchedule(stopTime, 3'200ms);
    BOOST_TEST((schedule.minServingTime_ >= 0ms));
    BOOST_TEST((schedule.minServingTime_ <= schedule.lastAnswer_));
    BOOST_TEST((schedule.lastAnswer_ <= schedule.exit_));
    BOOST_TEST((schedule.exit_ <= stopTime));
  }
}

BOOST_AUTO_TEST_CASE(Request_CallerWaitsLongerThanTheProcessLives_IsAnsweredBeforeTheExit)
{
  for (auto elapsed = 0ms; elapsed < 6'000ms; elapsed += 100ms) {
    const auto timeout = TimeoutDuringStop(schedule_, elapsed, 3'000ms);
    BOOST_TEST((!timeout || elapsed + *timeout <= schedule_.lastAnswer_));
  }
}

BOOST_AUTO_TEST_CASE(Request_CallerWaitsShorterThanTheProcessLives_KeepsItsTimeout)
{
  BOOST_TEST((TimeoutDuringStop(schedule_, 100ms, 900ms) == 900ms));
}

BOOST_AUTO_TEST_CASE(Request_ProcessIsAboutToExit_IsRefused)
{
  BOOST_TEST(!TimeoutDuringStop(schedule_, schedule_.lastAnswer_ - 100ms, 3'000ms).has_value());
  BOOST_TEST(!TimeoutDuringStop(schedule_, schedule_.exit_ + 1'000ms, 3'000ms).has_value());
}

BOOST_AUTO_TEST_CASE(Process_IsIdle_EndsListeningAfterItsMinimumServingTime)
{
  BOOST_TEST(!MayEndListening(schedule_, schedule_.minServingTime_ - 1ms, true));
  BOOST_TEST(MayEndListening(schedule_, schedule_.minServingTime_, true));
}

BOOST_AUTO_TEST_CASE(Process_CallersWait_EndsListeningAtTheLastAnswer)
{
  BOOST_TEST(!MayEndListening(schedule_, schedule_.lastAnswer_ - 1ms, false));
  BOOST_TEST(MayEndListening(schedule_, schedule_.lastAnswer_, false));
}

BOOST_AUTO_TEST_CASE(Process_IsIdle_ExitsAfterItsMinimumServingTime)
{
  BOOST_TEST(!MayExit(schedule_, schedule_.minServingTime_ - 1ms, true));
  BOOST_TEST(MayExit(schedule_, schedule_.minServingTime_, true));
}

BOOST_AUTO_TEST_CASE(Process_CallersStillReceiveAnswers_ExitsOnlyAtTheEnd)
{
  BOOST_TEST(!MayExit(schedule_, schedule_.exit_ - 1ms, false));
  BOOST_TEST(MayExit(schedule_, schedule_.exit_, false));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
