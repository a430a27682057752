/** Workers that start again under their ids while calls are on their way to them. A call names only
 * the worker's id, so the next incarnation carries it out. It has seen no fence, and its clock has
 * begun anew, so that no deadline of the incarnation before makes it late.
 * The seeds of the random model are fixed; QUETZAL_RESTART_SEEDS="FIRST COUNT" runs others. */

#include "tests/unit/CellFixture.h"

#include <cstdlib>
#include <random>
#include <sstream>

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

constexpr int kWorkers = 3;
constexpr int kMaxJobs = 14;
constexpr int kMaxTransitMs = 12;
/** One call in so many is lost, carried out without an answer, or carried out late. */
constexpr int kFaultyCalls = 20;
constexpr int kMaxLatenessMs = 300;
constexpr auto kFaultyTime = 1'500ms;
/** A call may outlive one restart but not two: a stop that the incarnation between has confirmed
 * tells nothing about the next one, and the page gives nothing else that tells such a call apart.
 */
constexpr auto kMinRestartInterval = 500ms;
constexpr qint64 kRecoveryMs = 15'000;

/** One owner and three workers, written from the page of the users' interface. */
class RestartModel : public CellFixture
{
public:
  explicit RestartModel(unsigned aSeed)
    : random_(aSeed)
  {
    for (int i = 0; i < kWorkers; ++i) {
      workers_.push_back(&AddWorker("w" + std::to_string(i)));
      restartedAt_.emplace_back();
    }
    for (FakeWorker* worker : workers_) {
      Connect(*worker);
    }
    cell_ = TakeOver("a");
  }

  /** @return violations of the protocol; empty if there were none. */
  std::vector<std::string> Run()
  {
    const clock::Moment end = std::chrono::steady_clock::now() + kFaultyTime;
    while (std::chrono::steady_clock::now() < end) {
      Step();
      RunEventLoop(std::chrono::milliseconds(Draw(15)));
    }
    Recover();
    return violations_;
  }

private:
  int Draw(int aBelow) { return std::uniform_int_distribution<int>(0, aBelow - 1)(random_); }

  void Connect(FakeWorker& aWorker)
  {
    aWorker.onStart_ = [this, &aWorker](const jobs::TaskId& aTask) { OnStart(aWorker, aTask); };
    aWorker.onAcknowledged_ = [this](const workers::EndedTask& aEnd) {
      if (aEnd.kind_ == jobs::EndKind::kDone) {
        done_.insert(aEnd.task_);
      }
    };
    aWorker.transit_ = [this, &aWorker](CallKind /*aKind*/) {
      PrepareFates(aWorker);
      return Transit{ std::chrono::milliseconds(Draw(kMaxTransitMs + 1)),
                      std::chrono::milliseconds(Draw(kMaxTransitMs + 1)) };
    };
    aWorker.lateness_ = [this, &aWorker] {
      PrepareFates(aWorker);
      return std::chrono::milliseconds(1 + Draw(kMaxLatenessMs));
    };
  }

  /** Draws what becomes of the worker's next call of each kind. */
  void PrepareFates(FakeWorker& aWorker)
  {
    for (auto* fates :
         { &aWorker.startFates_, &aWorker.stopFates_, &aWorker.pollFates_, &aWorker.speedFates_ }) {
      const bool faulty = !recovering_ && Draw(kFaultyCalls) == 0;
      fates->assign(1, faulty ? static_cast<OrderFate>(1 + Draw(3)) : OrderFate::kAnswered);
    }
  }

  void OnStart(const FakeWorker& aWorker, const jobs::TaskId& aTask)
  {
    if (fleet_.RunsOf(aTask) > 1) {
      violations_.push_back("two runs at once of " + jobs::ToString(aTask) + ", run " +
                            std::to_string(aWorker.starts_.back().second) + " on " + aWorker.id_);
    }
    if (done_.contains(aTask)) {
      violations_.push_back("a run after the recorded end of " + jobs::ToString(aTask) + " on " +
                            aWorker.id_);
    }
  }

