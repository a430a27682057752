#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** Workers that start tasks with a ticket only, of which just "w2" is ever given one. */
struct AdviceFixture : CellFixture
{
  AdviceFixture()
  {
    feed_.configuration_.queues_[0].advice_ = jobs::PlacementAdvicePolicy{};
    for (const char* id : { "w1", "w2", "w3" }) {
      AddWorker(id).wantsTicket_ = true;
    }
    advice_.good_ = { "w2" };
    cell_ = TakeOver("a");
  }

  std::unique_ptr<Cell> cell_;
};

BOOST_FIXTURE_TEST_SUITE(CellAdvice, AdviceFixture)

BOOST_AUTO_TEST_CASE(Step_OneWorkerHasATicket_RunsThereAfterOneQuestion)
{
  Submit(*cell_, "job1", Spec(5));
  BOOST_TEST(RunUntil([&] { return fleet_.At("w2").running_.size() == 5; }));
  BOOST_TEST(advice_.questions_.size() == 1U);
  BOOST_TEST(advice_.questions_.front().first == "job1.0.0");
  BOOST_TEST(advice_.questions_.front().second.size() == 3U);
}

BOOST_AUTO_TEST_CASE(Tickets_StillValid_ServeARunThatIsRepeated)
{
  Submit(*cell_, "job1", Spec(1));
  FakeWorker& worker = fleet_.At("w2");
  BOOST_TEST(WaitForRun(worker, first_));
  worker.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(RunUntil([&] { return worker.starts_.size() == 2; }));
  BOOST_TEST(advice_.questions_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Tickets_Expired_AreAskedForAnew)
{
  advice_.validity_ = 300ms;
  Submit(*cell_, "job1", Spec(1));
  FakeWorker& worker = fleet_.At("w2");
  BOOST_TEST(WaitForRun(worker, first_));
  RunFor(350ms);
  worker.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(RunUntil([&] { return worker.starts_.size() == 2; }));
  BOOST_TEST(advice_.questions_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(Advice_DoesNotAnswer_IsAskedAgainAfterAPause)
{
  advice_.answers_ = false;
  Submit(*cell_, "job1", Spec(1));
  RunFor(700ms);
  const std::size_t asked = advice_.questions_.size();
  BOOST_TEST(asked >= 2U);
  BOOST_TEST(asked <= 4U);
  advice_.answers_ = true;
  BOOST_TEST(WaitForRun(fleet_.At("w2"), first_));
}

BOOST_AUTO_TEST_CASE(Worker_ComesAfterTheQuestion_IsAskedAboutByItself)
{
  advice_.good_ = { "w4" };
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return !advice_.questions_.empty(); }));
  FakeWorker& late = AddWorker("w4");
  BOOST_TEST(WaitForRun(late, first_));
  BOOST_REQUIRE(advice_.questions_.size() == 2U);
  BOOST_TEST(advice_.questions_.back().second.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
