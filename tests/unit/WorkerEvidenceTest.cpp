#include "include/quetzal/log/LineBudget.h"
#include "include/quetzal/workers/Evidence.h"
#include "tests/unit/CapturedLog.h"
#include "tests/unit/CellFixture.h"

#include <sstream>

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

template<typename Value>
std::string
TextOf(const Value& aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

BOOST_AUTO_TEST_SUITE(WorkerEvidence)

BOOST_AUTO_TEST_CASE(Incarnation_HasNotAnswered_IsShownAsNeverHeard)
{
  const workers::WorkerState state;
  BOOST_TEST(TextOf(workers::KnownIncarnationOf(state, clock::Now())) ==
             " born=0 heard_ms_ago=never");
}

BOOST_AUTO_TEST_CASE(Incarnation_HasAnswered_IsShownWithTheAgeOfTheAnswer)
{
  const clock::Moment now = clock::Now();
  workers::WorkerState state;
  state.startedMs_ = 1'234;
  state.clock_ = workers::ClockReading{ 7, now - 5'100ms };
  BOOST_TEST(TextOf(workers::KnownIncarnationOf(state, now)) == " born=1234 heard_ms_ago=5100");
}

BOOST_AUTO_TEST_CASE(Runs_OfAnUnknownIncarnation_AreInDoubt)
{
  workers::WorkerState state;
  workers::Run run;
  run.number_ = 1;
  workers::AddRun(state, { "job", 0, 0, 0 }, run);
  run.confirmed_ = true;
  workers::AddRun(state, { "job", 0, 0, 1 }, run);
  workers::AddRun(state, { "job", 0, 0, 2 }, run);
  BOOST_TEST((workers::RunsThereOf(state) == workers::RunsThere{ 3, 1 }));
  BOOST_TEST(TextOf(workers::RunsThereOf(state)) == " runs=3 in_doubt=1");
}

BOOST_AUTO_TEST_CASE(Record_OfAWorkerWithRuns_IsKeptUnderLoad)
{
  log::LineBudget budget;
  budget.bytes_ = log::MaxBytesPerSecond(log::Level::kInfo) + 1;
  BOOST_TEST(log::TakeLine(budget, workers::LevelFor({ 1, 0 }), 200));
  BOOST_TEST(!log::TakeLine(budget, workers::LevelFor({ 0, 0 }), 200));
}

BOOST_AUTO_TEST_SUITE_END()

bool
Says(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/** Leases that end soon. */
struct ShortLeasesFixture : CellFixture
{
  ShortLeasesFixture() { times_.longest_ = 400ms; }
};

/** Counters of a cell with one worker, which starts again at once. */
struct WorkerCountersFixture : ShortLeasesFixture
{
  WorkerCountersFixture()
  {
    worker_.restartTime_ = 0ms;
    RunFor(100ms);
  }

  double Noticed(const std::string& aBy) const
  {
    return metrics_.ValueOf("quetzal_worker_restarts_noticed_total",
                            { { "service", "svc" }, { "by", aBy } });
  }

  double Count(const std::string& aName) const
  {
    return metrics_.ValueOf(aName, { { "service", "svc" } });
  }

  CapturedLog log_;
  FakeWorker& worker_ = AddWorker("w1");
  std::unique_ptr<Cell> cell_ = TakeOver("a");
};

BOOST_FIXTURE_TEST_SUITE(WorkerCounters, WorkerCountersFixture)

BOOST_AUTO_TEST_CASE(Restart_OfAWorkerWithARun_IsCountedOnce)
{
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  RunFor(50ms);
  worker_.Reboot();
  BOOST_TEST(RunUntil([this] { return Noticed("poll") > 0; }));
  RunFor(300ms);
  BOOST_TEST(Noticed("poll") == 1);
  const auto records = log_.Of("worker-reborn");
  BOOST_TEST_REQUIRE(records.size() == 1U);
  BOOST_TEST(Says(records.front(), " born=1 heard_ms_ago="));
  BOOST_TEST(Says(records.front(), " runs=1 in_doubt=0 next_born="));
  BOOST_TEST(log_.Of("order-in-doubt").empty());
  BOOST_TEST(Count("quetzal_runs_ended_in_doubt_total") == 0);
}

BOOST_AUTO_TEST_CASE(Restart_TheRegistrationIsLaterThanAllAnswers_IsCountedOnce)
{
  platformState_.registrations_.at("w1").startedMs_ = worker_.startedMs_ + 1;
  for (int i = 0; i < 5; ++i) {
    Q_EMIT platformState_.WorkersChanged();
    const int polls = worker_.answeredPolls_;
    BOOST_TEST(RunUntil([this, polls] { return worker_.answeredPolls_ > polls; }));
  }
  BOOST_TEST(Noticed("registration") == 1);
  BOOST_TEST(log_.Of("worker-restart-noticed").size() == 1U);
  BOOST_TEST(Noticed("poll") == 0);
}

BOOST_AUTO_TEST_CASE(Restart_AnAnswerHasAnotherClock_IsCountedOnce)
{
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  RunFor(50ms);
  worker_.answersPolls_ = false;
  worker_.Reboot();
  for (int i = 0; i < 3; ++i) {
    Submit(*cell_, "more" + std::to_string(i), Spec(1));
  }
  BOOST_TEST(RunUntil([this] { return Noticed("clock") > 0; }));
  RunFor(100ms);
  BOOST_TEST(Noticed("clock") == 1);
  BOOST_TEST(log_.Of("worker-restart-noticed").size() == 1U);
}

BOOST_AUTO_TEST_CASE(Start_LostOnce_IsCountedAsRepeated)
{
  worker_.startFates_ = { OrderFate::kLost };
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  BOOST_TEST(Count("quetzal_starts_repeated_total") == 1);
  BOOST_TEST(log_.Of("start-repeated").size() == 1U);
}

BOOST_AUTO_TEST_CASE(Run_WorkerFallsSilentBeforeItsOrderIsAnswered_IsCountedAsEndedInDoubt)
{
  worker_.startFates_ = { OrderFate::kLost };
  Submit(*cell_, "job1", Spec(1));
  BOOST_REQUIRE(RunUntil([this] { return worker_.sentStarts_ > 0; }));
  worker_.reachable_ = false;
  BOOST_TEST(RunUntil([this] { return Count("quetzal_runs_ended_in_doubt_total") > 0; }));
  BOOST_TEST(Count("quetzal_runs_ended_in_doubt_total") == 1);
  const auto records = log_.Of("lease-lapsed");
  BOOST_TEST_REQUIRE(records.size() == 1U);
  BOOST_TEST(Says(records.front(), " born=1 heard_ms_ago="));
  BOOST_TEST(Says(records.front(), " runs=1 in_doubt=1 ended=1 "));
}

BOOST_AUTO_TEST_CASE(Worker_AnotherIdAnswersAtItsAddress_IsLoggedOnce)
{
  worker_.RebootAs("w2");
  BOOST_TEST(RunUntil([this] { return !log_.Of("worker-reborn").empty(); }));
  RunFor(1'000ms);
  BOOST_TEST(log_.Of("worker-reborn").size() == 1U);
}

BOOST_AUTO_TEST_CASE(Worker_SilentForAWhile_IsLoggedOnceAtItsBeginningAndEnd)
{
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  worker_.reachable_ = false;
  BOOST_TEST(RunUntil([this] { return !log_.Of("worker-silent").empty(); }));
  RunFor(200ms);
  worker_.reachable_ = true;
  BOOST_TEST(RunUntil([this] { return !log_.Of("worker-back").empty(); }));
  RunFor(300ms);
  BOOST_TEST(log_.Of("worker-silent").size() == 1U);
  BOOST_TEST_REQUIRE(log_.Of("worker-back").size() == 1U);
  BOOST_TEST(Says(log_.Of("worker-back").front(), " born=1 heard_ms_ago="));
}

BOOST_AUTO_TEST_CASE(Start_OfATask_SaysWhichIncarnationIsKnown)
{
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  BOOST_TEST_REQUIRE(log_.Of("task-start").size() == 1U);
  BOOST_TEST(Says(log_.Of("task-start").front(), " worker=w1 born=1 heard_ms_ago="));
}

BOOST_AUTO_TEST_CASE(Worker_GoneFromTheList_SaysWhatItsRunsWereJudgedOn)
{
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  RunFor(50ms);
  worker_.reachable_ = false;
  BOOST_TEST(RunUntil([this] { return !log_.Of("worker-silent").empty(); }));
  cell_->MarkTerminated({ "w1" });
  BOOST_TEST_REQUIRE(log_.Of("worker-gone").size() == 1U);
  BOOST_TEST(Says(log_.Of("worker-gone").front(), " cell=svc worker=w1 born=1 heard_ms_ago="));
  BOOST_TEST(Says(log_.Of("worker-gone").front(), " runs=1 in_doubt=0"));
  BOOST_TEST_REQUIRE(log_.Of("runs-terminated").size() == 1U);
  BOOST_TEST(Says(log_.Of("runs-terminated").front(), " ended=1"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
