/** A property test of cell ownership and task execution: owners change, hand over and paused owners
 * resume, orders and changes are lost or late, workers become unresponsive, restart, are moved once
 * they are idle, and let leases lapse.
 * The seeds are fixed; QUETZAL_PROTOCOL_SEEDS="FIRST COUNT" runs others. */

#include "tests/unit/CellFixture.h"

#include <array>
#include <cstdlib>
#include <random>
#include <sstream>

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

constexpr int kSteps = 60;
constexpr int kWorkers = 4;
constexpr int kMaxJobs = 12;
constexpr qint64 kRecoveryMs = 25'000;
/** A hand-over ends after at most this time, whether or not the cell is idle. */
constexpr int kMaxHandOverMs = 150;
constexpr int kMaxHandOversInARow = 3;
constexpr int kMaxDrainMs = 60;

/** One owner, which may continue after another has taken over, as a paused process does. */
struct Owner
{
  std::unique_ptr<Cell> cell_;
  /** When another owner took the cell over; empty while none has. */
  std::shared_ptr<std::optional<clock::Moment>> takenOverAt_;
};

class RandomScenario : public CellFixture
{
public:
  explicit RandomScenario(unsigned aSeed)
    : random_(aSeed)
  {
    for (int i = 0; i < kWorkers; ++i) {
      const std::string id = "w" + std::to_string(i);
      FakeWorker& worker = AddWorker(id);
      worker.onStart_ = [this](const jobs::TaskId& aTask) { OnStart(aTask); };
      worker.onAcknowledged_ = [this](const workers::EndedTask& aEnd) {
        if (aEnd.kind_ == jobs::EndKind::kDone) {
          done_.insert(aEnd.task_);
        }
      };
      workerIds_.push_back(id);
    }
    ChangeOwner();
  }

  /** @return violations of the protocol; empty if there were none. */
  std::vector<std::string> Run()
  {
    for (int i = 0; i < kSteps; ++i) {
      Step();
      RunEventLoop(std::chrono::milliseconds(Draw(60)));
    }
    Recover();
    return violations_;
  }

private:
  int Draw(int aBelow) { return std::uniform_int_distribution<int>(0, aBelow - 1)(random_); }

  FakeWorker& RandomWorker()
  {
    return fleet_.At(workerIds_[static_cast<std::size_t>(Draw(kWorkers))]);
  }

  void OnStart(const jobs::TaskId& aTask)
  {
    if (fleet_.RunsOf(aTask) > 1) {
      violations_.push_back("two runs at once of " + jobs::ToString(aTask));
    }
    if (done_.contains(aTask)) {
      violations_.push_back("a run after the recorded end of " + jobs::ToString(aTask));
    }
  }

