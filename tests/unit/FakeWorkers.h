#pragma once

#include "include/quetzal/node/PlatformState.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <deque>
#include <set>

namespace quetzal::test {

/** What a worker does with an order. */
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
    std::int64_t leaseEndMs_ = 0;
  };

  explicit FakeWorker(std::string aId)
    : id_(std::move(aId))
  {
  }

  workers::OrderReply Start(const workers::StartOrder& aOrder);
  workers::OrderReply Stop(const jobs::TaskId& aTask, std::int64_t aRun, std::int64_t aFence);
  workers::Look Hold(const workers::HoldOrder& aOrder);

  /** Ends a task's run. */
  void End(const jobs::TaskId& aTask, jobs::EndKind aKind, const std::string& aCheckpoint = {});
  /** Starts a new life, with nothing of before. It is not reached for a while, as it restarts. */
  void Reboot();
  bool IsReachable() const;
  void RunLate();
  /** Ends every run whose lease is over. */
  void Expire();

  /** Milliseconds since the life began, and somewhat more. */
  std::int64_t ClockMs() const;

  std::string id_;
  bool reachable_ = true;
  std::int64_t bornMs_ = 1;
  std::chrono::steady_clock::time_point clockBegan_ =
    std::chrono::steady_clock::now() - std::chrono::hours(1);
  std::chrono::steady_clock::time_point downUntil_{};
  std::int64_t fence_ = 0;
  std::map<jobs::TaskId, Run> running_;
  std::vector<workers::EndedTask> ended_;
  std::int64_t nextEnd_ = 1;
  std::int64_t forgotten_ = 0;
  std::map<jobs::TaskId, std::int64_t> barred_;
  std::vector<std::pair<jobs::TaskId, std::int64_t>> starts_; ///< Every run that has begun.
  std::vector<workers::StartOrder> late_;
  std::deque<OrderFate> startFates_;
  std::function<void(const jobs::TaskId&)> onStart_;           ///< A run has begun.
  std::function<void(const workers::EndedTask&)> onForgotten_; ///< An end was said to be recorded.
  bool wantsTicket_ = false;
  int lostPaces_ = 0;                            ///< Orders to change the pace that get no answer.
  std::map<jobs::TaskId, int> paces_;            ///< As last ordered, in per cent.
  std::map<jobs::TaskId, std::int64_t> figures_; ///< What looks say of a task.
};

/** Ports to workers by id. Answers come from the event loop. */
class FakeFleet
{
public:
  FakeWorker& Add(const std::string& aId);
  FakeWorker& At(const std::string& aId) { return *workers_.at(aId); }
  workers::WorkerPortFactory Factory();

  /** Counts the runs of a task that are going on, on all workers. */
  int RunsOf(const jobs::TaskId& aTask) const;

private:
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_;
};

/** A service that gives tickets for some workers. */
class FakeAdvice : public workers::AdvicePort
{
public:
  void Ask(const std::string& aStep,
           const std::vector<std::string>& aWorkers,
           std::function<void(const workers::Advice&)> aDone) override;

  std::set<std::string> good_;
  bool answers_ = true;
  std::chrono::milliseconds validity_{ 60'000 };
  std::vector<std::pair<std::string, std::vector<std::string>>> questions_; ///< Step and workers.
};

/** A feed that the test writes. */
class FakeFeed : public node::PlatformState
{
public:
  FakeFeed()
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
