#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** Two workers with room for four tasks each, and jobs whose steps allow speculative copies. */
struct CopiesFixture : CellFixture
{
  CopiesFixture()
  {
    one_ = &fleet_.Add("w1");
    two_ = &fleet_.Add("w2");
    platformState_.Register("w1", "svc", 4'000);
    platformState_.Register("w2", "svc", 4'000);
    cell_ = TakeOver("a");
  }

  static jobs::JobSpec CopySpec(int aTasks)
  {
    jobs::JobSpec spec = Spec(aTasks);
    spec.steps_[0].speculative_ = true;
    return spec;
  }

  /** Waits until the first task runs on both workers. */
  bool WaitForCopy()
  {
    return RunUntil([&] { return fleet_.RunsOf(first_) == 2; }, 3'000);
  }

  FakeWorker* one_ = nullptr;
  FakeWorker* two_ = nullptr;
  std::unique_ptr<Cell> cell_;
};

BOOST_FIXTURE_TEST_SUITE(CellCopies, CopiesFixture)

BOOST_AUTO_TEST_CASE(Task_RunsMuchLongerThanItsEstimate_IsCopiedOnceOnAnotherWorker)
{
  Submit(*cell_, "job1", CopySpec(1));
  BOOST_TEST(WaitForCopy());
  RunFor(600ms);
  BOOST_TEST(one_->starts_.size() == 1U);
  BOOST_TEST(two_->starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Task_StepAllowsNoCopies_IsNeverCopied)
{
  Submit(*cell_, "job1", Spec(1));
  RunFor(1'200ms);
  BOOST_TEST(one_->starts_.size() + two_->starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Copy_FinishesFirst_CompletesTheJobAndStopsTheOtherRun)
{
  Submit(*cell_, "job1", CopySpec(1));
  BOOST_REQUIRE(WaitForCopy());
  two_->End(first_, jobs::EndKind::kDone);
  BOOST_TEST(RunUntil([&] { return StateOf(*cell_, "job1") == "completed"; }));
  BOOST_TEST(RunUntil([&] { return fleet_.RunsOf(first_) == 0; }));
}

BOOST_AUTO_TEST_CASE(Copy_OtherRunFails_ContinuesAsTheOnlyRun)
{
  Submit(*cell_, "job1", CopySpec(1));
  BOOST_REQUIRE(WaitForCopy());
  FakeWorker& first = one_->starts_.front().second < two_->starts_.front().second ? *one_ : *two_;
  FakeWorker& copy = &first == one_ ? *two_ : *one_;
  first.End(first_, jobs::EndKind::kFailed);
  RunFor(200ms);
  BOOST_TEST(copy.running_.contains(first_));
  BOOST_TEST(first.starts_.size() == 1U);
  copy.End(first_, jobs::EndKind::kDone);
  BOOST_TEST(RunUntil([&] { return StateOf(*cell_, "job1") == "completed"; }));
}

BOOST_AUTO_TEST_CASE(Copy_LastAttemptLeft_IsNotStarted)
{
  platformState_.configuration_.queues_[0].terms_.maxAttempts_ = 1;
  Submit(*cell_, "job1", CopySpec(1));
  RunFor(1'200ms);
  BOOST_TEST(one_->starts_.size() + two_->starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Copies_WorkersAreFull_AreNotStarted)
{
  Submit(*cell_, "job1", CopySpec(8));
  BOOST_TEST(RunUntil([&] { return one_->running_.size() + two_->running_.size() == 8; }));
  RunFor(1'000ms);
  BOOST_TEST(one_->starts_.size() + two_->starts_.size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
