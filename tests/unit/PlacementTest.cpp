#include "include/quetzal/placement/Placement.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <set>

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
    candidate.id_ = *ids_.insert(aId).first;
    candidate.rack_ = labels_.back().back();
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
    return index ? std::string(candidates_[*index].id_) : "none";
  }

  jobs::StepSpec step_;
  std::vector<Candidate> candidates_;
  std::deque<std::vector<std::string>> labels_; ///< Candidates refer to these.
  std::set<std::string> ids_;                   ///< Candidates refer to these.
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

// Guards against a gang that waits for ever because no single rack can hold it.
BOOST_AUTO_TEST_CASE(Gang_PrefersOneRackAndNoneHoldsIt_IsSpreadOverRacks)
{
  Add(Worker("a", 2'000, "r1"));
  Add(Worker("b", 2'000, "r2"));
  step_.count_ = 2;
  step_.gang_ = true;
  step_.sameRack_ = true;
  const auto chosen = ChooseGang(step_, candidates_);
  BOOST_REQUIRE(chosen.size() == 2);
  BOOST_TEST(candidates_[chosen[0]].rack_ != candidates_[chosen[1]].rack_);
}

/** Whatever the step, the candidates and the limits are, the tasks of a step must go where they
 * would go if each one were compared with all candidates. */
BOOST_AUTO_TEST_CASE(NextTasks_OfRandomSteps_GoWhereEachAloneWouldGo)
{
  std::mt19937 random(20'261'204);
  const auto upTo = [&random](int aMost) { return static_cast<int>(random() % (aMost + 1)); };
  for (int round = 0; round < 300; ++round) {
    PlacementFixture fixture;
    for (int i = 0; i < 12; ++i) {
      Candidate candidate = fixture.Worker("w" + std::to_string(i), 1'000 * upTo(9));
      candidate.hasLongRunning_ = upTo(3) == 0;
      candidate.hasLatencySensitive_ = upTo(3) == 0;
      candidate.hasBestEffort_ = upTo(3) == 0;
      candidate.failureScore_ = upTo(1);
      fixture.Add(candidate);
    }
    jobs::StepSpec& step = fixture.step_;
    step.cpu_ = 500 * upTo(5);
    step.memory_ = 1'000 * upTo(4);
    step.maxPerWorker_ = upTo(3);
    step.longRunning_ = upTo(2) == 0;
    step.bestEffort_ = upTo(2) == 0;
    step.latencyTargetMs_ = upTo(2) == 0 ? 100 : 0;
    std::optional<std::size_t> last;
    for (int task = 0; task < 30; ++task) {
      const auto expected = ChooseWorker(step, fixture.candidates_, fixture.use_);
      last = ChooseNextWorker(step, fixture.candidates_, fixture.use_, last);
      BOOST_REQUIRE((last == expected));
      if (!last) {
        break;
      }
      Reserve(fixture.candidates_[*last], step);
      ++fixture.use_.taskCounts_[*last];
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
