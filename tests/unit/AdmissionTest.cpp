#include "include/quetzal/admission/Latency.h"
#include "include/quetzal/admission/QueueCommands.h"
#include "include/quetzal/admission/QueueQueries.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::admission;
using namespace std::chrono_literals;
using quetzal::clock::Moment;
using quetzal::document::WorkClass;
using quetzal::outcome::Reason;

struct QueueFixture
{
  void Add(std::uint64_t aRequest, WorkClass aClass, std::chrono::milliseconds aDeadline)
  {
    Push(queue_, { start_ + aDeadline, aRequest, aClass });
  }

  std::uint64_t Take() { return TakeNext(queue_, true, true)->request_; }

  Moment start_ = Moment{} + 1h;
  Queue queue_;
};

BOOST_FIXTURE_TEST_SUITE(Admission, QueueFixture)

BOOST_AUTO_TEST_CASE(Queue_OneClass_TakesByDeadline)
{
  Add(1, WorkClass::kQuick, 300ms);
  Add(2, WorkClass::kQuick, 100ms);
  BOOST_TEST(Take() == 2U);
  BOOST_TEST(Take() == 1U);
}

BOOST_AUTO_TEST_CASE(Queue_QuickAndLong_TakesQuickFirst)
{
  Add(1, WorkClass::kLong, 100ms);
  Add(2, WorkClass::kQuick, 300ms);
  BOOST_TEST(Take() == 2U);
}

BOOST_AUTO_TEST_CASE(Queue_ManyQuick_LongIsNotStarved)
{
  Add(1000, WorkClass::kLong, 10s);
  for (std::uint64_t i = 0; i < 20; ++i) {
    Add(i, WorkClass::kQuick, 1s);
  }
  std::uint64_t takes = 1;
  while (Take() != 1000U) {
    ++takes;
  }
  BOOST_TEST(takes == 9U);
}

BOOST_AUTO_TEST_CASE(Queue_NoSlotForLongWork_TakesQuickOnly)
{
  Add(1, WorkClass::kLong, 1s);
  BOOST_TEST(!TakeNext(queue_, true, false).has_value());
}

BOOST_AUTO_TEST_CASE(Queue_DeadlinePassed_IsTakenAsDue)
{
  Add(1, WorkClass::kQuick, 100ms);
  Add(2, WorkClass::kQuick, 200ms);
  const auto due = TakeDue(queue_, WorkClass::kQuick, start_ + 150ms);
  BOOST_TEST(due.size() == 1U);
  BOOST_TEST(SizeOf(queue_) == 1U);
}

BOOST_AUTO_TEST_CASE(Arrival_QueueFull_IsRefused)
{
  BOOST_CHECK(DecideAdmission({ 4, 4, 0, 8, 1ms, 1ms, 1000ms }) == Reason::kQueueFull);
}

BOOST_AUTO_TEST_CASE(Arrival_WaitLongerThanItsDeadline_IsRefused)
{
  BOOST_CHECK(DecideAdmission({ 80, 500, 80, 8, 100ms, 110ms, 1000ms }) ==
              Reason::kDeadlineTooShort);
  BOOST_CHECK(DecideAdmission({ 80, 500, 8, 8, 100ms, 110ms, 1000ms }) == Reason::kNone);
}

BOOST_AUTO_TEST_CASE(Latency_RefusalsOnly_EstimateDecays)
{
  Latency latency = Observe({}, 2500ms);
  for (int i = 0; i < 10; ++i) {
    latency = Decay(latency);
  }
  BOOST_TEST(LikelyTime(latency).count() < 2000);
  BOOST_TEST(LikelyTime(latency).count() < LikelyTime(Observe({}, 2500ms)).count() / 2);
}

BOOST_AUTO_TEST_CASE(Latency_SteadyAnswers_SilenceTimeoutStaysAboveThem)
{
  Latency latency;
  for (int i = 0; i < 50; ++i) {
    latency = Observe(latency, 200ms);
  }
  BOOST_TEST(SilenceTimeout(latency).count() >= 200);
  BOOST_TEST(SilenceTimeout(latency).count() < 400);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
