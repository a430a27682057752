#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/clock/Now.h"
#include "include/quetzal/node/CellClaim.h"
#include "tests/unit/FakeWorkers.h"
#include "tests/unit/MemoryStore.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <boost/test/unit_test.hpp>

namespace quetzal::test {

using cells::Answer;
using cells::AnswerStatus;
using cells::Cell;
using cells::CellContext;
using workers::LeaseTimes;

/** A late call is carried out within this time after it was sent. */
inline constexpr std::chrono::milliseconds kMaxCallDelay{ 400 };

/** A cell "svc" with queue "q", on workers and a store in memory. */
struct CellFixture
{
  CellFixture()
  {
    jobs::Queue queue;
    queue.name_ = "q";
    queue.service_ = "svc";
    queue.terms_.maxAttempts_ = 3;
    queue.terms_.objectiveMs_ = 1'000;
    platformState_.configuration_.version_ = 1;
    platformState_.configuration_.queues_ = { queue };
    platformState_.configuration_.services_ = { { "svc", false, true } };
  }

  FakeWorker& AddWorker(const std::string& aId)
  {
    FakeWorker& worker = fleet_.Add(aId);
    platformState_.Register(aId, "svc");
    return worker;
  }

  /** Claims the cell as its next owner. */
  std::unique_ptr<Cell> TakeOver(const std::string& aOwner)
  {
    jobs::OwnerRecord owner;
    owner.owner_ = aOwner;
    owner.incarnation_ = aOwner;
    std::optional<node::ClaimedCell> claimed;
    node::CellClaim claim(
      store_, "svc", owner, 1, store_.RevisionOf(node::CellKey("svc")), nullptr);
    QObject::connect(
      &claim, &node::CellClaim::Won, &claim, [&claimed](const auto& aCell) { claimed = aCell; });
    claim.Start();
    store_.AnswerAll();
    BOOST_REQUIRE(claimed.has_value());
    CellContext context;
    context.store_ = &store_;
    context.platformState_ = &platformState_;
    context.makeWorker_ = fleet_.Factory();
    context.metrics_ = &metrics_;
    context.advice_ = advicePort_;
    context.times_ = times_;
    context.farFactor_ = farFactor_;
    context.sinceLeaseLapse_ = [this] { return sinceLeaseLapse_; };
    return std::make_unique<Cell>(
      "svc", context, owner, claimed->fence_, claimed->predecessorState_, nullptr);
  }

  static jobs::JobSpec Spec(int aTasks, bool aLongRunning = false)
  {
    jobs::StepSpec step;
    step.count_ = aTasks;
    step.cpu_ = 1'000;
    step.memory_ = 10;
    step.estimateMs_ = 100;
    step.longRunning_ = aLongRunning;
    step.maxUnavailable_ = aLongRunning ? 1 : 0;
    jobs::JobSpec spec;
    spec.payload_ = "payload";
    spec.steps_ = { step };
    return spec;
  }

  /** Returns a job of two tasks with one repetition that is due after the given time. */
  static jobs::JobSpec DueIn(std::chrono::milliseconds aTime)
  {
    jobs::JobSpec spec = Spec(2);
    spec.repetitions_ = 1;
    spec.firstMs_ = clock::UnixMs() + aTime.count();
    spec.intervalMs_ = 60'000;
    return spec;
  }

  bool RunUntil(const std::function<bool()>& aCondition, qint64 aTimeoutMs = 20'000)
  {
    QElapsedTimer timer;
    timer.start();
    while (!aCondition()) {
      if (timer.elapsed() > aTimeoutMs) {
        return false;
      }
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 5);
      store_.AnswerAll();
    }
    return true;
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    RunUntil([&] { return timer.elapsed() >= aTime.count(); });
  }

  AnswerStatus Submit(Cell& aCell, const std::string& aId, const jobs::JobSpec& aSpec)
  {
    std::optional<AnswerStatus> status;
    aCell.Submit({ "q", aId, aSpec, {} },
                 [&status](const Answer& aAnswer) { status = aAnswer.status_; });
    BOOST_TEST(RunUntil([&status] { return status.has_value(); }));
    return status.value_or(AnswerStatus::kUnknownOutcome);
  }

  static std::string StateOf(const Cell& aCell, const std::string& aId)
  {
    std::string state = "none";
    aCell.Show(aId, {}, [&state](const Answer& aAnswer) {
      state = aAnswer.status_ == AnswerStatus::kFound ? jobs::ToString(aAnswer.state_)
                                                      : ToString(aAnswer.status_);
    });
    return state;
  }

  /** Lets the first task's run fail each time that it runs. */
  void FailRepeatedly(FakeWorker& aWorker, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      BOOST_TEST(WaitForRun(aWorker, first_));
      aWorker.End(first_, jobs::EndKind::kFailed);
    }
  }

  /** Returns whether this number of workers has answered a cell, with all their ends. */
  static bool IsSynchronized(Cell& aCell, std::size_t aWorkers)
  {
    const auto workers = aCell.Report().workers_;
    return workers.size() == aWorkers &&
           std::all_of(workers.begin(), workers.end(), [](const cells::WorkerReport& aWorker) {
             return aWorker.synchronized_;
           });
  }

  bool WaitForRun(FakeWorker& aWorker, const jobs::TaskId& aTask)
  {
    return RunUntil([&] { return aWorker.running_.contains(aTask); });
  }

  MemoryStore store_;
  FakePlatformState platformState_;
  FakeFleet fleet_;
  FakeAdvice advice_;
  workers::PlacementAdvicePort* advicePort_ = &advice_; ///< Of the cells taken over from now on.
  metrics::Registry metrics_;
  double farFactor_ = 1; ///< Of the cells taken over from now on.
  clock::Milliseconds sinceLeaseLapse_{ 0 };
  LeaseTimes times_{ std::chrono::milliseconds(400),
                     std::chrono::milliseconds(200),
                     std::chrono::milliseconds(10'000),
                     kMaxCallDelay };
  const jobs::TaskId first_{ "job1", 0, 0, 0 };
};

} // namespace quetzal::test
