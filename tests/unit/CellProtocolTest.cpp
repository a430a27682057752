/** A property test of how cells are owned and tasks run: owners come and go, paused ones wake up,
 * orders and changes are lost or come late, workers fall silent, restart and let leases lapse.
 * Seeds are fixed here; QUETZAL_PROTOCOL_SEEDS="FIRST COUNT" plays others. */

#include "tests/unit/CellFixture.h"

#include <cstdlib>
#include <random>
#include <sstream>

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

constexpr int kSteps = 60;
constexpr int kWorkers = 4;
constexpr int kMostJobs = 12;
constexpr qint64 kCalmMs = 25'000;

/** One owner, which may go on after another has taken over, as a paused process does. */
struct Owner
{
  std::unique_ptr<Cell> cell_;
  std::shared_ptr<std::optional<clock::Moment>> endedAt_; ///< When another owner may have begun.
};

class Play : public CellFixture
{
public:
  explicit Play(unsigned aSeed)
    : random_(aSeed)
  {
    for (int i = 0; i < kWorkers; ++i) {
      const std::string id = "w" + std::to_string(i);
      FakeWorker& worker = AddWorker(id);
      worker.onStart_ = [this](const jobs::TaskId& aTask) { OnStart(aTask); };
      worker.onForgotten_ = [this](const workers::EndedTask& aEnd) {
        if (aEnd.kind_ == jobs::EndKind::kDone) {
          done_.insert(aEnd.task_);
        }
      };
      workerIds_.push_back(id);
    }
    ChangeOwner();
  }

  /** @return what went wrong; empty where nothing did. */
  std::vector<std::string> Run()
  {
    for (int i = 0; i < kSteps; ++i) {
      Step();
      Pass(std::chrono::milliseconds(Draw(60)));
    }
    Calm();
    return broken_;
  }

private:
  int Draw(int aBelow) { return std::uniform_int_distribution<int>(0, aBelow - 1)(random_); }

  FakeWorker& AnyWorker()
  {
    return fleet_.At(workerIds_[static_cast<std::size_t>(Draw(kWorkers))]);
  }

  void OnStart(const jobs::TaskId& aTask)
  {
    if (fleet_.RunsOf(aTask) > 1) {
      broken_.push_back("two runs at once of " + jobs::ToString(aTask));
    }
    if (done_.contains(aTask)) {
      broken_.push_back("a run after the recorded end of " + jobs::ToString(aTask));
    }
  }

