#include "tests/unit/CellFixture.h"

/** Runs that a worker lists and that the owner neither ordered nor adopted, beside other runs of
 * their tasks. */

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** What a RecordingPort was asked, and what it answers. */
struct PortRecord
{
  std::vector<std::int64_t> stops_;  ///< Numbers of the runs.
  std::vector<std::int64_t> starts_; ///< Numbers of the runs.
  int lostStops_ = 0;                ///< Number of stop orders that get no answer.
  workers::WorkerStatus status_;     ///< The answer to every poll.
};

/** A worker whose lists the test sets. */
class RecordingPort
  : public QObject
  , public workers::WorkerPort
{
public:
  explicit RecordingPort(PortRecord& aRecord)
    : record_(aRecord)
  {
  }

  void Start(const workers::StartOrder& aOrder,
             std::function<void(const workers::OrderReply&)> aDone) override
  {
    record_.starts_.push_back(aOrder.run_);
    Answer(aDone);
  }

  void Stop(const jobs::TaskId& /*aTask*/,
            std::int64_t aRun,
            std::int64_t /*aFence*/,
            std::function<void(const workers::OrderReply&)> aDone) override
  {
    record_.stops_.push_back(aRun);
    if (record_.lostStops_ > 0) {
      --record_.lostStops_;
      QTimer::singleShot(0, this, [aDone] { aDone({}); });
      return;
    }
    Answer(aDone);
  }

  void Poll(const workers::PollOrder& /*aOrder*/,
            std::function<void(const workers::WorkerStatus&)> aDone) override
  {
    QTimer::singleShot(1, this, [this, aDone] { aDone(record_.status_); });
  }

  void SetSpeed(const jobs::TaskId& /*aTask*/,
                std::int64_t /*aRun*/,
                int /*aPercent*/,
                std::int64_t /*aFence*/,
                std::function<void(const workers::OrderReply&)> aDone) override
  {
    Answer(aDone);
  }

private:
  void Answer(const std::function<void(const workers::OrderReply&)>& aDone)
  {
    QTimer::singleShot(0, this, [aDone] { aDone({ workers::OrderStatus::kAccepted, kClockMs }); });
  }

  static constexpr std::int64_t kClockMs = 10'000;
  PortRecord& record_;
};

/** A worker as its cell's owner sees it; the owner stops every run that it does not know. */
struct OrphanWorkerFixture : CellFixture
{
  OrphanWorkerFixture()
  {
    record_.status_.status_ = workers::OrderStatus::kAccepted;
    record_.status_.clockMs_ = 10'000;
    record_.status_.startedMs_ = 1;
    QObject::connect(&worker_,
                     &cells::Worker::UnknownRunFound,
                     &worker_,
                     [this](const workers::RunningTask& aTask) {
                       worker_.StopOrphan(aTask.task_, MakeRun(aTask.run_));
                     });
    worker_.BeginPolling();
    BOOST_TEST(RunUntil([this] { return worker_.IsSynchronized(); }));
  }

