#include "tests/unit/PlayedOrganisations.h"

#include <boost/test/unit_test.hpp>
#include <tuple>

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** Plays the same load with and without regard to organisations. */
struct OrganisationOverloadFixture
{
  void SetRates(double aJobsPerSecond)
  {
    for (const std::string& name : all_) {
      before_.SetRate(name, aJobsPerSecond);
      now_.SetRate(name, aJobsPerSecond);
    }
  }

  void Run(clock::Milliseconds aTime)
  {
    before_.Run(aTime);
    now_.Run(aTime);
  }

  void Finish()
  {
    before_.Finish();
    now_.Finish();
    BOOST_TEST_MESSAGE("without regard to organisations:\n"
                       << before_.Summary() << "with regard to them:\n"
                       << now_.Summary());
  }

  int InTime(const PlayedOrganisations& aPool) const
  {
    int sum = 0;
    for (const std::string& name : all_) {
      sum += aPool.Of(name).inTime_;
    }
    return sum;
  }

  const std::vector<std::string> all_{ "ada", "bo", "cleo", "dan", "eve" };
  const std::vector<std::string> others_{ "bo", "cleo", "dan", "eve" };
  PlayedOrganisations before_{ Policy::kWithoutOrganisations };
  PlayedOrganisations now_{ Policy::kWithOrganisations };
};

BOOST_FIXTURE_TEST_SUITE(OrganisationOverload, OrganisationOverloadFixture)

// One organisation that sends many times its rate must not take the room of those within theirs.
BOOST_AUTO_TEST_CASE(HotOrganisation_OthersAreWithinTheirRates_OthersAreServedInTime)
{
  SetRates(6);
  Run(4s);
  before_.SetRate("ada", 7.5 * PlayedOrganisations::kWeight);
  now_.SetRate("ada", 7.5 * PlayedOrganisations::kWeight);
  Run(6s);
  SetRates(6);
  Run(6s);
  Finish();
  for (const std::string& name : others_) {
    BOOST_TEST(now_.Of(name).refused_ == 0);
    BOOST_TEST(now_.Of(name).inTime_ >= before_.Of(name).inTime_);
    BOOST_TEST(now_.Of(name).inTime_ >= now_.Of(name).submitted_ * 9 / 10);
  }
  // It gets at least its rate, and what it sends beyond that does not all stay in the queue.
  BOOST_TEST(now_.Of("ada").inTime_ >= 6 * 10);
  BOOST_TEST(now_.Of("ada").refused_ > 0);
}

// What the others leave must go to the organisation that asks for more than its rate.
BOOST_AUTO_TEST_CASE(HotOrganisation_OthersAreIdle_GetsTheWholePool)
{
  before_.SetRate("ada", 30);
  now_.SetRate("ada", 30);
  Run(6s);
  Finish();
  BOOST_TEST(now_.Of("ada").refused_ == 0);
  BOOST_TEST(now_.Of("ada").inTime_ >= before_.Of("ada").inTime_);
}

// A burst of all organisations must be served as well as before, and alike for all of them.
BOOST_AUTO_TEST_CASE(Burst_AllSendTwiceWhatThePoolHolds_NoneGetsLessThanAnother)
{
  SetRates(15);
  Run(5s);
  SetRates(1);
  Run(10s);
  Finish();
  BOOST_TEST(InTime(now_) >= InTime(before_) * 9 / 10);
  for (const std::string& name : all_) {
    BOOST_TEST(now_.Of(name).inTime_ * 5 >= InTime(now_) * 8 / 10);
  }
}

// Jobs that only their own quota holds back must not hold back or displace those of others.
BOOST_AUTO_TEST_CASE(LoweredQuota_OrganisationSendsTwiceItsRate_OthersGetNoLess)
{
  SetRates(6);
  Run(4s);
  for (PlayedOrganisations* pool : { &before_, &now_ }) {
    pool->SetRate("ada", 2 * PlayedOrganisations::kWeight);
    pool->SetQuota("ada", PlayedOrganisations::kTasks / 25); // A fifth of its part of the pool.
  }
  Run(12s);
  SetRates(6);
  Finish();
  for (const std::string& name : others_) {
    BOOST_TEST(now_.Of(name).refused_ == 0);
    BOOST_TEST(now_.Of(name).inTime_ >= before_.Of(name).inTime_);
  }
  BOOST_TEST(now_.Of("ada").refused_ > 0);
}

// A deployment without organisations must be ordered as before they were added.
BOOST_AUTO_TEST_CASE(Order_JobsBelongToNoOrganisation_IsThatOfThePreviousRelease)
{
  std::mt19937 random(11);
  const auto upTo = [&random](int aMost) {
    return std::uniform_int_distribution<int>(0, aMost)(random);
  };
  const clock::Moment now = clock::Moment{} + 1h;
  const auto ranked = [&] {
    jobs::Job job;
    job.longRunning_ = upTo(1) == 0;
    job.started_ = upTo(1) == 0;
    job.arrivedAt_ = now - clock::Milliseconds(upTo(20) * 100);
    job.criticalPath_ = clock::Milliseconds(upTo(10) * 100);
    job.remainingPath_ = job.criticalPath_ / (1 + upTo(2));
    jobs::QueueTerms terms;
    terms.priority_ = upTo(2);
    terms.objectiveMs_ = upTo(10) * 100;
    const bool late = now + job.remainingPath_ > jobs::ObjectiveOf(job, terms);
    const auto previous =
      std::make_tuple(!job.longRunning_, terms.priority_, late, !job.started_, job.arrivedAt_);
    return std::make_pair(placement::RankOf(job, terms, 1, now), previous);
  };
  for (int i = 0; i < 20'000; ++i) {
    const auto [left, leftBefore] = ranked();
    const auto [right, rightBefore] = ranked();
    BOOST_REQUIRE((left < right) == (leftBefore < rightBefore));
    BOOST_REQUIRE((left == right) == (leftBefore == rightBefore));
  }
}

BOOST_AUTO_TEST_CASE(Order_JobIsOverItsRate_ComesAfterOthersOfLowerPriority)
{
  jobs::Job job;
  const auto rankOf = [&job](int aPriority) {
    jobs::QueueTerms terms;
    terms.priority_ = aPriority;
    return placement::RankOf(job, terms, 1, clock::Moment{});
  };
  const placement::JobRank within = rankOf(2);
  job.overRate_ = true;
  BOOST_TEST((within < rankOf(0)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
