#pragma once

#include "include/quetzal/node/PlatformState.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <QtCore/QObject>

#include <deque>
#include <set>

namespace quetzal::test {

/** What becomes of a call to a worker. */
enum class OrderFate : std::uint8_t
{
  kAnswered,
  kLost, ///< Neither carried out nor answered.
  kDoneUnanswered,
  kLate, ///< Not answered; carried out by RunLate(), or after FakeWorker::lateness_.
};

enum class CallKind : std::uint8_t
{
  kStart,
  kStop,
  kPoll,
  kSpeed,
};

/** Time that a call takes to the worker, and its answer back. */
struct Transit
{
  std::chrono::milliseconds there_{ 0 };
  std::chrono::milliseconds back_{ 0 };
};

/** One worker in memory. Its calls are those of a process that keeps its address; a call names only
 * the worker's id, so each incarnation under that id carries it out. */
class FakeWorker
{
public:
  struct Run
  {
    std::int64_t run_ = 0;
  };

  /** A call that will be carried out late. */
  struct LateCall
  {
    int restarts_ = 0; ///< The worker's restarts when the call was sent.
    std::function<void()> carryOut_;
  };

  explicit FakeWorker(std::string aId)
    : id_(std::move(aId))
  {
  }

  workers::OrderReply Start(const workers::StartOrder& aOrder);
  workers::OrderReply Stop(const jobs::TaskId& aTask, std::int64_t aRun, std::int64_t aFence);
  workers::WorkerStatus Poll(const workers::PollOrder& aOrder);
  workers::OrderReply SetSpeed(const jobs::TaskId& aTask,
                               std::int64_t aRun,
                               int aPercent,
                               std::int64_t aFence);

  /** Lets a run of a task begin without an order. */
  void BeginRun(const jobs::TaskId& aTask, std::int64_t aRun);
  /** Ends a task's run; the one that began first if it has several. */
  void End(const jobs::TaskId& aTask, jobs::EndKind aKind, const std::string& aCheckpoint = {});
  /** Starts a new incarnation under the same id, without any state. The worker is unreachable while
   * it restarts. Late calls stay on their way, but for those that have outlived a restart before:
   * nothing that a worker says of itself would tell an owner how many restarts a call can outlive.
   */
  void Reboot();
  /** Starts a new incarnation under another id at the same address. It rejects each call that names
   * the id of before. */
  void RebootAs(const std::string& aId);
  bool IsRestarting() const;
  bool IsReachable() const;
  /** Carries out the late calls, unless the worker is restarting. They may have reached a worker
   * that has been cut off since. */
  void RunLate();
  /** Ends every run if the lease has lapsed, and notes which ends came before that. */
  void Expire();

  /** The clock with which the incarnation began, and the time since, plus 1 ms, so that it is never
   * 0. */
  std::int64_t ClockMs() const;

  /** Returns whether a run of the task with this number is running. */
  bool IsRunning(const jobs::TaskId& aTask, std::int64_t aRun) const;
  /** Returns the number of the task's run that began first, or 0 if none is running. */
  std::int64_t RunOf(const jobs::TaskId& aTask) const;

  std::string id_;
  std::string answersAs_ = id_; ///< Calls that name another id are rejected.
  bool reachable_ = true;
  bool answersPolls_ = true;
  bool endsAtStop_ = true; ///< Otherwise a run that is stopped goes on until the test ends it.
  int unansweredPolls_ = 0;
  std::chrono::milliseconds pollTimeout_{ 60 }; ///< Time after which an unanswered poll fails.
  std::int64_t startedMs_ = 1;
  std::chrono::steady_clock::time_point clockStartedAt_ =
    std::chrono::steady_clock::now() - std::chrono::hours(1);
  std::chrono::milliseconds nextClock_{ 0 }; ///< The clock with which each restart begins.
  std::chrono::steady_clock::time_point downUntil_{};
  std::chrono::milliseconds restartTime_{ 150 }; ///< 0: reachable at once.
  int restarts_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t leaseEndMs_ = 0; ///< Of all runs, on the worker's clock; it is never shortened.
  std::chrono::milliseconds longestLease_{ 10'000 }; ///< A later lease end is brought forward.
  std::multimap<jobs::TaskId, Run> running_;
  int concurrentStarts_ = 0; ///< Runs that began while another run of their task was running here.
  std::vector<workers::EndedTask> ended_;
  std::int64_t nextEnd_ = 1;
  std::int64_t lapsedEnds_ = 0; ///< Ends up to this number came before a lapse of the lease.
  std::int64_t listed_ = 0;     ///< The number of the last end that an answer to a poll has listed.
  std::size_t maxListedEnds_ = 500; ///< The most ends that an answer to a poll lists.
  std::map<jobs::TaskId, std::int64_t> highestEndedRuns_;
  std::vector<std::pair<jobs::TaskId, std::int64_t>> starts_; ///< Every run that has started.
  int sentStarts_ = 0; ///< Start orders that owners have sent, whatever becomes of them.
  std::vector<LateCall> late_;
  std::deque<OrderFate> startFates_;
  std::deque<OrderFate> stopFates_;
  std::deque<OrderFate> pollFates_;
  std::deque<OrderFate> speedFates_;
  /** The time that each call takes; if not set, calls arrive at once. */
  std::function<Transit(CallKind)> transit_;
  /** The time after which a late call is carried out; if not set, RunLate() does so. */
  std::function<std::chrono::milliseconds()> lateness_;
  /** Called when a run has started, when one has ended, and when an end is acknowledged. */
  std::function<void(const jobs::TaskId&)> onStart_;
  std::function<void(const workers::EndedTask&)> onEnded_;
  std::function<void(const workers::EndedTask&)> onAcknowledged_;
  bool wantsTicket_ = false;
  std::map<jobs::TaskId, int> speeds_;                ///< Last speed ordered, in per cent.
  std::map<jobs::TaskId, std::int64_t> measurements_; ///< Reported for each task by Poll().
  int answeredPolls_ = 0;                             ///< By the present incarnation.
  QObject context_; ///< Of the timers of calls on their way, which outlive their port.

private:
  void EndRun(const jobs::TaskId& aTask,
              std::int64_t aRun,
              jobs::EndKind aKind,
              const std::string& aCheckpoint);
};

/** Workers in memory, and ports to them whose answers come from the event loop. */
class FakeFleet
{
public:
  FakeWorker& Add(const std::string& aId);
  FakeWorker& At(const std::string& aId) { return *workers_.at(aId); }
  workers::WorkerPortFactory Factory();

  /** Counts the current runs of a task on all workers, each one on a worker that has several. */
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
  clock::Moment ConfigurationCheckedAt() const override { return checkedAt_; }
  bool IsConfigurationWatchFailing() const override { return false; }
  const node::StoredConfiguration& StoredConfiguration() const override { return stored_; }
  bool OfferConfiguration(const node::StoredConfiguration& aConfiguration) override
  {
    stored_ = aConfiguration;
    return true;
  }
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
  node::StoredConfiguration stored_;
  clock::Moment checkedAt_{};
  node::Registrations registrations_;
  node::Waves waves_;
};

} // namespace quetzal::test