  static workers::Run MakeRun(std::int64_t aNumber)
  {
    workers::Run run;
    run.number_ = aNumber;
    run.need_ = { 1'000, 10, 0 };
    return run;
  }

  void Start(std::int64_t aNumber)
  {
    workers::StartOrder order;
    order.task_ = first_;
    order.run_ = aNumber;
    worker_.Start(order, MakeRun(aNumber));
  }

  /** Lets the worker list these runs of the first task as running. */
  void ListRuns(const std::vector<std::int64_t>& aNumbers)
  {
    record_.status_.running_.clear();
    for (const std::int64_t number : aNumbers) {
      record_.status_.running_.push_back({ first_, number, {}, 0, 0 });
    }
    worker_.PollSoon();
  }

  bool WaitForStops(std::int64_t aRun, std::ptrdiff_t aCount)
  {
    return RunUntil(
      [&] { return std::count(record_.stops_.begin(), record_.stops_.end(), aRun) >= aCount; },
      3'000);
  }

  std::int64_t UsedCpu() const { return worker_.State().used_.cpu_; }

  PortRecord record_;
  cells::Worker worker_{ {},     std::make_unique<RecordingPort>(record_), 1,
                         times_, [this] { return sinceLeaseLapse_; },      nullptr };
};

/** A job of two tasks. The first runs on w1, and an orphan of it on w2, beside the second, until
 * the test ends it. */
struct OrphanCellFixture : CellFixture
{
  OrphanCellFixture()
  {
    times_.lease_ = 5'000ms;
    w2_.endsAtStop_ = false;
  }

  std::unique_ptr<Cell> CellWithOrphan(jobs::JobSpec aSpec)
  {
    aSpec.steps_[0].maxPerWorker_ = 1;
    auto cell = TakeOver("n1");
    Submit(*cell, "job1", aSpec);
    BOOST_TEST(WaitForRun(w1_, first_));
    BOOST_TEST(WaitForRun(w2_, second_));
    w2_.running_.emplace(first_, FakeWorker::Run{ kOrphan });
    BOOST_TEST(RunUntil([this] { return w2_.highestEndedRuns_.contains(first_); }));
    return cell;
  }

  /** Returns whether a run of the first task starts within a time. */
  bool StartsWithin(std::chrono::milliseconds aTime)
  {
    const auto before = StartsOfFirst();
    return RunUntil([&] { return StartsOfFirst() > before; }, aTime.count());
  }

  std::ptrdiff_t StartsOfFirst() const
  {
    std::ptrdiff_t starts = 0;
    for (const FakeWorker* worker : { &w1_, &w2_ }) {
      starts += std::count_if(worker->starts_.begin(),
                              worker->starts_.end(),
                              [this](const auto& aStart) { return aStart.first == first_; });
    }
    return starts;
  }

  static constexpr std::int64_t kOrphan = 7;
  const jobs::TaskId second_{ "job1", 0, 0, 1 };
  FakeWorker& w1_ = AddWorker("w1");
  FakeWorker& w2_ = AddWorker("w2");
};

} // namespace

BOOST_AUTO_TEST_SUITE(CellOrphans)

BOOST_FIXTURE_TEST_CASE(Orphan_TaskHasKnownRunHere_UsesItsOwnCapacity, OrphanWorkerFixture)
{
  Start(8);
  ListRuns({ 8, 7 });
  BOOST_TEST(WaitForStops(7, 1));
  BOOST_TEST(UsedCpu() == 2'000);
  BOOST_TEST(worker_.UnfinishedRuns() == 2);
  ListRuns({ 8 });
  BOOST_TEST(RunUntil([this] { return UsedCpu() == 1'000; }, 3'000));
  BOOST_TEST(worker_.UnfinishedRuns() == 1);
}

BOOST_FIXTURE_TEST_CASE(Orphan_TaskHasKnownRunHereAndStopIsLost_IsStoppedAgain, OrphanWorkerFixture)
{
  Start(8);
  ListRuns({ 8 });
  BOOST_TEST(RunUntil(
    [this] { return worker_.State().runs_.at(first_).state_ == workers::RunState::kRunning; }));
  record_.lostStops_ = 1;
  ListRuns({ 8, 7 });
  BOOST_TEST(WaitForStops(7, 1));
  // The worker lists only the known run, since the lost stop may still be carried out.
  ListRuns({ 8 });
  BOOST_TEST(WaitForStops(7, 2));
}

BOOST_FIXTURE_TEST_CASE(Orphan_TaskIsStartedHereAgain_UsesItsCapacityUntilItsEnd,
                        OrphanWorkerFixture)
{
  ListRuns({ 7 });
  BOOST_TEST(WaitForStops(7, 1));
  Start(8);
  ListRuns({ 7, 8 });
  BOOST_TEST(UsedCpu() == 2'000);
  BOOST_TEST(worker_.UnfinishedRuns() == 2);
  record_.status_.ended_ = { { 1, first_, 7, jobs::EndKind::kStopped, {} } };
  ListRuns({ 8 });
  BOOST_TEST(RunUntil([this] { return UsedCpu() == 1'000; }, 3'000));
  BOOST_TEST(worker_.State().runs_.at(first_).number_ == 8);
}

BOOST_FIXTURE_TEST_CASE(Orphan_TaskIsStartedHereAgainAndStopIsLost_IsStoppedAgain,
                        OrphanWorkerFixture)
{
  record_.lostStops_ = 1;
  ListRuns({ 7 });
  BOOST_TEST(WaitForStops(7, 1));
  Start(8);
  ListRuns({ 8 });
  BOOST_TEST(WaitForStops(7, 2));
}

BOOST_FIXTURE_TEST_CASE(Orphan_IsListedAgain_IsStoppedOnce, OrphanWorkerFixture)
{
  Start(8);
  ListRuns({ 8, 7 });
  BOOST_TEST(WaitForStops(7, 1));
  RunFor(200ms);
  BOOST_TEST(std::count(record_.stops_.begin(), record_.stops_.end(), 7) == 1);
}

BOOST_FIXTURE_TEST_CASE(Orphan_WorkerStartsAgain_IsForgotten, OrphanWorkerFixture)
{
  record_.lostStops_ = 1'000;
  ListRuns({ 7 });
  BOOST_TEST(WaitForStops(7, 1));
  record_.status_.startedMs_ = 2;
  ListRuns({});
  BOOST_TEST(RunUntil([this] { return worker_.UnfinishedRuns() == 0; }, 3'000));
  BOOST_TEST(UsedCpu() == 0);
}

BOOST_FIXTURE_TEST_CASE(Orphan_WorkerIsGivenUp_IsForgotten, OrphanWorkerFixture)
{
  Start(8);
  ListRuns({ 8, 7 });
  BOOST_TEST(WaitForStops(7, 1));
  worker_.StopPolling();
  worker_.GiveUp();
  BOOST_TEST(worker_.UnfinishedRuns() == 0);
  BOOST_TEST(UsedCpu() == 0);
}

BOOST_FIXTURE_TEST_CASE(Placement_OtherRunFails_WaitsForTheEndOfTheOrphan, OrphanCellFixture)
{
  const auto cell = CellWithOrphan(Spec(2));
  w1_.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(!StartsWithin(500ms));
  w2_.End(first_, jobs::EndKind::kStopped);
  BOOST_TEST(StartsWithin(3'000ms));
}

BOOST_FIXTURE_TEST_CASE(Placement_OtherRunOfLongRunningTaskFails_WaitsForTheEndOfTheOrphan,
                        OrphanCellFixture)
{
  const auto cell = CellWithOrphan(Spec(2, true));
  w1_.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(!StartsWithin(500ms));
  w2_.End(first_, jobs::EndKind::kStopped);
  BOOST_TEST(StartsWithin(3'000ms));
}

BOOST_FIXTURE_TEST_CASE(Placement_MemberOfGangHasOrphan_WholeGangWaits, OrphanCellFixture)
{
  jobs::JobSpec spec = Spec(2);
  spec.steps_[0].gang_ = true;
  const auto cell = CellWithOrphan(spec);
  w1_.End(first_, jobs::EndKind::kFailed);
  w2_.End(second_, jobs::EndKind::kGangBroken);
  BOOST_TEST(!RunUntil([this] { return fleet_.RunsOf(second_) > 0; }, 500));
  BOOST_TEST(StartsOfFirst() == 1);
  w2_.End(first_, jobs::EndKind::kStopped);
  BOOST_TEST(StartsWithin(3'000ms));
}

BOOST_FIXTURE_TEST_CASE(Placement_BothRunsOfSpeculativeTaskFail_WaitsForTheEndOfTheOrphan,
                        OrphanCellFixture)
{
  FakeWorker& w3 = AddWorker("w3");
  jobs::JobSpec spec = Spec(2);
  spec.steps_[0].speculative_ = true;
  const auto cell = CellWithOrphan(spec);
  BOOST_TEST(!RunUntil([&] { return w3.running_.contains(first_); }, 800));
  w1_.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(!StartsWithin(500ms));
  w2_.End(first_, jobs::EndKind::kStopped);
  BOOST_TEST(
    RunUntil([&] { return w1_.running_.contains(first_) || w3.running_.contains(first_); }, 3'000));
}

BOOST_FIXTURE_TEST_CASE(Placement_WorkerOfTheOrphanStartsAgain_GoesOn, OrphanCellFixture)
{
  const auto cell = CellWithOrphan(Spec(2));
  w1_.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(!StartsWithin(300ms));
  w2_.Reboot();
  BOOST_TEST(StartsWithin(3'000ms));
}

BOOST_FIXTURE_TEST_CASE(Placement_WorkerOfTheOrphanIsTerminated_GoesOn, OrphanCellFixture)
{
  const auto cell = CellWithOrphan(Spec(2));
  w1_.End(first_, jobs::EndKind::kFailed);
  w2_.reachable_ = false;
  BOOST_TEST(!StartsWithin(300ms));
  cell->MarkTerminated({ "w2" });
  BOOST_TEST(StartsWithin(3'000ms));
}

BOOST_FIXTURE_TEST_CASE(Placement_LeaseOfTheOrphanLapses_GoesOn, OrphanCellFixture)
{
  times_.lease_ = 1'000ms;
  const auto cell = CellWithOrphan(Spec(2));
  w1_.End(first_, jobs::EndKind::kFailed);
  w2_.reachable_ = false;
  BOOST_TEST(!StartsWithin(500ms));
  BOOST_TEST(StartsWithin(5'000ms));
  BOOST_TEST(w2_.leaseEndMs_ < w2_.ClockMs());
}

BOOST_FIXTURE_TEST_CASE(Placement_OrphanIsDone_TaskIsNotStartedAgain, OrphanCellFixture)
{
  const auto cell = CellWithOrphan(Spec(2));
  w2_.End(first_, jobs::EndKind::kDone);
  BOOST_TEST(RunUntil([this] { return !w1_.running_.contains(first_); }, 3'000));
  BOOST_TEST(!StartsWithin(300ms));
}

BOOST_FIXTURE_TEST_CASE(TakeOver_ByTheSameOwnerWhileItsOrderIsLate_OrderIsRejected, CellFixture)
{
  FakeWorker& w1 = AddWorker("w1");
  auto cell = TakeOver("n1");
  w1.startFates_ = { OrderFate::kLate };
  Submit(*cell, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return !w1.late_.empty(); }));
  cell.reset();
  cell = TakeOver("n1");
  BOOST_TEST(WaitForRun(w1, first_));
  w1.RunLate();
  BOOST_TEST(w1.starts_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(TakeOver_WorkerStartsAgainBeforeItsFirstPoll_LateOrderIsRejected,
                        CellFixture)
{
  FakeWorker& w1 = AddWorker("w1");
  auto cell = TakeOver("n1");
  w1.startFates_ = { OrderFate::kLate };
  Submit(*cell, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return !w1.late_.empty(); }));
  cell.reset();
  const auto late = w1.late_;
  w1.Reboot();
  w1.late_ = late; // The order names the worker's id, which is the same.
  cell = TakeOver("n1");
  BOOST_TEST(WaitForRun(w1, first_));
  w1.RunLate();
  BOOST_TEST(w1.starts_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
