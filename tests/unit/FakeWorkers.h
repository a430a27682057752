#pragma once

#include "include/quetzal/node/PlatformState.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <deque>
#include <set>

namespace quetzal::test {

/** What becomes of a start order. */
enum class OrderFate : std::uint8_t
{
  kAnswered,
  kLost, ///< Neither carried out nor answered.
  kDoneUnanswered,
  kLate, ///< Not answered; carried out when RunLate() is called.
};

/** One worker in memory. */
class FakeWorker
{
public:
  struct Run
  {
    std::int64_t run_ = 0;
  };

  explicit FakeWorker(std::string aId)
    : id_(std::move(aId))
  {
  }

  workers::OrderReply Start(const workers::StartOrder& aOrder);
  workers::OrderReply Stop(const jobs::TaskId& aTask, std::int64_t aRun, std::int64_t aFence);
  workers::WorkerStatus Poll(const workers::PollOrder& aOrder);

  /** Ends a task's run. */
  void End(const jobs::TaskId& aTask, jobs::EndKind aKind, const std::string& aCheckpoint = {});
  /** Starts a new incarnation without any state. The worker is unreachable while it restarts. */
  void Reboot();
  bool IsReachable() const;
  void RunLate();
  /** Ends every run if the lease has lapsed. */
  void Expire();

  /** Milliseconds since the incarnation started, plus 1, so that the clock is never 0. */
  std::int64_t ClockMs() const;

  std::string id_;
  bool reachable_ = true;
  bool answersPolls_ = true;
  bool endsAtStop_ = true; ///< Otherwise a run that is stopped goes on until the test ends it.
  int unansweredPolls_ = 0;
  std::chrono::milliseconds pollTimeout_{ 60 }; ///< Time after which an unanswered poll fails.
  std::int64_t startedMs_ = 1;
  std::chrono::steady_clock::time_point clockStartedAt_ =
    std::chrono::steady_clock::now() - std::chrono::hours(1);
  std::chrono::steady_clock::time_point downUntil_{};
  std::int64_t fence_ = 0;
  std::int64_t leaseEndMs_ = 0; ///< Of all runs, on the worker's clock; it is never shortened.
  std::map<jobs::TaskId, Run> running_;
  std::vector<workers::EndedTask> ended_;
  std::int64_t nextEnd_ = 1;
  std::int64_t acknowledged_ = 0;
  std::int64_t listed_ = 0; ///< The number of the last end that an answer to a poll has listed.
  std::size_t maxListedEnds_ = 500; ///< The most ends that an answer to a poll lists.
  std::map<jobs::TaskId, std::int64_t> highestEndedRuns_;
  std::vector<std::pair<jobs::TaskId, std::int64_t>> starts_; ///< Every run that has started.
  std::vector<workers::StartOrder> late_;
  std::deque<OrderFate> startFates_;
  /** Called when a run has started, and when an end is acknowledged. */
  std::function<void(const jobs::TaskId&)> onStart_;
  std::function<void(const workers::EndedTask&)> onAcknowledged_;
  bool wantsTicket_ = false;
  int lostSpeedOrders_ = 0;            ///< Number of speed orders that get no answer.
  std::map<jobs::TaskId, int> speeds_; ///< Last speed ordered, in per cent.
  std::map<jobs::TaskId, std::int64_t> measurements_; ///< Reported for each task by Poll().
};

/** Workers in memory, and ports to them whose answers come from the event loop. */
class FakeFleet
{
public:
  FakeWorker& Add(const std::string& aId);
  FakeWorker& At(const std::string& aId) { return *workers_.at(aId); }
  workers::WorkerPortFactory Factory();

  /** Counts the current runs of a task on all workers. */
  int RunsOf(const jobs::TaskId& aTask) const;

private:
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_;
};

/** An advice service that grants tickets for some workers. */
class FakeAdvice : public workers::PlacementAdvicePort
{
public:
  void Request(const std::string& aStep,
               const std::vector<std::string>& aWorkers,
               std::function<void(const workers::PlacementAdvice&)> aDone) override;

  std::set<std::string> permitted_;
  bool answers_ = true;
  std::chrono::milliseconds validity_{ 60'000 };
  std::vector<std::pair<std::string, std::vector<std::string>>> requests_; ///< Step and workers.
};

/** A platform state that the test sets. */
class FakePlatformState : public node::PlatformState
{
public:
  FakePlatformState()
    : PlatformState(nullptr)
  {
  }

  void WatchWorkers(bool /*aWanted*/) override {}
  bool HasConfiguration() const override { return true; }
  const jobs::Configuration& Configuration() const override { return configuration_; }
  clock::Moment ConfigurationCheckedAt() const override { return {}; }
  bool HasWorkers() const override { return true; }
  const node::Registrations& Workers() const override { return registrations_; }
  const node::Waves& Waves() const override { return waves_; }
  std::pair<std::string, std::string> WaveStatus(std::int64_t aWave, bool aCompleted) override
  {
    return { "status/" + std::to_string(aWave), aCompleted ? "completed" : "running" };
  }

  void Register(const std::string& aId, const std::string& aService, std::int64_t aCpu = 32'000);
  void Unregister(const std::string& aId);

  jobs::Configuration configuration_;
  node::Registrations registrations_;
  node::Waves waves_;
};

} // namespace quetzal::test
