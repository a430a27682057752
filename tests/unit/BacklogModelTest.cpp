#include "include/quetzal/admission/BacklogModel.h"
#include "include/quetzal/organisations/ArrivalRate.h"
#include "include/quetzal/organisations/FairShare.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace quetzal;
using namespace std::chrono_literals;

/** A backlog of organisation "ada", measured every 200 ms. */
struct BacklogModelFixture
{
  BacklogModelFixture() { Measure(); }

  /** Lets time pass in which this much work starts each second. */
  void Drain(clock::Milliseconds aTime, double aPerSecond)
  {
    for (const clock::Moment end = now_ + aTime; now_ < end;) {
      now_ += 200ms;
      work_[origin_].started_ += aPerSecond / 5;
      Measure();
    }
  }

  void Measure() { admission::MeasureBacklog(model_, work_, now_); }

  std::optional<admission::Refusal> Decide(clock::Milliseconds aObjective) const
  {
    return admission::DecideRefusal(model_, { origin_, 500ms, aObjective }, work_.at(origin_));
  }

  const jobs::Origin origin_{ "q", "ada" };
  std::map<jobs::Origin, jobs::OriginWork> work_{ { origin_, { 100, 10, 0 } } };
  admission::BacklogModel model_;
  clock::Moment now_ = clock::Moment{} + 1h;
};

BOOST_FIXTURE_TEST_SUITE(BacklogModel, BacklogModelFixture)

// A new owner must not refuse anybody by guesses.
BOOST_AUTO_TEST_CASE(Decision_MeasuredForLessThanASecond_IsAdmitted)
{
  Drain(800ms, 1);
  BOOST_TEST(!Decide(10ms).has_value());
  Drain(200ms, 1);
  BOOST_TEST(Decide(10ms).has_value());
}

BOOST_AUTO_TEST_CASE(Decision_WaitIsThreeTimesTheObjective_IsTheLimit)
{
  Drain(4s, 10); // 100 core-seconds wait for 10 s.
  BOOST_TEST(!Decide(3'400ms).has_value());
  const auto refusal = Decide(3'200ms);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST(refusal->expectedWait_.count() >= 9'900);
  BOOST_TEST(refusal->expectedWait_.count() <= 10'100);
  BOOST_TEST(refusal->retryAfter_.count() >= 1'000);
}

// Without waiting work the rate is that of the arrivals, and must not be taken for the pool's.
BOOST_AUTO_TEST_CASE(Decision_NothingWaitedMeanwhile_IsAdmitted)
{
  work_[origin_] = { 0, 0, 0 };
  Drain(10s, 1);
  work_[origin_] = { 100, 10, 10 };
  Drain(200ms, 0);
  BOOST_TEST(!Decide(10ms).has_value());
}

// Slots that are all held by jobs of five seconds say nothing before these can have ended.
BOOST_AUTO_TEST_CASE(Decision_MeasuredForLessThanThePath_IsAdmitted)
{
  Drain(4s, 0.1);
  BOOST_TEST(
    !admission::DecideRefusal(model_, { origin_, 5s, 10ms }, work_.at(origin_)).has_value());
}

BOOST_AUTO_TEST_CASE(Decision_NothingStarts_IsRefusedOnceThatHasLastedTooLong)
{
  Drain(5s, 0);
  BOOST_TEST(!Decide(2s).has_value());
  Drain(2s, 0);
  BOOST_TEST(Decide(2s).has_value());
}

// Refused organisations must not all return in the same second.
BOOST_AUTO_TEST_CASE(RetryAfter_ManyOrganisations_IsSpread)
{
  std::set<clock::Milliseconds> times;
  for (int i = 0; i < 20; ++i) {
    const jobs::Origin origin{ "q", "organisation" + std::to_string(i) };
    work_ = { { origin, { 100, 10, 0 } } };
    Measure();
    for (int sample = 0; sample < 10; ++sample) {
      now_ += 200ms;
      work_[origin].started_ += 2;
      Measure();
    }
    const auto refusal = admission::DecideRefusal(model_, { origin, 500ms, 1s }, work_.at(origin));
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->retryAfter_ % 1s == 0ms);
    times.insert(refusal->retryAfter_);
  }
  BOOST_TEST(times.size() >= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OrganisationRates)

BOOST_AUTO_TEST_CASE(Arrivals_SevenTimesTheRate_OnlyTheRateIsWithin)
{
  organisations::ArrivalRates rates;
  clock::Moment now = clock::Moment{} + 1h;
  int within = 0;
  for (int i = 0; i < 700; ++i, now += 10ms) { // 100 a second for 7 s.
    within += organisations::CountArrival(rates, "ada", 14, now) ? 0 : 1;
  }
  BOOST_TEST(within >= 14 * 7);
  BOOST_TEST(within <= 14 * 9 + 1); // And a burst of 2 s.
}

// An organisation with less than half a job a second would otherwise never be within its rate.
BOOST_AUTO_TEST_CASE(Arrivals_RateIsBelowOneJobPerBurst_FirstJobIsWithin)
{
  organisations::ArrivalRates rates;
  const clock::Moment now = clock::Moment{} + 1h;
  BOOST_TEST(!organisations::CountArrival(rates, "ada", 0.1, now));
  BOOST_TEST(organisations::CountArrival(rates, "ada", 0.1, now + 5s));
  BOOST_TEST(!organisations::CountArrival(rates, "ada", 0.1, now + 11s));
}

BOOST_AUTO_TEST_CASE(Arrivals_NoWeightIsConfigured_AreWithin)
{
  organisations::ArrivalRates rates;
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(!organisations::CountArrival(rates, "ada", 0, clock::Moment{}));
  }
}

// Memory or accelerators can be what an organisation takes most of.
BOOST_AUTO_TEST_CASE(Share_MemoryIsDominant_IsMeasuredByMemory)
{
  const auto shares =
    organisations::MakeFairShares({ { "ada", 1, {} }, { "bo", 3, {} } }, { 1'000, 1'000, 0 });
  BOOST_TEST(organisations::StepsAboveShare(shares, "ada", { 10, 250, 0 }) == 0);
  BOOST_TEST(organisations::StepsAboveShare(shares, "ada", { 10, 500, 0 }) == 9);
  BOOST_TEST(organisations::StepsAboveShare(shares, "bo", { 10, 500, 0 }) == 0);
  BOOST_TEST(organisations::StepsAboveShare(shares, "eve", { 1'000, 500, 0 }) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
