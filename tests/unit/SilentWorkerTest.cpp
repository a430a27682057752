/** Workers that start again under their ids and are cut off before their owner has seen it, workers
 * that the platform reports as gone while an order is on its way, and successors that meet them.
 * At no moment may two runs of a task be alive, no task may start after its recorded end, and each
 * task must end. */

#include "tests/unit/SilentWorkerFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(SilentWorkers, UnseenRestartFixture)

// --- A restart that no poll has seen --------------------------------------------------------

BOOST_AUTO_TEST_CASE(Restart_OrderAnsweredWithASmallerClockThenSilence_TaskRunsOnceAtATime)
{
  RestartAndOrder(0ms, { OrderFate::kAnswered });
  CheckStartsElsewhere(kDoubtBound);
  BOOST_TEST(StartsOf(worker_) == 1);
}

BOOST_AUTO_TEST_CASE(Restart_OrderUnansweredAndClockSmallerThenSilence_TaskRunsOnceAtATime)
{
  RestartAndOrder(0ms, { OrderFate::kDoneUnanswered });
  CheckStartsElsewhere(kDoubtBound);
  BOOST_TEST(StartsOf(worker_) == 1);
}

BOOST_AUTO_TEST_CASE(Restart_OrderAnsweredWithALittleLargerClockThenSilence_TaskRunsOnceAtATime)
{
  RestartAndOrder(Clock() + 100ms, { OrderFate::kAnswered });
  CheckStartsElsewhere(kDoubtBound);
  BOOST_TEST(StartsOf(worker_) == 1);
}

BOOST_AUTO_TEST_CASE(Restart_OrderUnansweredAndClockALittleLargerThenSilence_TaskRunsOnceAtATime)
{
  RestartAndOrder(Clock() + 100ms, { OrderFate::kDoneUnanswered });
  CheckStartsElsewhere(kDoubtBound);
  BOOST_TEST(StartsOf(worker_) == 1);
}

// The deadline on the earlier clock has passed on the new one, so that nothing begins.
BOOST_AUTO_TEST_CASE(Restart_OrderLateOnAMuchLargerClockThenSilence_TaskStartsElsewhere)
{
  cutsOffAtStart_ = false;
  RestartAndOrder(Clock() + 1h, { OrderFate::kAnswered });
  worker_.reachable_ = false;
  CheckStartsElsewhere(kDoubtBound);
  BOOST_TEST(StartsOf(worker_) == 0);
}

BOOST_AUTO_TEST_CASE(Restart_OrderLostThenSilence_TaskStartsElsewhere)
{
  RestartAndOrder(0ms, { OrderFate::kLost });
  worker_.reachable_ = false;
  CheckStartsElsewhere(kDoubtBound);
  BOOST_TEST(StartsOf(worker_) == 0);
}

BOOST_AUTO_TEST_CASE(Restart_OrderCarriedOutLateInSilence_TaskRunsOnceAtATime)
{
  RestartAndOrder(0ms, { OrderFate::kLate });
  worker_.reachable_ = false;
  RunFor(kMaxCallDelay - 50ms);
  worker_.RunLate();
  BOOST_TEST(StartsOf(worker_) == 1);
  CheckStartsElsewhere(kDoubtBound);
}

BOOST_AUTO_TEST_CASE(Restart_AfterTheOrderAndBeforeItArrives_TaskRunsOnceAtATime)
{
  worker_.startFates_ = { OrderFate::kLate };
  Order();
  worker_.reachable_ = false;
  worker_.Reboot();
  RunFor(kMaxCallDelay - 50ms);
  worker_.RunLate();
  BOOST_TEST(StartsOf(worker_) == 1);
  CheckStartsElsewhere(kDoubtBound);
}

BOOST_AUTO_TEST_CASE(Restart_RunIsDoneBeforeALapseOnTheEarlierClock_EndIsReadAndTaskRunsOnce)
{
  RestartAndOrder(0ms, { OrderFate::kAnswered });
  RunFor(150ms);
  worker_.End(first_, jobs::EndKind::kDone);
  RunFor(950ms);
  worker_.reachable_ = true;
  CheckCompletes();
  BOOST_TEST(StartsOf(worker_) + StartsOf(*other_) == 1);
}

