#pragma once

#include "include/quetzal/jobs/Records.h"
#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/workers/LeaseTimes.h"
#include "include/quetzal/workers/WorkerState.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

namespace quetzal::cells {

/** Returns the time since the store may have ended this owner's lease, or 0 if the lease has
 * certainly not ended. Once the lease has ended, the cell may have another owner. */
using LeaseLapseClock = std::function<clock::Milliseconds()>;

/** An owner whose lease may have lapsed continues to renew workers' leases and start tasks for this
 * time. A successor that does not reach a worker waits for this time before it starts the worker's
 * tasks elsewhere. */
inline constexpr clock::Milliseconds kLeaseLapseGrace{ 2'000 };

/** One worker of a cell, as seen by the cell's owner. It sends orders, polls the worker, renews the
 * lease while there are runs, and reports their ends. It owns the worker's port and state. */
class Worker : public QObject
{
  Q_OBJECT

public:
  Worker(const workers::Registration& aRegistration,
         std::unique_ptr<workers::WorkerPort> aPort,
         std::int64_t aFence,
         const workers::LeaseTimes& aTimes,
         LeaseLapseClock aSinceLeaseLapse,
         QObject* aParent);

  /** Counts what organisations use on this worker in their use of the cell. @pre no runs yet. */
  void CountUseIn(organisations::QuotaUse& aUse) { state_.quotaUse_ = &aUse; }

  /** Returns whether a run that was ordered may still be started. */
  using MayRepeat = std::function<bool(const workers::RunKey&)>;
  /** Sets who decides whether an order without an answer is repeated; nothing is repeated before.
   */
  void RepeatOrdersIf(MayRepeat aMayRepeat) { mayRepeat_ = std::move(aMayRepeat); }

  /** Counts restarts, repeated starts and runs that ended in doubt. */
  void CountEventsIn(metrics::Registry& aMetrics) { metrics_ = &aMetrics; }

  /** Sends the first poll. */
  void BeginPolling();

  /** Replaces the registration by a newer one. If it is of a later incarnation than the known one,
   * nothing is started until a poll has been answered. */
  void Update(const workers::Registration& aRegistration);

  /** Replaces the registration by one with another address. What runs there, and whether it is
   * another incarnation, is known once the worker has answered at that address. */
  void Move(const workers::Registration& aRegistration, std::unique_ptr<workers::WorkerPort> aPort);

  /** Sets the fence of all further calls. @param aFence higher than that of every earlier call to
   * this worker, and lower than that of any later owner. */
  void RaiseFence(std::int64_t aFence);
  std::int64_t Fence() const { return fence_; }

  /** Marks the worker's registration as removed: nothing more is started here. */
  void MarkUnregistered() { registered_ = false; }
  bool IsRegistered() const { return registered_; }

  /** Nothing is started on a cordoned worker. */
  void SetCordoned(bool aCordoned) { cordoned_ = aCordoned; }
  bool IsCordoned() const { return cordoned_; }

  /** Sets whether the worker is stored in the roster. Only then may it be sent orders, since a
   * successor polls the workers of the roster. */
  void SetInRoster(bool aInRoster) { inRoster_ = aInRoster; }
  bool IsInRoster() const { return inRoster_; }

  /** Returns whether the worker has answered a poll under this owner's fence with all its ends. */
  bool IsSynchronized() const { return synchronized_; }

  /** Returns whether the worker has answered its last poll. */
  bool IsResponsive() const { return synchronized_ && !unresponsive_; }

  /** Returns whether tasks may be started here now. */
  bool IsSchedulable() const;

  const workers::Registration& Registration() const { return registration_; }
  const workers::WorkerState& State() const { return state_; }

  /** Returns the number of runs on the worker, including those whose ends are not stored yet. While
   * there are any, the worker must not go, since a successor may need those ends from it. */
  int UnfinishedRuns() const;

  /** Makes the worker unschedulable for the given time. */
  void PauseStarts(clock::Milliseconds aTime);

  /** Orders a run, which uses its capacity from now on. An order without an answer is repeated.
   * StartFailed is emitted if the run has not started and never will, in any incarnation. */
  void Start(const workers::StartOrder& aOrder, const workers::Run& aRun);

  /** Adds a run that a predecessor ordered. */
  void Adopt(const jobs::TaskId& aTask, const workers::Run& aRun);

  /** Stops an orphaned run, which this owner neither ordered nor adopted, beside any known run of
   * the task. Its capacity is used until it has ended. */
  void StopOrphan(const jobs::TaskId& aTask, const workers::Run& aRun);

  /** Stops a task's run. Its end is reported like any other. */
  void Stop(const jobs::TaskId& aTask);

  void SetSpeed(const jobs::TaskId& aTask, int aPercent);

  /** Marks the end that has this number in the given incarnation as stored. */
  void MarkRecorded(int aIncarnation, std::int64_t aNumber);

  /** Returns the number of restarts of this worker that were seen. */
  int Incarnation() const { return incarnation_; }

  /** Polls the worker after a short delay, or, if a poll is in flight, shortly after its answer. */
  void PollSoon();

  /** Sends no more polls and ignores the answer to one in flight: runs and ends that have not been
   * read are left to a successor. */
  void StopPolling();

  /** Gives up a worker of a predecessor that has never answered. Call it only once none of its runs
   * can still be alive. */
  void GiveUp();

  /** Reports the runs of an unresponsive worker as lapsed that have ended as it was gone.
   * @param aSeenGoneAt the latest moment at which it was certainly gone. */
  void EndTerminatedRuns(clock::Moment aSeenGoneAt);

  /** Returns the time since the worker's incarnation began, as its registration and its answers
   * tell; nothing if neither does. */
  std::optional<clock::Milliseconds> Age() const;

Q_SIGNALS:
  /** A poll has been answered or has failed. */
  void PollFinished();
  /** A run has ended. @param aNumber the end's number, for the call of MarkRecorded once the end is
   * stored; 0 if no such call is needed. */
  void RunEnded(const quetzal::jobs::TaskId& aTask,
                qint64 aRun,
                quetzal::jobs::EndKind aKind,
                const std::string& aCheckpoint,
                qint64 aNumber);
  /** A start order has been answered or has failed. */
  void StartAnswered(qint64 aRun);
  /** A run that was ordered has not started and never will. */
  void StartFailed(const quetzal::jobs::TaskId& aTask,
                   qint64 aRun,
                   quetzal::workers::OrderStatus aWhy);
  /** The worker has a run that this owner does not know. */
  void UnknownRunFound(const quetzal::workers::RunningTask& aTask);
  /** The worker has seen a higher fence number: the cell has another owner. */
  void Fenced();
  /** The worker has started again under its id, and may still receive calls that were meant for its
   * earlier incarnation. Nothing is started there until RaiseFence has been called and the worker
   * has answered a poll under that fence, after which it rejects them. */
  void Restarted();

private:
  /** What a poll carried, for the time when its answer arrives. */
  struct SentPoll
  {
    std::int64_t fence_ = 0;
    std::int64_t acknowledgedEnd_ = 0;
    clock::Moment sentAt_{};
  };

  void Poll();
  void OnStatus(const workers::WorkerStatus& aStatus, const SentPoll& aPoll);
  void OnPollFailed(const workers::WorkerStatus& aStatus);
  /** What is known of a start order when it is sent, for the time when its answer arrives. */
  struct SentStart
  {
    std::shared_ptr<const workers::StartOrder> order_;
    std::int64_t fence_ = 0;
    int incarnation_ = 0; ///< The one that was known.
    clock::Moment sentAt_{};
  };
  /** Sends the start order of a known run. */
  void SendStart(const std::shared_ptr<const workers::StartOrder>& aOrder);
  void OnStartReply(const SentStart& aSent, const workers::OrderReply& aReply);
  /** Takes an answer by which the order was not carried out. */
  void OnStartRefused(const workers::RunKey& aKey, workers::OrderStatus aWhy);
  /** Sends a start order again that got no answer, if that is allowed now. */
  void RepeatStart(const workers::RunKey& aKey);
  /** Notes from an answer's clock whether another incarnation has answered. */
  void CheckIncarnation(clock::Moment aSentAt, std::int64_t aClockMs);
  void SendStop(const jobs::TaskId& aTask, std::int64_t aRun);
  /** Sends a stop again after a delay, if the run is still known then. */
  void RetryStop(const jobs::TaskId& aTask, std::int64_t aRun);
  /** @param aPolledAt when the poll was sent that showed the new incarnation. */
  void BeginIncarnation(std::int64_t aStartedMs, clock::Moment aPolledAt);
  /** Another id has answered at the worker's address. */
  void EndIncarnation();
  /** Drops all that holds for one incarnation only, but its runs. @param aStartedMs of the next
   * incarnation; 0 if there is none yet. */
  void ForgetIncarnation(std::int64_t aStartedMs);
  /** Sets the worker's clock from an answer under the present fence or an earlier one. */
  void ReadClock(std::int64_t aClockMs, std::int64_t aFence);
  void ReadEnds(const std::vector<workers::EndedTask>& aEnds);
  /** @return the known runs and orphans that are running. */
  std::set<workers::RunKey> ReadRunning(const std::vector<workers::RunningTask>& aRunning);
  void CheckMissingRuns(const std::set<workers::RunKey>& aSeen, const SentPoll& aPoll);
  void RemoveMissingOrphans(const std::set<workers::RunKey>& aSeen, clock::Moment aPolledAt);
  void EndRuns(const std::map<jobs::TaskId, workers::Run>& aRuns, jobs::EndKind aKind);
  void EndLapsedRuns(clock::Moment aNow);
  bool MayHaveRestarted() const { return restartNoticedAt_ != clock::Moment{}; }
  void SchedulePoll(clock::Milliseconds aDelay);
  void OnTimer();
  /** Logs an event that concerns all runs on the worker, with what is known of both. */
  void LogChange(const char* aEvent, const std::string& aDetails = {}) const;
  /** Logs and counts that the worker may have restarted, once before the poll that shows it.
   * @param aBy what shows it. @param aReading the reading that the known incarnation cannot have.
   */
  void NoteRestartSign(const char* aBy, std::int64_t aReading);
  void CountRestartSign(const char* aBy);
  /** Adds to a counter of this worker's service. */
  void Count(const char* aName, std::size_t aAmount = 1, metrics::Labels aLabels = {});

  workers::Registration registration_;
  std::unique_ptr<workers::WorkerPort> port_;
  std::int64_t fence_;
  workers::LeaseTimes times_;
  LeaseLapseClock sinceLeaseLapse_;
  workers::WorkerState state_;
  QTimer timer_;
  bool polling_ = false;
  bool pollRequested_ = false;
  bool pollingStopped_ = false;
  bool synchronized_ = false;
  bool registered_ = true;
  bool cordoned_ = false;
  bool inRoster_ = false;
  bool unresponsive_ = false;
  /** When an answer's clock or the registration showed another incarnation than the last poll did,
   * until a poll that was sent later is answered. */
  clock::Moment restartNoticedAt_{};
  MayRepeat mayRepeat_;
  int incarnation_ = 0;
  /** Highest fence of the calls that were meant for an earlier incarnation. */
  std::int64_t staleFence_ = 0;
  /** The present incarnation has not answered under a higher fence than staleFence_ yet. */
  bool mayObeyStaleCalls_ = false;
  clock::Moment startsPausedUntil_{};
  std::int64_t notedRestartSign_ = 0;    ///< Last reading that was logged as the sign of a restart.
  metrics::Registry* metrics_ = nullptr; ///< Null: nothing is counted.
};

} // namespace quetzal::cells