  void RunEventLoop(std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    do {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 2);
      store_.AnswerAll();
      for (const std::string& id : workerIds_) {
        fleet_.At(id).Expire();
      }
    } while (timer.elapsed() < aTime.count());
  }

  /** Lets another owner take the cell over. The previous one may continue for a while. */
  void ChangeOwner()
  {
    if (!owners_.empty()) {
      *owners_.back().takenOverAt_ = std::chrono::steady_clock::now();
      if (Draw(2) == 0) {
        owners_.back().cell_->Abandon();
      }
    }
    while (owners_.size() > 2) {
      owners_.erase(owners_.begin());
    }
    jobs::OwnerRecord record;
    record.owner_ = "owner-" + std::to_string(nextOwner_++);
    record.incarnation_ = record.owner_;
    std::optional<node::ClaimedCell> claimed;
    node::CellClaim claim(
      store_, "svc", record, 1, store_.RevisionOf(node::CellKey("svc")), nullptr);
    QObject::connect(
      &claim, &node::CellClaim::Won, &claim, [&claimed](const auto& aCell) { claimed = aCell; });
    claim.Start();
    store_.AnswerAll();
    if (!claimed) {
      return; // The claim's own change was lost or refused. A later step claims the cell again.
    }
    Owner owner;
    owner.takenOverAt_ = std::make_shared<std::optional<clock::Moment>>();
    CellContext context;
    context.store_ = &store_;
    context.platformState_ = &platformState_;
    context.makeWorker_ = fleet_.Factory();
    context.metrics_ = &metrics_;
    context.times_ = times_;
    context.sinceLeaseLapse_ = [takenOverAt = owner.takenOverAt_] {
      return *takenOverAt ? std::chrono::duration_cast<clock::Milliseconds>(
                              std::chrono::steady_clock::now() - **takenOverAt) +
                              1ms
                          : 0ms;
    };
    owner.cell_ = std::make_unique<Cell>(
      "svc", context, record, claimed->fence_, claimed->predecessorState_, nullptr);
    owners_.push_back(std::move(owner));
  }

  /** Hands the cell over, several times in a row. Some cells are released while they are busy. */
  void HandOver()
  {
    for (int left = 1 + Draw(kMaxHandOversInARow); left > 0 && HasOwner(); --left) {
      Cell& cell = *owners_.back().cell_;
      EmptyWorker();
      RunEventLoop(std::chrono::milliseconds(Draw(kMaxDrainMs)));
      MoveIdleWorker();
      cell.BeginHandOver();
      EndTask();
      RunEventLoop(std::chrono::milliseconds(Draw(kMaxHandOverMs)));
      MoveIdleWorker();
      cell.Abandon();
      ChangeOwner();
    }
  }

  /** Cordons a worker and ends all its tasks as done, sometimes while the store refuses changes. */
  void EmptyWorker()
  {
    FakeWorker& worker = RandomWorker();
    owners_.back().cell_->CordonWorkers({ worker.id_ });
    for (int i = Draw(4); i > 0; --i) {
      store_.InjectFault(CommitFault::kRefused);
    }
    while (!worker.running_.empty()) {
      worker.End(worker.running_.begin()->first, jobs::EndKind::kDone);
    }
  }

  /** Moves the host of a cordoned worker if the owner reports that nothing is left there. The ends
   * that the worker has listed count as read from then on, as nobody can read them again. */
  void MoveIdleWorker()
  {
    if (!HasOwner()) {
      return;
    }
    for (const cells::WorkerReport& report : owners_.back().cell_->Report().workers_) {
      FakeWorker& worker = fleet_.At(report.id_);
      if (!report.cordoned_ || !report.synchronized_ || report.runs_ != 0) {
        continue;
      }
      for (const workers::EndedTask& end : worker.ended_) {
        if (end.number_ <= worker.listed_ && end.kind_ == jobs::EndKind::kDone) {
          done_.insert(end.task_);
        }
      }
      // After a move the worker has another id, and each call that names the one before is
      // rejected.
      worker.late_.clear();
      worker.Reboot();
    }
  }

  void CordonWorker()
  {
    if (HasOwner()) {
      owners_.back().cell_->CordonWorkers({ RandomWorker().id_ });
    }
  }

  bool HasOwner() const { return !owners_.empty() && !*owners_.back().takenOverAt_; }

  void Step()
  {
    switch (Draw(15)) {
      case 0:
      case 1:
      case 2:
        SubmitJob();
        break;
      case 3:
      case 4:
      case 5:
        EndTask();
        break;
      case 6: {
        FakeWorker& worker = RandomWorker();
        worker.reachable_ = !worker.reachable_;
        break;
      }
      case 7:
        RandomWorker().Reboot();
        break;
      case 8:
        ChangeOwner();
        break;
      case 9:
        store_.InjectFault(static_cast<CommitFault>(Draw(4)));
        store_.InjectFault(static_cast<CommitFault>(Draw(4)));
        break;
      case 10:
        HandOver();
        break;
      case 11:
        CordonWorker();
        break;
      case 12:
        MoveIdleWorker();
        break;
      case 13:
        AddFault(RandomWorker());
        break;
      default:
        RandomWorker().RunLate();
        store_.ApplyDelayed();
        if (Draw(3) == 0) {
          CancelJob();
        }
        break;
    }
  }

  /** Lets a call of some kind be lost, late or unanswered; most often a start. */
  void AddFault(FakeWorker& aWorker)
  {
    const std::array kinds{
      &aWorker.startFates_, &aWorker.startFates_, &aWorker.stopFates_, &aWorker.pollFates_
    };
    kinds.at(static_cast<std::size_t>(Draw(4)))->push_back(static_cast<OrderFate>(Draw(4)));
  }

  void SubmitJob()
  {
    if (!HasOwner() || nextJob_ >= kMaxJobs) {
      return;
    }
    const std::string id = "job" + std::to_string(nextJob_++);
    owners_.back().cell_->Submit({ "q", id, Spec(1 + Draw(3)), {} },
                                 [this, id](const Answer& aAnswer) {
                                   if (aAnswer.status_ == AnswerStatus::kAccepted) {
                                     accepted_.insert(id);
                                   }
                                 });
  }

  void CancelJob()
  {
    if (!HasOwner() || accepted_.empty()) {
      return;
    }
    const std::string id = *accepted_.begin();
    owners_.back().cell_->Cancel(id, {}, [](const Answer& /*aAnswer*/) {});
    cancelled_.insert(id);
  }

  void EndTask()
  {
    FakeWorker& worker = RandomWorker();
    if (!worker.running_.empty()) {
      // A task may fail twice without failing its job.
      const bool fails = Draw(8) == 0 && failures_[worker.running_.begin()->first]++ < 2;
      worker.End(worker.running_.begin()->first,
                 fails ? jobs::EndKind::kFailed : jobs::EndKind::kDone);
    }
  }

  std::string StateOf(const std::string& aId) const
  {
    return CellFixture::StateOf(*owners_.back().cell_, aId);
  }

  bool HasEnded(const std::string& aId) const
  {
    const std::string state = StateOf(aId);
    return state == "completed" || (cancelled_.contains(aId) && state == "cancelled");
  }

  /** Ends all faults: every accepted job must then end. */
  void Recover()
  {
    for (const std::string& id : workerIds_) {
      fleet_.At(id).reachable_ = true;
      fleet_.At(id).startFates_.clear();
      fleet_.At(id).stopFates_.clear();
      fleet_.At(id).pollFates_.clear();
    }
    QElapsedTimer timer;
    timer.start();
    bool allEnded = false;
    while (!allEnded && timer.elapsed() < kRecoveryMs) {
      if (!HasOwner()) {
        ChangeOwner();
        continue;
      }
      owners_.back().cell_->CordonWorkers({});
      RunEventLoop(10ms);
      for (const std::string& id : workerIds_) {
        FakeWorker& worker = fleet_.At(id);
        worker.RunLate();
        if (!worker.running_.empty()) {
          worker.End(worker.running_.begin()->first, jobs::EndKind::kDone);
        }
      }
      store_.ApplyDelayed();
      allEnded = std::all_of(
        accepted_.begin(), accepted_.end(), [this](const auto& aId) { return HasEnded(aId); });
    }
    for (const std::string& id : accepted_) {
      if (!HasEnded(id)) {
        violations_.push_back(id + " was accepted and is " + StateOf(id));
      }
    }
  }

  std::mt19937 random_;
  std::vector<std::string> workerIds_;
  std::vector<Owner> owners_;
  int nextOwner_ = 0;
  int nextJob_ = 0;
  std::set<std::string> accepted_;
  std::set<std::string> cancelled_;
  std::set<jobs::TaskId> done_; ///< Tasks whose end as done has been acknowledged.
  std::map<jobs::TaskId, int> failures_;
  std::vector<std::string> violations_;
};

