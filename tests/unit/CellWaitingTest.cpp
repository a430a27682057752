#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;

/** A cell with one worker, and many jobs of a queue with a higher priority than "q" that it has no
 * place for. */
struct CellWaitingFixture : CellFixture
{
  static constexpr int kJobsInFront = 60;
  static constexpr std::int64_t kMoreThanAnyWorkerHas = 64'000;

  CellWaitingFixture()
    : worker_(AddWorker("w1"))
    , cell_(TakeOver("a"))
  {
    jobs::Queue urgent = platformState_.configuration_.queues_.front();
    urgent.name_ = "urgent";
    platformState_.configuration_.queues_.front().terms_.priority_ = 1;
    platformState_.configuration_.queues_.push_back(urgent);
  }

  void SubmitInFront(const std::function<void(jobs::StepSpec&, int)>& aChange)
  {
    for (int i = 0; i < kJobsInFront; ++i) {
      jobs::JobSpec spec = Spec(1);
      aChange(spec.steps_.front(), i);
      cell_->Submit({ "urgent", "front" + std::to_string(i), spec, {} }, [](const Answer&) {});
    }
  }

  FakeWorker& worker_;
  std::unique_ptr<Cell> cell_;
};

BOOST_FIXTURE_TEST_SUITE(CellWaiting, CellWaitingFixture)

// LOST: jobs behind 25 jobs that never fit were never started.
BOOST_AUTO_TEST_CASE(Job_BehindJobsThatNeverFit_IsStarted)
{
  SubmitInFront([](jobs::StepSpec& aStep, int /*aIndex*/) { aStep.cpu_ = kMoreThanAnyWorkerHas; });
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return worker_.running_.contains(first_); }, 2'000));
}

// LOST: the same where each job that never fits has a demand of its own.
BOOST_AUTO_TEST_CASE(Job_BehindJobsWithDifferentDemandsThatNeverFit_IsStarted)
{
  SubmitInFront([](jobs::StepSpec& aStep, int aIndex) {
    aStep.requiredLabel_ = "none-" + std::to_string(aIndex);
  });
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return worker_.running_.contains(first_); }, 2'000));
}

// LOST: the same for gangs, which say nothing about the room for a single task.
BOOST_AUTO_TEST_CASE(Job_BehindGangsThatNeverFit_IsStarted)
{
  SubmitInFront([](jobs::StepSpec& aStep, int /*aIndex*/) {
    aStep.gang_ = true;
    aStep.count_ = 100;
  });
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return worker_.running_.contains(first_); }, 2'000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
