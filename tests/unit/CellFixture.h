#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/node/CellClaim.h"
#include "tests/unit/FakeWorkers.h"
#include "tests/unit/MemoryStore.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <boost/test/unit_test.hpp>

namespace quetzal::test {

using cells::Answer;
using cells::Cell;
using cells::CellContext;
using cells::LeaseTimes;
using cells::Verdict;

/** A cell "svc" with queue "q", over workers and a store in memory. */
struct CellFixture
{
  CellFixture()
  {
    jobs::Queue queue;
    queue.name_ = "q";
    queue.service_ = "svc";
    queue.maxAttempts_ = 3;
    queue.objectiveMs_ = 1'000;
    feed_.configuration_.version_ = 1;
    feed_.configuration_.queues_ = { queue };
    feed_.configuration_.services_ = { { "svc", false, true } };
  }

  FakeWorker& AddWorker(const std::string& aId)
  {
    FakeWorker& worker = fleet_.Add(aId);
    feed_.Register(aId, "svc");
    return worker;
  }

  /** Takes the cell over as its next owner would. */
  std::unique_ptr<Cell> TakeOver(const std::string& aOwner)
  {
    jobs::OwnerRecord owner;
    owner.owner_ = aOwner;
    owner.incarnation_ = aOwner;
    std::optional<node::ClaimedCell> won;
    node::CellClaim claim(
      store_, "svc", owner, 1, store_.RevisionOf(node::CellKey("svc")), nullptr);
    QObject::connect(
      &claim, &node::CellClaim::Won, &claim, [&won](const auto& aCell) { won = aCell; });
    claim.Start();
    store_.StepAll();
    BOOST_REQUIRE(won.has_value());
    CellContext context;
    context.store_ = &store_;
    context.feed_ = &feed_;
    context.makeWorker_ = fleet_.Factory();
    context.metrics_ = &metrics_;
    context.advice_ = &advice_;
    context.times_ = times_;
    context.tenure_ = [this] { return tenure_; };
    return std::make_unique<Cell>(
      "svc", context, owner, won->fence_, won->predecessorState_, nullptr);
  }

  static jobs::JobSpec Spec(int aTasks, bool aLasting = false)
  {
    jobs::StepSpec step;
    step.count_ = aTasks;
    step.cpu_ = 1'000;
    step.memory_ = 10;
    step.estimateMs_ = 100;
    step.longRunning_ = aLasting;
    step.maxUnavailable_ = aLasting ? 1 : 0;
    jobs::JobSpec spec;
    spec.payload_ = "payload";
    spec.steps_ = { step };
    return spec;
  }

  bool RunUntil(const std::function<bool()>& aCondition, qint64 aBoundMs = 20'000)
  {
    QElapsedTimer timer;
    timer.start();
    while (!aCondition()) {
      if (timer.elapsed() > aBoundMs) {
        return false;
      }
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 5);
      store_.StepAll();
    }
    return true;
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    RunUntil([&] { return timer.elapsed() >= aTime.count(); });
  }

  Verdict Submit(Cell& aCell, const std::string& aId, const jobs::JobSpec& aSpec)
  {
    std::optional<Verdict> verdict;
    aCell.Submit(
      "q", aId, aSpec, [&verdict](const Answer& aAnswer) { verdict = aAnswer.verdict_; });
    BOOST_TEST(RunUntil([&verdict] { return verdict.has_value(); }));
    return verdict.value_or(Verdict::kUndecided);
  }

  static std::string StateOf(const Cell& aCell, const std::string& aId)
  {
    std::string state = "none";
    aCell.Show(aId, [&state](const Answer& aAnswer) {
      state = aAnswer.verdict_ == Verdict::kShown ? jobs::ToString(aAnswer.state_)
                                                  : ToString(aAnswer.verdict_);
    });
    return state;
  }

  bool WaitForRun(FakeWorker& aWorker, const jobs::TaskId& aTask)
  {
    return RunUntil([&] { return aWorker.running_.contains(aTask); });
  }

  MemoryStore store_;
  FakeFeed feed_;
  FakeFleet fleet_;
  FakeAdvice advice_;
  metrics::Registry metrics_;
  clock::Milliseconds tenure_{ 0 };
  LeaseTimes times_{ std::chrono::milliseconds(400), std::chrono::milliseconds(200) };
  const jobs::TaskId first_{ "job1", 0, 0, 0 };
};

} // namespace quetzal::test
