/** Workers that start again under their ids while calls are on their way to them. A call names only
 * the worker's id, so the next incarnation carries it out. It has seen no fence, and its clock has
 * begun anew, so that no deadline of the incarnation before makes it late. */

#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** One worker that starts again while it has nothing but a call on its way. */
struct WorkerRestartFixture : CellFixture
{
  WorkerRestartFixture()
  {
    worker_.restartTime_ = 0ms;
    worker_.onStart_ = [this](const jobs::TaskId& /*aTask*/) { OnStart(); };
    RunFor(100ms);
  }

  void OnStart() { mostRuns_ = std::max(mostRuns_, fleet_.RunsOf(first_)); }

  /** Submits a job whose start order the worker has not received yet, and restarts the worker. */
  void RestartBeforeStart(std::deque<OrderFate> aFates)
  {
    worker_.startFates_ = std::move(aFates);
    SendStart();
    worker_.Reboot();
  }

  /** Submits a job, and waits until its start order has been sent and has not arrived. */
  void SendStart()
  {
    Submit(*cell_, "job1", Spec(1));
    BOOST_REQUIRE(RunUntil([this] { return worker_.sentStarts_ > 0; }));
    BOOST_REQUIRE(worker_.starts_.empty());
  }

  /** Lets the next calls of a kind take some time, each call's own; later ones take none. */
  void Delay(CallKind aKind, std::deque<Transit> aTransits)
  {
    worker_.transit_ = [aKind, transits = std::move(aTransits)](CallKind aCall) mutable {
      if (aCall != aKind || transits.empty()) {
        return Transit{};
      }
      const Transit transit = transits.front();
      transits.pop_front();
      return transit;
    };
  }

  bool WaitForPoll()
  {
    return RunUntil([this] { return worker_.answeredPolls_ > 0; });
  }

  /** Ends the task's run once its owner has had time to start another. */
  void CheckTaskRunsOnce()
  {
    BOOST_TEST(RunUntil([this] { return fleet_.RunsOf(first_) > 0; }, 8'000));
    RunFor(700ms);
    BOOST_TEST(mostRuns_ == 1);
    BOOST_TEST(worker_.concurrentStarts_ == 0);
    BOOST_TEST(fleet_.RunsOf(first_) == 1);
    const std::size_t starts = worker_.starts_.size();
    worker_.End(first_, jobs::EndKind::kDone);
    BOOST_TEST(RunUntil([this] { return StateOf(*cell_, "job1") == "completed"; }, 8'000));
    BOOST_TEST(worker_.starts_.size() == starts);
  }

  FakeWorker& worker_ = AddWorker("w1");
  std::unique_ptr<Cell> cell_ = TakeOver("a");
  int mostRuns_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(WorkerRestarts, WorkerRestartFixture)

BOOST_AUTO_TEST_CASE(Order_WorkerStartsAgainUnderItsIdBeforeItArrives_TaskRunsOnceAtATime)
{
  Delay(CallKind::kStart, { { 45ms, 0ms } });
  RestartBeforeStart({});
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Order_ArrivesAfterARestartAndItsAnswerIsLate_TaskRunsOnceAtATime)
{
  // The poll that shows the new incarnation is answered before the start order is.
  Delay(CallKind::kStart, { { 12ms, 45ms } });
  RestartBeforeStart({});
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Order_AnswerOvertakesThePollThatShowsTheRestart_TaskRunsOnceAtATime)
{
  // The poll has been carried out before the order, and its answer arrives after the order's.
  worker_.transit_ = [](CallKind aKind) {
    return aKind == CallKind::kStart ? Transit{ 30ms, 0ms } : Transit{ 0ms, 40ms };
  };
  RestartBeforeStart({});
  AddWorker("w2").onStart_ = [this](const jobs::TaskId& /*aTask*/) { OnStart(); };
  BOOST_TEST(WaitForRun(worker_, first_));
  worker_.transit_ = nullptr;
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Order_LostOverARestart_TaskRunsOnceAtATime)
{
  Delay(CallKind::kStart, { { 45ms, 0ms } });
  RestartBeforeStart({ OrderFate::kLost });
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Order_CarriedOutAfterARestartAndUnanswered_TaskRunsOnceAtATime)
{
  Delay(CallKind::kStart, { { 45ms, 0ms } });
  RestartBeforeStart({ OrderFate::kDoneUnanswered });
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Order_LateOverARestart_TaskRunsOnceAtATime)
{
  RestartBeforeStart({ OrderFate::kLate });
  BOOST_TEST(WaitForPoll());
  RunFor(300ms);
  worker_.RunLate();
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Order_StoppedBeforeARestartAndLateAfterIt_TaskRunsOnceAtATime)
{
  worker_.startFates_ = { OrderFate::kLate };
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  worker_.Reboot();
  BOOST_TEST(WaitForPoll());
  RunFor(100ms);
  worker_.RunLate();
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Stop_ConfirmedBeforeARestartAndOrderLateAfterIt_RunIsStoppedAgain)
{
  worker_.startFates_ = { OrderFate::kLate };
  SendStart();
  cell_->Cancel("job1", {}, [](const Answer& /*aAnswer*/) {});
  BOOST_TEST(RunUntil([this] { return worker_.highestEndedRuns_.contains(first_); }));
  worker_.Reboot();
  worker_.RunLate();
  BOOST_TEST(fleet_.RunsOf(first_) == 1);
  BOOST_TEST(RunUntil([this] { return fleet_.RunsOf(first_) == 0; }, 3'000));
}

BOOST_AUTO_TEST_CASE(Stop_LateOverARestart_TaskRunsOnceAtATime)
{
  Submit(*cell_, "job1", Spec(1, true));
  BOOST_TEST(WaitForRun(worker_, first_));
  RunFor(100ms);
  worker_.stopFates_ = { OrderFate::kLate };
  cell_->EvictTasks("w1");
  BOOST_TEST(RunUntil([this] { return worker_.late_.size() == 1; }));
  worker_.Reboot();
  BOOST_TEST(WaitForRun(worker_, first_));
  worker_.RunLate();
  RunFor(700ms);
  BOOST_TEST(mostRuns_ == 1);
  BOOST_TEST(worker_.concurrentStarts_ == 0);
  BOOST_TEST(fleet_.RunsOf(first_) == 1);
}

BOOST_AUTO_TEST_CASE(Order_RepeatedAndLateOverARestart_TaskRunsOnceAtATime)
{
  worker_.startFates_ = { OrderFate::kLate };
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  worker_.Reboot();
  worker_.RunLate();
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Poll_LateOverARestart_EndsAfterItAreRead)
{
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  worker_.pollFates_ = { OrderFate::kLate };
  worker_.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(RunUntil([this] { return !worker_.late_.empty(); }));
  worker_.Reboot();
  BOOST_TEST(WaitForRun(worker_, first_));
  worker_.RunLate();
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_CASE(Worker_ChangesItsAddressUnderItsId_ItsTaskIsNotStartedAgain)
{
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
  RunFor(100ms);
  platformState_.registrations_.at("w1").endpoint_ = { "127.0.0.2", 81 };
  Q_EMIT platformState_.WorkersChanged();
  CheckTaskRunsOnce();
  BOOST_TEST(worker_.starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Order_OnItsWayAsTheAddressChanges_TaskRunsOnceAtATime)
{
  Delay(CallKind::kStart, { { 60ms, 0ms } });
  SendStart();
  platformState_.registrations_.at("w1").endpoint_ = { "127.0.0.2", 81 };
  Q_EMIT platformState_.WorkersChanged();
  CheckTaskRunsOnce();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
