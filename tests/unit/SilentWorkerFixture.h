#pragma once

#include "tests/unit/CellFixture.h"
#include "tests/unit/RunMonitor.h"

#include <QtCore/QTimer>

namespace quetzal::test {

inline constexpr std::chrono::milliseconds kLongestLease{ 1'500 };
/** Time within which a task starts elsewhere whose order may have been carried out: the longest
 * delay of a call, the longest lease on a slow clock, two polls of a silent worker, and room for a
 * busy machine. */
inline constexpr std::chrono::milliseconds kDoubtBound{ 400 + 1'530 + 500 + 600 };
/** An owner whose lease has lapsed goes on for this time. */
inline constexpr std::chrono::milliseconds kGrace{ 2'000 };

/** One worker that may be cut off, and another that is added once the first one has an order. */
struct SilentWorkerFixture : CellFixture
{
  SilentWorkerFixture()
  {
    SetLongestLease(kLongestLease);
    worker_.restartTime_ = std::chrono::milliseconds(0);
    monitor_.Watch(worker_, [this](const jobs::TaskId& /*aTask*/) {
      if (cutsOffAtStart_) {
        worker_.reachable_ = false;
      }
    });
    QObject::connect(&leaseTimer_, &QTimer::timeout, &leaseTimer_, [this] { ExpireLeases(); });
    leaseTimer_.start(5);
  }

  void SetLongestLease(std::chrono::milliseconds aTime)
  {
    times_.longest_ = aTime;
    worker_.longestLease_ = aTime;
  }

  void ExpireLeases()
  {
    worker_.Expire();
    if (other_ != nullptr) {
      other_->Expire();
    }
  }

  /** Begins an owner's time, and lets it poll the worker. */
  void Own()
  {
    cell_ = TakeOver("a");
    RunFor(std::chrono::milliseconds(100));
  }

  /** Adds a worker on which the task can start elsewhere. */
  void AddOther()
  {
    other_ = &AddWorker("w2");
    other_->longestLease_ = times_.longest_;
    monitor_.Watch(*other_);
  }

  /** Starts the worker again, unseen by its owner, and sends it a start order. */
  void RestartAndOrder(std::chrono::milliseconds aNextClock, std::deque<OrderFate> aFates)
  {
    worker_.nextClock_ = aNextClock;
    worker_.startFates_ = std::move(aFates);
    worker_.Reboot();
    Order();
  }

  /** Submits a job, waits until its start order has been sent, and adds another worker. */
  void Order()
  {
    Submit(*cell_, "job1", Spec(1));
    BOOST_REQUIRE(RunUntil([this] { return worker_.sentStarts_ > 0; }));
    AddOther();
  }

  /** Returns the worker's present clock. */
  [[nodiscard]] std::chrono::milliseconds Clock() const
  {
    return std::chrono::milliseconds(worker_.ClockMs());
  }

  /** Lets the successor begin; the calls that its predecessor has sent stay on their way. */
  void Succeed()
  {
    cell_.reset();
    cell_ = TakeOver("b");
  }

  bool WaitForOther(std::chrono::milliseconds aBound)
  {
    return RunUntil([this] { return other_->RunOf(first_) != 0; }, aBound.count());
  }

  void CheckStartsElsewhere(std::chrono::milliseconds aBound)
  {
    BOOST_TEST(WaitForOther(aBound));
    CheckEnds(*other_);
  }

  /** Ends the task's run on a worker as done: its job must then be complete, with no further run.
   */
  void CheckEnds(FakeWorker& aWorker)
  {
    RunFor(std::chrono::milliseconds(200));
    aWorker.End(first_, jobs::EndKind::kDone);
    CheckCompletes();
  }

  void CheckCompletes()
  {
    BOOST_TEST(RunUntil([this] { return StateOf(*cell_, "job1") == "completed"; }, 8'000));
    RunFor(std::chrono::milliseconds(600));
    CheckRuns();
  }

  void CheckRuns()
  {
    for (const std::string& violation : monitor_.Violations()) {
      BOOST_ERROR(violation);
    }
    BOOST_TEST(worker_.concurrentStarts_ == 0);
  }

  int StartsOf(const FakeWorker& aWorker) const { return static_cast<int>(aWorker.starts_.size()); }

  RunMonitor monitor_{ fleet_ };
  bool cutsOffAtStart_ = false; ///< The worker is cut off as soon as it has begun a run.
  FakeWorker& worker_ = AddWorker("w1");
  FakeWorker* other_ = nullptr;
  QTimer leaseTimer_;
  std::unique_ptr<Cell> cell_;
};

/** The owner knows a worker that starts again unseen, and is cut off once it has an order. */
struct UnseenRestartFixture : SilentWorkerFixture
{
  UnseenRestartFixture()
  {
    Own();
    cutsOffAtStart_ = true;
  }
};

} // namespace quetzal::test
