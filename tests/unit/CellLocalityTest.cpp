#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::cells;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** Workers "w1" on rack "r1" and "w2" on rack "r2", with four cores each. */
struct CellLocalityFixture : CellFixture
{
  CellLocalityFixture()
  {
    farFactor_ = 3;
    platformState_.configuration_.queues_[0].terms_.objectiveMs_ = 60'000;
    AddWorkerOn("r1", "w1");
    AddWorkerOn("r2", "w2");
  }

  void AddWorkerOn(const std::string& aRack, const std::string& aId, std::int64_t aCpu = 4'000)
  {
    fleet_.Add(aId);
    platformState_.Register(aId, "svc", aCpu);
    platformState_.registrations_.at(aId).labels_.back() = aRack;
  }

  static jobs::JobSpec NearSpec(int aTasks, std::int64_t aEstimateMs = 400)
  {
    jobs::JobSpec spec = Spec(aTasks);
    spec.steps_[0].dataRack_ = "r1";
    spec.steps_[0].estimateMs_ = aEstimateMs;
    return spec;
  }

  /** Returns a cell whose worker "w1" runs tasks of "job0". */
  std::unique_ptr<Cell> CellWithRuns(int aTasks, std::int64_t aEstimateMs = 400)
  {
    auto cell = TakeOver("a");
    BOOST_TEST(RunUntil([&] { return IsSynchronized(*cell, 2); }));
    RunFor(100ms);
    BOOST_CHECK(Submit(*cell, "job0", NearSpec(aTasks, aEstimateMs)) == AnswerStatus::kAccepted);
    BOOST_TEST(RunUntil([&] { return RunsOn("w1") == static_cast<std::size_t>(aTasks); }));
    return cell;
  }

  std::size_t RunsOn(const std::string& aWorker) { return fleet_.At(aWorker).running_.size(); }

  double Waits(const std::string& aResult) const
  {
    return metrics_.ValueOf("quetzal_near_waits_total",
                            { { "service", "svc" }, { "result", aResult } });
  }

  double FarStarts() const
  {
    return metrics_.ValueOf("quetzal_far_starts_total", { { "service", "svc" } });
  }
};

BOOST_FIXTURE_TEST_SUITE(CellLocality, CellLocalityFixture)

// Guards against tasks that run far although a near slot becomes free soon.
BOOST_AUTO_TEST_CASE(Task_NearSlotBecomesFreeSoon_WaitsForIt)
{
  const auto cell = CellWithRuns(4);
  BOOST_CHECK(Submit(*cell, "job1", NearSpec(1)) == AnswerStatus::kAccepted);
  RunFor(100ms);
  BOOST_TEST(RunsOn("w2") == 0U);
  fleet_.At("w1").End({ "job0", 0, 0, 0 }, jobs::EndKind::kDone);
  BOOST_TEST(WaitForRun(fleet_.At("w1"), first_));
  BOOST_TEST(Waits("near") == 1);
  BOOST_TEST(FarStarts() == 0);
}

// Guards against tasks that wait for ever for a run that takes longer than expected.
BOOST_AUTO_TEST_CASE(Task_NearSlotDoesNotBecomeFree_StartsFarWhenItsTimeIsOver)
{
  const auto cell = CellWithRuns(4);
  BOOST_CHECK(Submit(*cell, "job1", NearSpec(1)) == AnswerStatus::kAccepted);
  QElapsedTimer timer;
  timer.start();
  BOOST_TEST(WaitForRun(fleet_.At("w2"), first_));
  BOOST_TEST(timer.elapsed() < 3'000);
  BOOST_TEST(RunsOn("w1") == 4U);
  BOOST_TEST(Waits("far") == 1);
  BOOST_TEST(FarStarts() == 1);
}

// Guards against waits that cannot pay off.
BOOST_AUTO_TEST_CASE(Task_NoNearSlotBecomesFreeSoon_StartsFarAtOnce)
{
  const auto cell = CellWithRuns(4, 60'000);
  BOOST_CHECK(Submit(*cell, "job1", NearSpec(1)) == AnswerStatus::kAccepted);
  BOOST_TEST(WaitForRun(fleet_.At("w2"), first_));
  BOOST_TEST(Waits("none") == 1);
  BOOST_TEST(Waits("far") == 0);
}

// Guards against a change of placement in deployments without a far factor.
BOOST_AUTO_TEST_CASE(Task_NoFarFactorIsSet_StartsFarAtOnce)
{
  farFactor_ = 1;
  const auto cell = CellWithRuns(4);
  BOOST_CHECK(Submit(*cell, "job1", NearSpec(1)) == AnswerStatus::kAccepted);
  BOOST_TEST(WaitForRun(fleet_.At("w2"), first_));
  BOOST_TEST(Waits("none") + Waits("far") + Waits("near") == 0);
}

// Guards against a wait for a worker on which nothing is started any more.
BOOST_AUTO_TEST_CASE(Task_NearWorkerIsCordoned_StartsFarAtOnce)
{
  const auto cell = CellWithRuns(4);
  cell->CordonWorkers({ "w1" });
  BOOST_CHECK(Submit(*cell, "job1", NearSpec(1)) == AnswerStatus::kAccepted);
  BOOST_TEST(WaitForRun(fleet_.At("w2"), first_));
  BOOST_TEST(Waits("none") == 1);
}

// Guards against a second wait of a task after a change of the cell's owner.
BOOST_AUTO_TEST_CASE(Task_AcceptedByAnEarlierOwner_StartsFarAtOnce)
{
  auto cell = CellWithRuns(4);
  BOOST_CHECK(Submit(*cell, "job1", NearSpec(1)) == AnswerStatus::kAccepted);
  RunFor(50ms);
  cell->Abandon();
  const auto next = TakeOver("b");
  BOOST_TEST(WaitForRun(fleet_.At("w2"), first_));
  BOOST_TEST(Waits("near") + Waits("far") == 0);
}

// Guards against gangs that are spread over racks although one rack has room for them soon.
BOOST_AUTO_TEST_CASE(Gang_OneRackHasRoomSoon_WaitsForIt)
{
  AddWorkerOn("r2", "w2", 1'000);
  const auto cell = CellWithRuns(3);
  jobs::JobSpec gang = Spec(2);
  gang.steps_[0].gang_ = true;
  gang.steps_[0].sameRack_ = true;
  gang.steps_[0].estimateMs_ = 400;
  BOOST_CHECK(Submit(*cell, "job1", gang) == AnswerStatus::kAccepted);
  RunFor(100ms);
  BOOST_TEST(RunsOn("w2") == 0U);
  fleet_.At("w1").End({ "job0", 0, 0, 0 }, jobs::EndKind::kDone);
  BOOST_TEST(RunUntil([&] { return RunsOn("w1") == 4U; }));
  BOOST_TEST(Waits("near") == 1);
}

// Guards against gangs that wait for ever for room on one rack.
BOOST_AUTO_TEST_CASE(Gang_NoRackHasRoomInTime_IsSpreadOverRacks)
{
  AddWorkerOn("r2", "w2", 1'000);
  const auto cell = CellWithRuns(3);
  jobs::JobSpec gang = Spec(2);
  gang.steps_[0].gang_ = true;
  gang.steps_[0].sameRack_ = true;
  gang.steps_[0].estimateMs_ = 400;
  BOOST_CHECK(Submit(*cell, "job1", gang) == AnswerStatus::kAccepted);
  BOOST_TEST(RunUntil([&] { return RunsOn("w1") == 4U && RunsOn("w2") == 1U; }));
  BOOST_TEST(Waits("far") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
