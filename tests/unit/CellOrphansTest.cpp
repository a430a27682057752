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
  worker_.ExpireRuns();
  BOOST_TEST(worker_.UnfinishedRuns() == 0);
  BOOST_TEST(UsedCpu() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