BOOST_FIXTURE_TEST_SUITE(CellProtocol, CellFixture)

BOOST_AUTO_TEST_CASE(Worker_ComesBackUnderItsIdAndCarriesALateOrderOut_TaskRunsOnceAtATime)
{
  FakeWorker& worker = AddWorker("w1");
  const auto cell = TakeOver("a");
  RunFor(100ms);
  worker.startFates_ = { OrderFate::kLate };
  Submit(*cell, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return !worker.late_.empty(); }));
  int mostRuns = 0;
  for (FakeWorker* each : { &worker, &AddWorker("w2") }) {
    each->onStart_ = [&](const auto& aTask) {
      mostRuns = std::max(mostRuns, fleet_.RunsOf(aTask));
    };
  }
  worker.restartTime_ = 0ms;
  worker.Reboot();
  BOOST_TEST(RunUntil([&] { return worker.answeredPolls_ > 0; }));
  RunFor(100ms);
  worker.RunLate();
  BOOST_TEST(RunUntil([&] { return fleet_.RunsOf(first_) > 0; }));
  RunFor(500ms);
  BOOST_TEST(mostRuns == 1);
  BOOST_TEST(fleet_.RunsOf(first_) == 1);
}

BOOST_AUTO_TEST_CASE(Worker_LateOrderAfterAnotherIdHasTakenItsAddress_IsNotCarriedOut)
{
  FakeWorker& worker = AddWorker("w1");
  const auto cell = TakeOver("a");
  RunFor(100ms);
  worker.startFates_ = { OrderFate::kLate };
  Submit(*cell, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return !worker.late_.empty(); }));
  FakeWorker& other = AddWorker("w2");
  worker.RebootAs("w3");
  platformState_.Unregister("w1");
  BOOST_TEST(WaitForRun(other, first_));
  RunFor(worker.restartTime_);
  worker.RunLate();
  BOOST_TEST(worker.late_.empty());
  BOOST_TEST(worker.starts_.empty());
  BOOST_TEST(fleet_.RunsOf(first_) == 1);
}

BOOST_AUTO_TEST_CASE(Tasks_RandomFaultsAndTakeovers_RunOnceAtATimeAndAreNeverLost)
{
  unsigned first = 1;
  unsigned count = 4;
  if (const char* seeds = std::getenv("QUETZAL_PROTOCOL_SEEDS")) {
    std::istringstream(seeds) >> first >> count;
  }
  for (unsigned seed = first; seed < first + count; ++seed) {
    for (const std::string& violation : RandomScenario(seed).Run()) {
      BOOST_ERROR("seed " << seed << ": " << violation);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
