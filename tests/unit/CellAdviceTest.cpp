#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** Workers that start tasks only with a ticket, which is granted for "w2" alone. */
struct AdviceFixture : CellFixture
{
  AdviceFixture()
  {
    platformState_.configuration_.queues_[0].terms_.advice_ = jobs::PlacementAdvicePolicy{};
    for (const char* id : { "w1", "w2", "w3" }) {
      AddWorker(id).wantsTicket_ = true;
    }
    advice_.permitted_ = { "w2" };
    cell_ = TakeOver("a");
  }

  std::unique_ptr<Cell> cell_;
};

BOOST_FIXTURE_TEST_SUITE(CellAdvice, AdviceFixture)

BOOST_AUTO_TEST_CASE(Step_OneWorkerIsPermitted_RunsThereAfterOneRequest)
{
  Submit(*cell_, "job1", Spec(5));
  BOOST_TEST(RunUntil([&] { return fleet_.At("w2").running_.size() == 5; }));
  BOOST_TEST(advice_.requests_.size() == 1U);
  BOOST_TEST(advice_.requests_.front().first == "job1.0.0");
  BOOST_TEST(advice_.requests_.front().second.size() == 3U);
}

BOOST_AUTO_TEST_CASE(Tickets_QueueIsRemoved_AreStillRequested)
{
  Submit(*cell_, "job1", Spec(2));
  platformState_.configuration_.queues_.clear();
  BOOST_TEST(RunUntil([&] { return fleet_.At("w2").running_.size() == 2; }));
}

BOOST_AUTO_TEST_CASE(Tickets_StillValid_AreUsedForTheNextRun)
{
  Submit(*cell_, "job1", Spec(1));
  FakeWorker& worker = fleet_.At("w2");
  BOOST_TEST(WaitForRun(worker, first_));
  worker.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(RunUntil([&] { return worker.starts_.size() == 2; }));
  BOOST_TEST(advice_.requests_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Tickets_Expired_AreRequestedAgain)
{
  advice_.validity_ = 300ms;
  Submit(*cell_, "job1", Spec(1));
  FakeWorker& worker = fleet_.At("w2");
  BOOST_TEST(WaitForRun(worker, first_));
  RunFor(350ms);
  worker.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(RunUntil([&] { return worker.starts_.size() == 2; }));
  BOOST_TEST(advice_.requests_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(Advice_NoAnswer_IsRequestedAgainAfterADelay)
{
  advice_.answers_ = false;
  Submit(*cell_, "job1", Spec(1));
  RunFor(700ms);
  const std::size_t requests = advice_.requests_.size();
  BOOST_TEST(requests >= 2U);
  BOOST_TEST(requests <= 4U);
  advice_.answers_ = true;
  BOOST_TEST(WaitForRun(fleet_.At("w2"), first_));
}

BOOST_AUTO_TEST_CASE(Worker_RegistersAfterTheRequest_IsRequestedSeparately)
{
  advice_.permitted_ = { "w4" };
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return !advice_.requests_.empty(); }));
  FakeWorker& late = AddWorker("w4");
  BOOST_TEST(WaitForRun(late, first_));
  BOOST_REQUIRE(advice_.requests_.size() == 2U);
  BOOST_TEST(advice_.requests_.back().second.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
