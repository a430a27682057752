#include "include/quetzal/workers/RunBounds.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::workers;
using namespace std::chrono_literals;

struct WorkerStateFixture
{
  static Run MakeRun(std::int64_t aRun, std::int64_t aCpu)
  {
    Run run;
    run.number_ = aRun;
    run.need_ = { aCpu, 10, 0 };
    return run;
  }

  const jobs::TaskId task_{ "j", 0, 0, 0 };
  clock::Moment now_ = clock::Moment() + 1h;
  const LeaseTimes times_{};
};

BOOST_FIXTURE_TEST_SUITE(WorkerStates, WorkerStateFixture)

BOOST_AUTO_TEST_CASE(Run_AddedAndRemoved_FreesItsCapacity)
{
  WorkerState state;
  AddRun(state, task_, MakeRun(1, 700));
  BOOST_TEST(FreeCapacity(state, { 1'000, 20, 0 }).cpu_ == 300);
  BOOST_TEST(RemoveRun(state, task_, 1));
  BOOST_TEST(FreeCapacity(state, { 1'000, 20, 0 }).cpu_ == 1'000);
}

BOOST_AUTO_TEST_CASE(Run_OlderRunOfTheTaskEnds_IsKept)
{
  WorkerState state;
  AddRun(state, task_, MakeRun(2, 700));
  BOOST_TEST(!RemoveRun(state, task_, 1));
  BOOST_TEST(state.used_.cpu_ == 700);
}

BOOST_AUTO_TEST_CASE(Run_AddedTwice_UsesCapacityOnce)
{
  WorkerState state;
  AddRun(state, task_, MakeRun(1, 700));
  AddRun(state, task_, MakeRun(2, 500));
  BOOST_TEST(state.used_.cpu_ == 500);
}

BOOST_AUTO_TEST_CASE(Counts_RunsComeReplacedAndGo_FollowThem)
{
  WorkerState state;
  Run run = MakeRun(1, 700);
  run.longRunning_ = true;
  run.bestEffort_ = true;
  AddRun(state, task_, run);
  BOOST_TEST(HasLongRunning(state));
  run.bestEffort_ = false;
  run.latencyTargetMs_ = 50;
  AddRun(state, task_, run);
  BOOST_TEST((state.counts_ == RunCounts{ 1, 1, 0 }));
  RemoveRun(state, task_, run.number_);
  BOOST_TEST((state.counts_ == RunCounts{}));
  AddRun(state, task_, run);
  BOOST_TEST(TakeRuns(state).size() == 1);
  BOOST_TEST((state.counts_ == RunCounts{}));
  BOOST_TEST((state.used_ == Capacity{}));
}

BOOST_AUTO_TEST_CASE(Run_WorkerHasSeenAFence_IsRejectedOnlyIfOrderedUnderALowerOneAndUnconfirmed)
{
  Run run = MakeRun(1, 700);
  run.fence_ = 5;
  BOOST_TEST(!IsRejectedBy(run, 5));
  BOOST_TEST(IsRejectedBy(run, 6));
  run.confirmed_ = true;
  BOOST_TEST(!IsRejectedBy(run, 6));
}

BOOST_AUTO_TEST_CASE(Orphan_BesideAKnownRun_UsesCapacityUntilItIsRemoved)
{
  WorkerState state;
  AddRun(state, task_, MakeRun(3, 700));
  BOOST_TEST(AddOrphan(state, task_, MakeRun(1, 500)));
  BOOST_TEST(AddOrphan(state, task_, MakeRun(2, 400)));
  BOOST_TEST(!AddOrphan(state, task_, MakeRun(2, 400)));
  BOOST_TEST(state.used_.cpu_ == 1'600);
  BOOST_TEST(RemoveRun(state, task_, 2));
  BOOST_TEST(!RemoveRun(state, task_, 2));
  BOOST_TEST(state.used_.cpu_ == 1'200);
  BOOST_TEST(RemoveRun(state, task_, 3));
  BOOST_TEST(HasRuns(state));
  BOOST_TEST(RemoveRun(state, task_, 1));
  BOOST_TEST(!HasRuns(state));
  BOOST_TEST((state.used_ == Capacity{}));
}

BOOST_AUTO_TEST_CASE(Orphan_KnownRunIsReplaced_IsKept)
{
  WorkerState state;
  AddOrphan(state, task_, MakeRun(1, 500));
  AddRun(state, task_, MakeRun(2, 700));
  AddRun(state, task_, MakeRun(3, 600));
  BOOST_TEST(state.used_.cpu_ == 1'100);
  BOOST_REQUIRE(FindRun(state, { task_, 1 }) != nullptr);
  BOOST_TEST(FindRun(state, { task_, 1 })->need_.cpu_ == 500);
  BOOST_TEST(FindRun(state, { task_, 2 }) == nullptr);
  BOOST_TEST(FindRun(state, { task_, 3 })->need_.cpu_ == 600);
}

BOOST_AUTO_TEST_CASE(Orphan_IncarnationEnds_IsRemovedWithItsCapacity)
{
  WorkerState state;
  AddRun(state, task_, MakeRun(2, 700)); // Its order has no answer.
  AddOrphan(state, task_, MakeRun(1, 500));
  BOOST_TEST(TakeConfirmedRuns(state, now_, times_).empty());
  BOOST_TEST(state.used_.cpu_ == 700);
  AddOrphan(state, task_, MakeRun(1, 500));
  BOOST_TEST(TakeRuns(state).size() == 1);
  BOOST_TEST(!HasRuns(state));
  BOOST_TEST((state.used_ == Capacity{}));
}

BOOST_AUTO_TEST_CASE(Lease_WorkerClockIsSlow_LapsesOnceThatClockHasPassedItsEnd)
{
  WorkerState state;
  state.clock_ = { 10'000, now_ };
  state.leaseEndMs_ = 15'000;
  BOOST_TEST(!HasLeaseLapsed(state, now_ + 5'050ms));
  BOOST_TEST(!HasLeaseLapsed(state, now_ + 5'150ms));
  BOOST_TEST(HasLeaseLapsed(state, now_ + 5'200ms));
}

BOOST_AUTO_TEST_CASE(Lease_ClockUnknown_NeverLapses)
{
  const WorkerState state;
  BOOST_TEST(!HasLeaseLapsed(state, now_ + 24h));
}

BOOST_AUTO_TEST_CASE(RecordedUpTo_EndsAreNotStored_StopsBeforeTheFirst)
{
  WorkerState state;
  state.lastReportedEnd_ = 5;
  state.unrecordedEnds_ = { 3, 5 };
  BOOST_TEST(RecordedUpTo(state) == 2);
  state.unrecordedEnds_ = { 5 };
  BOOST_TEST(RecordedUpTo(state) == 4);
  state.unrecordedEnds_.clear();
  BOOST_TEST(RecordedUpTo(state) == 5);
}

// A run that leaves the worker on any way must leave the count, or its quota shrinks for ever.
BOOST_AUTO_TEST_CASE(QuotaUse_RunsComeReplacedAndGo_FollowsThem)
{
  organisations::QuotaUse use;
  WorkerState state;
  state.quotaUse_ = &use;
  Run run = MakeRun(1, 700);
  run.organisation_ = "ada";
  run.quotaUse_ = { 700, 10, 0 };
  run.fence_ = 3;
  AddRun(state, task_, run);
  run.number_ = 2;
  run.quotaUse_.cpu_ = 500;
  AddRun(state, task_, run);
  BOOST_TEST(UseOf(use, "ada", false).cpu_ == 500);
  run.number_ = 3;
  run.fence_ = 0;
  AddOrphan(state, task_, run);
  BOOST_TEST(UseOf(use, "ada", true).cpu_ == 1'000);
  BOOST_TEST(UseOf(use, "ada", false).cpu_ == 500);
  TakeRuns(state);
  BOOST_TEST(use.organisations_.empty());
  run.confirmed_ = true;
  AddRun(state, task_, run);
  run.number_ = 4;
  AddOrphan(state, task_, run);
  TakeConfirmedRuns(state, now_, times_);
  BOOST_TEST(use.organisations_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