BOOST_AUTO_TEST_CASE(Restart_UnansweredRunIsDoneBeforeALapseOnTheEarlierClock_EndIsRead)
{
  RestartAndOrder(0ms, { OrderFate::kDoneUnanswered });
  RunFor(150ms);
  worker_.End(first_, jobs::EndKind::kDone);
  RunFor(950ms);
  worker_.reachable_ = true;
  CheckCompletes();
  BOOST_TEST(StartsOf(worker_) + StartsOf(*other_) == 1);
}

BOOST_AUTO_TEST_CASE(Restart_RunIsDoneAfterALapseOnTheEarlierClock_EndIsReadAndTaskRunsOnce)
{
  RestartAndOrder(0ms, { OrderFate::kAnswered });
  RunFor(1'100ms);
  worker_.End(first_, jobs::EndKind::kDone);
  worker_.reachable_ = true;
  CheckCompletes();
  BOOST_TEST(StartsOf(worker_) + StartsOf(*other_) == 1);
}

BOOST_AUTO_TEST_CASE(Restart_UnansweredRunIsDoneAfterALapseOnTheEarlierClock_EndIsRead)
{
  RestartAndOrder(0ms, { OrderFate::kDoneUnanswered });
  RunFor(1'100ms);
  worker_.End(first_, jobs::EndKind::kDone);
  worker_.reachable_ = true;
  CheckCompletes();
  BOOST_TEST(StartsOf(worker_) + StartsOf(*other_) == 1);
}

// Only a run in doubt waits: one that a poll has listed ends with the lease that was granted.
BOOST_AUTO_TEST_CASE(Silence_RunWasListedByAPoll_TaskStartsElsewhereAfterTheLease)
{
  cutsOffAtStart_ = false;
  Order();
  RunFor(100ms);
  worker_.reachable_ = false;
  BOOST_TEST(WaitForOther(400ms + 60ms + 500ms + 300ms));
  CheckEnds(*other_);
}

// --- Repeated orders ------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(Order_UnansweredTwice_IsRepeatedUnderItsNumberAndBeginsOnce)
{
  cutsOffAtStart_ = false;
  worker_.startFates_ = { OrderFate::kLate, OrderFate::kLost };
  Order();
  BOOST_TEST(WaitForRun(worker_, first_));
  worker_.RunLate();
  BOOST_TEST(worker_.sentStarts_ == 3);
  BOOST_TEST(StartsOf(worker_) == 1);
  CheckEnds(worker_);
  BOOST_TEST(StartsOf(*other_) == 0);
}

BOOST_AUTO_TEST_CASE(Order_RefusedAfterAnUnansweredOne_StaysWithItsWorkerUntilItCannotArrive)
{
  cutsOffAtStart_ = false;
  worker_.startFates_ = { OrderFate::kLate };
  worker_.wantsTicket_ = true;
  Order();
  const clock::Moment sentAt = clock::Now();
  BOOST_TEST(RunUntil([this] { return worker_.sentStarts_ == 2; }, 300));
  RunFor(50ms); // The second one is refused.
  worker_.wantsTicket_ = false;
  BOOST_TEST((clock::Now() < sentAt + kMaxCallDelay));
  worker_.RunLate();
  BOOST_TEST(StartsOf(worker_) == 1);
  CheckEnds(worker_);
  BOOST_TEST(StartsOf(*other_) == 0);
}

BOOST_AUTO_TEST_CASE(Order_RefusedAfterALostOne_TaskStartsElsewhereOnceItCannotArrive)
{
  cutsOffAtStart_ = false;
  worker_.startFates_ = { OrderFate::kLost };
  worker_.wantsTicket_ = true;
  Order();
  RunFor(300ms);
  BOOST_TEST(StartsOf(*other_) == 0);
  platformState_.registrations_.at("w1").draining_ = true;
  Q_EMIT platformState_.WorkersChanged();
  CheckStartsElsewhere(2'000ms);
}

BOOST_AUTO_TEST_CASE(Order_WorkerRestartsBetweenTwoSendings_TaskRunsOnceAtATime)
{
  cutsOffAtStart_ = false;
  worker_.startFates_ = { OrderFate::kLate };
  Order();
  RunFor(30ms);
  worker_.Reboot();
  BOOST_TEST(RunUntil([this] { return fleet_.RunsOf(first_) > 0; }, 3'000));
  worker_.RunLate();
  RunFor(300ms);
  CheckEnds(worker_.RunOf(first_) != 0 ? worker_ : *other_);
}

BOOST_AUTO_TEST_CASE(Order_SecondSendingReachesARestartedWorkerThenSilence_TaskRunsOnceAtATime)
{
  worker_.startFates_ = { OrderFate::kLost, OrderFate::kDoneUnanswered };
  Order();
  BOOST_TEST(RunUntil([this] { return worker_.sentStarts_ == 2; }, 300));
  CheckStartsElsewhere(kDoubtBound);
  BOOST_TEST(StartsOf(worker_) == 1);
}

BOOST_AUTO_TEST_CASE(Order_WorkerDrains_IsNotRepeatedAndTaskStartsElsewhere)
{
  cutsOffAtStart_ = false;
  worker_.startFates_ = { OrderFate::kLost };
  Order();
  platformState_.registrations_.at("w1").draining_ = true;
  Q_EMIT platformState_.WorkersChanged();
  BOOST_TEST(WaitForOther(kDoubtBound));
  BOOST_TEST(worker_.sentStarts_ == 1);
  CheckEnds(*other_);
}

// --- Workers that the platform reports as gone ----------------------------------------------

BOOST_AUTO_TEST_CASE(Gone_OrderInDoubtReachesTheNextIncarnation_TaskRunsOnceAtATime)
{
  cutsOffAtStart_ = false;
  worker_.startFates_ = { OrderFate::kLate };
  Order();
  worker_.reachable_ = false;
  worker_.Reboot();
  BOOST_TEST(RunUntil([this] { return worker_.unansweredPolls_ > 0; }));
  RunFor(80ms);
  cell_->MarkTerminated({ "w1" });
  RunFor(100ms);
  worker_.reachable_ = true;
  worker_.RunLate();
  BOOST_TEST(StartsOf(worker_) == 1);
  RunFor(1'000ms);
  CheckEnds(worker_);
  BOOST_TEST(StartsOf(*other_) == 0);
}

BOOST_AUTO_TEST_CASE(Gone_OrderInDoubtReachesTheNextIncarnationThenSilence_TaskRunsOnceAtATime)
{
  worker_.startFates_ = { OrderFate::kLate };
  Order();
  worker_.reachable_ = false;
  worker_.Reboot();
  RunFor(150ms);
  cell_->MarkTerminated({ "w1" });
  RunFor(150ms);
  worker_.RunLate();
  BOOST_TEST(StartsOf(worker_) == 1);
  CheckStartsElsewhere(kDoubtBound);
}

BOOST_AUTO_TEST_CASE(Gone_OrderInDoubtAndNeverBack_TaskStartsElsewhere)
{
  worker_.startFates_ = { OrderFate::kLost };
  Order();
  worker_.reachable_ = false;
  RunFor(150ms);
  const auto isGone = [this] {
    cell_->MarkTerminated({ "w1" });
    return other_->RunOf(first_) != 0;
  };
  BOOST_TEST(RunUntil(isGone, kDoubtBound.count()));
  CheckEnds(*other_);
}

// The order was given up, since no call takes that long; the worker has seen a higher fence since.
BOOST_AUTO_TEST_CASE(Gone_OrderWasGivenUpAndArrivesAfterAll_IsFenced)
{
  worker_.startFates_ = { OrderFate::kLate };
  Order();
  worker_.reachable_ = false;
  worker_.Reboot();
  RunFor(150ms);
  cell_->MarkTerminated({ "w1" });
  BOOST_TEST(WaitForOther(kDoubtBound));
  worker_.reachable_ = true;
  BOOST_TEST(RunUntil([this] { return worker_.answeredPolls_ > 1; }, 2'000));
  RunFor(100ms);
  worker_.RunLate();
  BOOST_TEST(StartsOf(worker_) == 0);
  CheckEnds(*other_);
}

BOOST_AUTO_TEST_CASE(Gone_RunWasConfirmedBeforeIt_TaskStartsElsewhereAtOnce)
{
  cutsOffAtStart_ = false;
  Order();
  RunFor(2'200ms); // Longer than the age of the platform's list.
  worker_.reachable_ = false;
  BOOST_TEST(RunUntil([this] { return worker_.unansweredPolls_ > 0; }));
  worker_.Reboot();
  RunFor(80ms);
  cell_->MarkTerminated({ "w1" });
  BOOST_TEST(WaitForOther(200ms));
  CheckEnds(*other_);
}

// --- Successors -----------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(Successor_ReadsTheYoungIncarnationThenSilence_TaskRunsOnceAtATime)
{
  cutsOffAtStart_ = false;
  RestartAndOrder(0ms, { OrderFate::kAnswered });
  BOOST_TEST(StartsOf(worker_) == 1);
  worker_.answeredPolls_ = 0;
  Succeed();
  BOOST_TEST(RunUntil([this] { return worker_.answeredPolls_ > 0; }));
  worker_.reachable_ = false;
  CheckStartsElsewhere(kDoubtBound);
}

BOOST_AUTO_TEST_CASE(Successor_ReadsTheYoungIncarnationBeforeALateOrder_OrderIsFenced)
{
  cutsOffAtStart_ = false;
  RestartAndOrder(0ms, { OrderFate::kLate });
  worker_.answeredPolls_ = 0;
  Succeed();
  BOOST_TEST(RunUntil([this] { return worker_.answeredPolls_ > 0; }));
  worker_.reachable_ = false;
  worker_.RunLate();
  BOOST_TEST(StartsOf(worker_) == 0);
  CheckStartsElsewhere(kDoubtBound);
}

/** The longest lease outlasts the time for which a predecessor may go on. */
struct UnreachedWorkerFixture : SilentWorkerFixture
{
  UnreachedWorkerFixture()
  {
    SetLongestLease(3'000ms);
    Own();
    cutsOffAtStart_ = true;
  }

  /** @return the longest time after a succession until a silent worker is given up. */
  static std::chrono::milliseconds Bound() { return kGrace + 400ms + 3'060ms + 300ms + 1'000ms; }
};

BOOST_FIXTURE_TEST_CASE(Successor_NeverReachesTheWorkerThatHasAnOrder_TaskRunsOnceAtATime,
                        UnreachedWorkerFixture)
{
  RestartAndOrder(0ms, { OrderFate::kAnswered });
  BOOST_TEST(StartsOf(worker_) == 1);
  Succeed();
  CheckStartsElsewhere(Bound());
}

BOOST_FIXTURE_TEST_CASE(Successor_NeverReachesTheWorkerThatGetsALateOrder_TaskRunsOnceAtATime,
                        UnreachedWorkerFixture)
{
  RestartAndOrder(0ms, { OrderFate::kLate });
  worker_.reachable_ = false;
  Succeed();
  RunFor(kMaxCallDelay - 100ms);
  worker_.RunLate();
  BOOST_TEST(StartsOf(worker_) == 1);
  CheckStartsElsewhere(Bound());
}

BOOST_FIXTURE_TEST_CASE(Successor_ReachesTheWorkerAfterItsRunIsDone_TaskRunsOnce,
                        UnreachedWorkerFixture)
{
  RestartAndOrder(0ms, { OrderFate::kAnswered });
  Succeed();
  RunFor(2'500ms);
  worker_.End(first_, jobs::EndKind::kDone);
  RunFor(350ms);
  worker_.reachable_ = true;
  CheckCompletes();
  BOOST_TEST(StartsOf(worker_) + StartsOf(*other_) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