  void RunEventLoop(std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    do {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 2);
      store_.AnswerAll();
      for (FakeWorker* worker : workers_) {
        worker->Expire();
      }
    } while (timer.elapsed() < aTime.count());
  }

  void Step()
  {
    switch (Draw(8)) {
      case 0:
        SubmitJob();
        break;
      case 1:
        Restart(static_cast<std::size_t>(Draw(kWorkers)));
        break;
      default:
        EndTask(*workers_[static_cast<std::size_t>(Draw(kWorkers))]);
        break;
    }
  }

  void SubmitJob()
  {
    if (nextJob_ < kMaxJobs) {
      const std::string id = "job" + std::to_string(nextJob_++);
      cell_->Submit({ "q", id, Spec(1 + Draw(4)), {} }, [this, id](const Answer& aAnswer) {
        if (aAnswer.status_ == AnswerStatus::kAccepted) {
          accepted_.insert(id);
        }
      });
    }
  }

  void Restart(std::size_t aWorker)
  {
    const clock::Moment now = std::chrono::steady_clock::now();
    if (now - restartedAt_[aWorker] >= kMinRestartInterval) {
      restartedAt_[aWorker] = now;
      workers_[aWorker]->restartTime_ = std::chrono::milliseconds(Draw(3) == 0 ? Draw(150) : 0);
      workers_[aWorker]->Reboot();
    }
  }

  void EndTask(FakeWorker& aWorker)
  {
    if (!aWorker.running_.empty()) {
      const jobs::TaskId task = aWorker.running_.begin()->first;
      // A task may fail twice without failing its job.
      const bool fails = Draw(8) == 0 && failures_[task]++ < 2;
      aWorker.End(task, fails ? jobs::EndKind::kFailed : jobs::EndKind::kDone);
    }
  }

  bool HasEnded(const std::string& aId) const { return StateOf(*cell_, aId) == "completed"; }

  /** Ends all faults: every accepted job must then end. */
  void Recover()
  {
    recovering_ = true;
    for (FakeWorker* worker : workers_) {
      PrepareFates(*worker);
    }
    QElapsedTimer timer;
    timer.start();
    bool allEnded = false;
    while (!allEnded && timer.elapsed() < kRecoveryMs) {
      RunEventLoop(10ms);
      for (FakeWorker* worker : workers_) {
        if (!worker->running_.empty()) {
          worker->End(jobs::TaskId(worker->running_.begin()->first), jobs::EndKind::kDone);
        }
      }
      allEnded = std::all_of(
        accepted_.begin(), accepted_.end(), [this](const auto& aId) { return HasEnded(aId); });
    }
    RunEventLoop(std::chrono::milliseconds(kMaxLatenessMs));
    for (const std::string& id : accepted_) {
      if (!HasEnded(id)) {
        violations_.push_back(id + " was accepted and is " + StateOf(*cell_, id));
      }
    }
  }

  std::mt19937 random_;
  std::vector<FakeWorker*> workers_;
  std::vector<clock::Moment> restartedAt_;
  std::unique_ptr<Cell> cell_;
  bool recovering_ = false;
  int nextJob_ = 0;
  std::set<std::string> accepted_;
  std::set<jobs::TaskId> done_; ///< Tasks whose end as done has been acknowledged.
  std::map<jobs::TaskId, int> failures_;
  std::vector<std::string> violations_;
};

BOOST_AUTO_TEST_SUITE(WorkerRestartModel)

BOOST_AUTO_TEST_CASE(Tasks_WorkersStartAgainUnderTheirIds_RunOnceAtATimeAndAreNeverLost)
{
  unsigned first = 1;
  unsigned count = 6;
  if (const char* seeds = std::getenv("QUETZAL_RESTART_SEEDS")) {
    std::istringstream(seeds) >> first >> count;
  }
  for (unsigned seed = first; seed < first + count; ++seed) {
    for (const std::string& violation : RestartModel(seed).Run()) {
      BOOST_ERROR("seed " << seed << ": " << violation);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
