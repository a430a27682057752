#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** A worker on which a latency-sensitive task runs beside a best-effort task. */
struct SharingFixture : CellFixture
{
  SharingFixture()
    : worker_(AddWorker("w1"))
  {
    times_.lease_ = 5'000ms;
    cell_ = TakeOver("a");
    jobs::JobSpec latencySensitive = Spec(1, true);
    latencySensitive.steps_[0].latencyTargetMs_ = 100;
    jobs::JobSpec bestEffort = Spec(1, true);
    bestEffort.steps_[0].bestEffort_ = true;
    Submit(*cell_, "serve", latencySensitive);
    Submit(*cell_, "fill", bestEffort);
    BOOST_REQUIRE(RunUntil([&] { return worker_.running_.size() == 2; }));
  }

  int SpeedPercent() const
  {
    const auto speed = worker_.speeds_.find(bestEffort_);
    return speed == worker_.speeds_.end() ? 100 : speed->second;
  }

  FakeWorker& worker_;
  std::unique_ptr<Cell> cell_;
  const jobs::TaskId latencySensitive_{ "serve", 0, 0, 0 };
  const jobs::TaskId bestEffort_{ "fill", 0, 0, 0 };
};

BOOST_FIXTURE_TEST_SUITE(CellSharing, SharingFixture)

BOOST_AUTO_TEST_CASE(BestEffortTask_LatencyOverTarget_IsPausedWithinTheBound)
{
  // The bound is the time for which a target may be missed, including the half second over which
  // latencies are measured.
  worker_.measurements_[latencySensitive_] = 140;
  BOOST_TEST(RunUntil([&] { return SpeedPercent() == 0; }, 3'000));
}

BOOST_AUTO_TEST_CASE(BestEffortTask_LatencyWellBelowTargetAgain_ReturnsToFullSpeed)
{
  worker_.measurements_[latencySensitive_] = 140;
  BOOST_TEST(RunUntil([&] { return SpeedPercent() <= 50; }, 3'000));
  worker_.measurements_[latencySensitive_] = 20;
  BOOST_TEST(RunUntil([&] { return SpeedPercent() == 100; }, 8'000));
}

BOOST_AUTO_TEST_CASE(SpeedOrder_Lost_IsSentAgain)
{
  worker_.speedFates_ = { OrderFate::kLost };
  worker_.measurements_[latencySensitive_] = 90;
  BOOST_TEST(RunUntil([&] { return SpeedPercent() < 100; }, 3'000));
}

BOOST_AUTO_TEST_CASE(LatencySensitiveTask_OverItsTarget_IsNotLimited)
{
  worker_.measurements_[latencySensitive_] = 140;
  BOOST_TEST(RunUntil([&] { return SpeedPercent() == 0; }, 3'000));
  BOOST_TEST(!worker_.speeds_.contains(latencySensitive_));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
