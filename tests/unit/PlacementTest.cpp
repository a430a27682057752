#include "include/quetzal/placement/Placement.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::placement;

struct PlacementFixture
{
  PlacementFixture() { step_.cpu_ = 2'000; }

  Candidate Worker(const std::string& aId, std::int64_t aFreeCpu, const std::string& aRack = "r1")
  {
    labels_.push_back({ "kind", aRack });
    Candidate candidate;
    candidate.id_ = aId;
    candidate.rack_ = aRack;
    candidate.free_ = { aFreeCpu, 10'000, 0 };
    return candidate;
  }

  void Add(const Candidate& aCandidate)
  {
    candidates_.push_back(aCandidate);
    use_.taskCounts_.push_back(0);
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      candidates_[i].labels_ = &labels_[i];
    }
  }

  std::string Chosen()
  {
    const auto index = ChooseWorker(step_, candidates_, use_);
    return index ? candidates_[*index].id_ : "none";
  }

  jobs::StepSpec step_;
  std::vector<Candidate> candidates_;
  std::vector<std::vector<std::string>> labels_;
  StepUse use_;
};

BOOST_FIXTURE_TEST_SUITE(Placement, PlacementFixture)

BOOST_AUTO_TEST_CASE(Task_SeveralWorkersFit_UsesTheFullest)
{
  Add(Worker("a", 8'000));
  Add(Worker("b", 3'000));
  Add(Worker("c", 1'000));
  BOOST_TEST(Chosen() == "b");
}

BOOST_AUTO_TEST_CASE(Task_NoWorkerFits_IsNotPlaced)
{
  Add(Worker("a", 1'999));
  BOOST_TEST(Chosen() == "none");
}

BOOST_AUTO_TEST_CASE(Task_NeedsALabel_UsesOnlyWorkersWithIt)
{
  Add(Worker("a", 8'000, "r1"));
  Add(Worker("b", 9'000, "r2"));
  step_.requiredLabel_ = "r2";
  BOOST_TEST(Chosen() == "b");
  step_.requiredLabel_ = "r3";
  BOOST_TEST(Chosen() == "none");
}

BOOST_AUTO_TEST_CASE(Task_DataIsOnARack_PrefersThatRack)
{
  Add(Worker("a", 3'000, "r1"));
  Add(Worker("b", 9'000, "r2"));
  step_.dataRack_ = "r2";
  BOOST_TEST(Chosen() == "b");
}

BOOST_AUTO_TEST_CASE(Task_LimitPerWorkerReached_UsesAnotherWorker)
{
  Add(Worker("a", 3'000));
  Add(Worker("b", 9'000));
  step_.maxPerWorker_ = 1;
  use_.taskCounts_[0] = 1;
  BOOST_TEST(Chosen() == "b");
}

BOOST_AUTO_TEST_CASE(Task_WorkerHasAHighFailureScore_UsesItLast)
{
  Candidate failing = Worker("a", 3'000);
  failing.failureScore_ = 1;
  Add(failing);
  Add(Worker("b", 9'000));
  BOOST_TEST(Chosen() == "b");
  candidates_[1].free_.cpu_ = 0;
  BOOST_TEST(Chosen() == "a");
}

BOOST_AUTO_TEST_CASE(Task_OtherWorkerRunsLongRunningTasks_UsesItOnlyIfLongRunning)
{
  Candidate longRunning = Worker("a", 20'000);
  longRunning.hasLongRunning_ = true;
  Add(longRunning);
  Add(Worker("b", 9'000));
  BOOST_TEST(Chosen() == "b");
  step_.longRunning_ = true;
  BOOST_TEST(Chosen() == "a");
}

BOOST_AUTO_TEST_CASE(BestEffortTask_WorkerRunsLatencySensitiveTasks_AvoidsItAndNeedsNoProcessorTime)
{
  Candidate latencySensitive = Worker("a", 100);
  latencySensitive.hasLatencySensitive_ = true;
  Add(latencySensitive);
  Add(Worker("b", 9'000));
  step_.bestEffort_ = true;
  BOOST_TEST(NeedOf(step_).cpu_ == 0);
  BOOST_TEST(Chosen() == "b");
}

BOOST_AUTO_TEST_CASE(Gang_NotAllTasksFit_IsNotPlaced)
{
  Add(Worker("a", 4'000));
  step_.count_ = 3;
  step_.gang_ = true;
  BOOST_TEST(ChooseGang(step_, candidates_).empty());
}

BOOST_AUTO_TEST_CASE(Gang_PrefersOneRack_IsPlacedOnARackThatHoldsIt)
{
  Add(Worker("a", 2'000, "r1"));
  Add(Worker("b", 2'000, "r2"));
  Add(Worker("c", 2'000, "r2"));
  step_.count_ = 2;
  step_.gang_ = true;
  step_.sameRack_ = true;
  const auto chosen = ChooseGang(step_, candidates_);
  BOOST_REQUIRE(chosen.size() == 2);
  BOOST_TEST(candidates_[chosen[0]].rack_ == "r2");
  BOOST_TEST(candidates_[chosen[1]].rack_ == "r2");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