  void Pass(std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    do {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 2);
      store_.StepAll();
      for (const std::string& id : workerIds_) {
        fleet_.At(id).Expire();
      }
    } while (timer.elapsed() < aTime.count());
  }

  /** Another owner takes the cell over. The last one may go on for a while. */
  void ChangeOwner()
  {
    if (!owners_.empty()) {
      *owners_.back().endedAt_ = std::chrono::steady_clock::now();
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
    std::optional<node::ClaimedCell> won;
    node::CellClaim claim(
      store_, "svc", record, 1, store_.RevisionOf(node::CellKey("svc")), nullptr);
    QObject::connect(
      &claim, &node::CellClaim::Won, &claim, [&won](const auto& aCell) { won = aCell; });
    claim.Start();
    store_.StepAll();
    if (!won) {
      return; // The claim's own change was lost or refused: tried again at a later step.
    }
    Owner owner;
    owner.endedAt_ = std::make_shared<std::optional<clock::Moment>>();
    CellContext context;
    context.store_ = &store_;
    context.feed_ = &feed_;
    context.makeWorker_ = fleet_.Factory();
    context.metrics_ = &metrics_;
    context.times_ = times_;
    context.tenure_ = [ended = owner.endedAt_] {
      return *ended ? std::chrono::duration_cast<clock::Milliseconds>(
                        std::chrono::steady_clock::now() - **ended) +
                        1ms
                    : 0ms;
    };
    owner.cell_ =
      std::make_unique<Cell>("svc", context, record, won->fence_, won->predecessorState_, nullptr);
    owners_.push_back(std::move(owner));
  }

  bool HasOwner() const { return !owners_.empty() && !*owners_.back().endedAt_; }

  void Step()
  {
    switch (Draw(12)) {
      case 0:
      case 1:
      case 2:
        SubmitOne();
        break;
      case 3:
      case 4:
      case 5:
        EndOne();
        break;
      case 6: {
        FakeWorker& worker = AnyWorker();
        worker.reachable_ = !worker.reachable_;
        break;
      }
      case 7:
        AnyWorker().Reboot();
        break;
      case 8:
        ChangeOwner();
        break;
      case 9:
        store_.Expect(static_cast<Fate>(Draw(4)));
        store_.Expect(static_cast<Fate>(Draw(4)));
        break;
      case 10:
        AnyWorker().startFates_.push_back(static_cast<OrderFate>(Draw(4)));
        break;
      default:
        AnyWorker().RunLate();
        store_.RunLate();
        if (Draw(3) == 0) {
          CancelOne();
        }
        break;
    }
  }

  void SubmitOne()
  {
    if (!HasOwner() || nextJob_ >= kMostJobs) {
      return;
    }
    const std::string id = "job" + std::to_string(nextJob_++);
    owners_.back().cell_->Submit("q", id, Spec(1 + Draw(3)), [this, id](const Answer& aAnswer) {
      if (aAnswer.verdict_ == Verdict::kAccepted) {
        accepted_.insert(id);
      }
    });
  }

  void CancelOne()
  {
    if (!HasOwner() || accepted_.empty()) {
      return;
    }
    const std::string id = *accepted_.begin();
    owners_.back().cell_->Cancel(id, [](const Answer& /*aAnswer*/) {});
    cancelled_.insert(id);
  }

  void EndOne()
  {
    FakeWorker& worker = AnyWorker();
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

  bool IsSettled(const std::string& aId) const
  {
    const std::string state = StateOf(aId);
    return state == "completed" || (cancelled_.contains(aId) && state == "cancelled");
  }

  /** All is well again: every accepted job must end, and nothing may go on. */
  void Calm()
  {
    for (const std::string& id : workerIds_) {
      fleet_.At(id).reachable_ = true;
      fleet_.At(id).startFates_.clear();
    }
    QElapsedTimer timer;
    timer.start();
    bool settled = false;
    while (!settled && timer.elapsed() < kCalmMs) {
      if (!HasOwner()) {
        ChangeOwner();
        continue;
      }
      Pass(10ms);
      for (const std::string& id : workerIds_) {
        FakeWorker& worker = fleet_.At(id);
        worker.RunLate();
        if (!worker.running_.empty()) {
          worker.End(worker.running_.begin()->first, jobs::EndKind::kDone);
        }
      }
      store_.RunLate();
      settled = std::all_of(
        accepted_.begin(), accepted_.end(), [this](const auto& aId) { return IsSettled(aId); });
    }
    for (const std::string& id : accepted_) {
      if (!IsSettled(id)) {
        broken_.push_back(id + " was accepted and is " + StateOf(id));
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
  std::set<jobs::TaskId> done_; ///< With an end as done that was said to be recorded.
  std::map<jobs::TaskId, int> failures_;
  std::vector<std::string> broken_;
};

BOOST_AUTO_TEST_SUITE(CellProtocol)

BOOST_AUTO_TEST_CASE(Tasks_UnderRandomFaultsAndTakeovers_RunOnceAtATimeAndAreNeverLost)
{
  unsigned first = 1;
  unsigned count = 4;
  if (const char* seeds = std::getenv("QUETZAL_PROTOCOL_SEEDS")) {
    std::istringstream(seeds) >> first >> count;
  }
  for (unsigned seed = first; seed < first + count; ++seed) {
    for (const std::string& what : Play(seed).Run()) {
      BOOST_ERROR("seed " << seed << ": " << what);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
