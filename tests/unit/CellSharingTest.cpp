#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** A worker on which a task that serves runs beside one that fills. */
struct SharingFixture : CellFixture
{
  SharingFixture()
    : worker_(AddWorker("w1"))
  {
    times_.lease_ = 5'000ms;
    cell_ = TakeOver("a");
    jobs::JobSpec serving = Spec(1, true);
    serving.steps_[0].latencyTargetMs_ = 100;
    jobs::JobSpec filling = Spec(1, true);
    filling.steps_[0].bestEffort_ = true;
    Submit(*cell_, "serve", serving);
    Submit(*cell_, "fill", filling);
    BOOST_REQUIRE(RunUntil([&] { return worker_.running_.size() == 2; }));
  }

  int Pace() const
  {
    const auto pace = worker_.paces_.find(fill_);
    return pace == worker_.paces_.end() ? 100 : pace->second;
  }

  FakeWorker& worker_;
  std::unique_ptr<Cell> cell_;
  const jobs::TaskId serve_{ "serve", 0, 0, 0 };
  const jobs::TaskId fill_{ "fill", 0, 0, 0 };
};

BOOST_FIXTURE_TEST_SUITE(CellSharing, SharingFixture)

BOOST_AUTO_TEST_CASE(Filling_ServingTaskOverItsTarget_RestsWithinTheBound)
{
  // The bound is the time for which a target may be missed, the figures' half second included.
  worker_.figures_[serve_] = 140;
  BOOST_TEST(RunUntil([&] { return Pace() == 0; }, 3'000));
}

BOOST_AUTO_TEST_CASE(Filling_ServingTaskRelaxedAgain_ReturnsToFullPace)
{
  worker_.figures_[serve_] = 140;
  BOOST_TEST(RunUntil([&] { return Pace() <= 50; }, 3'000));
  worker_.figures_[serve_] = 20;
  BOOST_TEST(RunUntil([&] { return Pace() == 100; }, 8'000));
}

BOOST_AUTO_TEST_CASE(Pace_OrderIsLost_IsOrderedAgain)
{
  worker_.lostPaces_ = 1;
  worker_.figures_[serve_] = 90;
  BOOST_TEST(RunUntil([&] { return Pace() < 100; }, 3'000));
}

BOOST_AUTO_TEST_CASE(ServingTask_IsNeverPaced)
{
  worker_.figures_[serve_] = 140;
  BOOST_TEST(RunUntil([&] { return Pace() == 0; }, 3'000));
  BOOST_TEST(!worker_.paces_.contains(serve_));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
