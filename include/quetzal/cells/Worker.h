#pragma once

#include "include/quetzal/jobs/Records.h"
#include "include/quetzal/workers/WorkerState.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

namespace quetzal::cells {

/** Bounds on leases and orders. */
struct LeaseTimes
{
  clock::Milliseconds lease_{ 5'000 };       ///< Given to everything on a worker at each look.
  clock::Milliseconds startWindow_{ 1'000 }; ///< A start that arrives later does nothing.

  bool operator==(const LeaseTimes&) const = default;
};

/** Returns how long ago the cell may have got another owner at the earliest; 0: not yet. */
using LeaseLapseClock = std::function<clock::Milliseconds()>;

/** An owner whose tenure may be over goes on renewing leases and starting tasks for this long. A
 * successor that does not reach a worker waits it out. */
inline constexpr clock::Milliseconds kLeaseLapseGrace{ 2'000 };

/** One worker of a cell: carries out orders, renews its lease while it runs something, and reports
 * ends. It owns the worker's port and book. */
class Worker : public QObject
{
  Q_OBJECT

public:
  Worker(const workers::Registration& aRegistration,
         std::unique_ptr<workers::WorkerPort> aPort,
         std::int64_t aFence,
         const LeaseTimes& aTimes,
         LeaseLapseClock aTenure,
         QObject* aParent);

  /** Looks at the worker for the first time. */
  void BeginPolling();

  /** Takes over what the worker says of itself now. */
  void Update(const workers::Registration& aRegistration);

  /** The registration has vanished: nothing more is started here. */
  void MarkUnregistered() { registered_ = false; }
  bool IsRegistered() const { return registered_; }

  /** From now on, nothing is started here until it is opened again. */
  void SetCordoned(bool aClosed) { cordoned_ = aClosed; }
  bool IsCordoned() const { return cordoned_; }

  /** A successor would ask this worker: it may be given orders. */
  void MarkInRoster() { inRoster_ = true; }
  bool IsInRoster() const { return inRoster_; }

  /** Tells whether a look under this owner's fence has been answered. */
  bool IsSynchronized() const { return synchronized_; }

  /** Tells whether the worker has answered its last look. */
  bool IsResponsive() const { return synchronized_ && !unresponsive_; }

  /** Tells whether tasks may be started here now. */
  bool IsSchedulable() const;

  const workers::Registration& Registration() const { return registration_; }
  const workers::WorkerState& State() const { return state_; }

  /** Starts nothing here for a time. */
  void PauseStarts(clock::Milliseconds aTime);

  /** Orders a run. The slot is entered at once; StartEnded comes where the run will not happen. */
  void Start(const workers::StartOrder& aOrder, const workers::Run& aSlot);

  /** Enters a run that an earlier owner has ordered. */
  void Adopt(const jobs::TaskId& aTask, const workers::Run& aSlot);

  /** Orders the end of a run that is in no slot. It is ordered again while looks show the run. */
  void StopOrphan(const jobs::TaskId& aTask, std::int64_t aRun);

  /** Orders the end of a run; its end is reported as any other. */
  void Stop(const jobs::TaskId& aTask);

  void SetSpeed(const jobs::TaskId& aTask, int aPercent);

  /** The end with this number, of the given life, has been recorded. */
  void MarkRecorded(int aLife, std::int64_t aNumber);

  /** Counts the lives of this worker that were seen. */
  int Incarnation() const { return incarnation_; }

  /** Looks at once, or as soon as the look in hand is answered. */
  void PollSoon();

  /** Forgets a silent worker's runs where nothing can have survived: @p aUntil has passed. */
  void ExpireRuns();

Q_SIGNALS:
  /** A worker's answer showed which runs there are. */
  void PollFinished();
  /** A run has ended. @param aNumber to be confirmed with MarkRecorded; 0: nothing to confirm. */
  void RunEnded(const quetzal::jobs::TaskId& aTask,
                qint64 aRun,
                quetzal::jobs::EndKind aKind,
                const std::string& aCheckpoint,
                qint64 aNumber);
  /** A run that was ordered has not happened and never will. */
  void StartFailed(const quetzal::jobs::TaskId& aTask,
                   qint64 aRun,
                   quetzal::workers::OrderStatus aWhy);
  /** A run is there that this owner did not order. */
  void UnknownRunFound(const quetzal::workers::RunningTask& aTask);
  /** A higher fence number has been seen here: the cell has another owner. */
  void Fenced();

private:
  void Poll();
  void OnStatus(const workers::WorkerStatus& aLook, std::int64_t aForgotten, clock::Moment aSentAt);
  void OnPollFailed(const workers::WorkerStatus& aLook);
  void OnStartReply(const jobs::TaskId& aTask,
                    std::int64_t aRun,
                    const workers::OrderReply& aReply);
  void SendStop(const jobs::TaskId& aTask, std::int64_t aRun);
  void BeginIncarnation(std::int64_t aBornMs);
  void ReadEnds(const std::vector<workers::EndedTask>& aEnds);
  void ReadRunning(const std::vector<workers::RunningTask>& aRunning, clock::Moment aSentAt);
  void CheckMissingRuns(const std::set<jobs::TaskId>& aSeen, clock::Moment aSentAt);
  void EndAllRuns(jobs::EndKind aKind);
  void SchedulePoll(clock::Milliseconds aPause);
  void OnTimer();

  workers::Registration registration_;
  std::unique_ptr<workers::WorkerPort> port_;
  std::int64_t fence_;
  LeaseTimes times_;
  LeaseLapseClock sinceLeaseLapse_;
  workers::WorkerState state_;
  QTimer timer_;
  bool polling_ = false;
  bool pollRequested_ = false;
  bool synchronized_ = false;
  bool registered_ = true;
  bool cordoned_ = false;
  bool inRoster_ = false;
  bool unresponsive_ = false;
  bool mayHaveRestarted_ = false; ///< Its clock has gone back.
  int incarnation_ = 0;
  clock::Moment startsPausedUntil_{};
};

} // namespace quetzal::cells
