#pragma once

#include "include/quetzal/jobs/Records.h"
#include "include/quetzal/workers/Book.h"

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
using TenureClock = std::function<clock::Milliseconds()>;

/** An owner whose tenure may be over goes on renewing leases and starting tasks for this long. A
 * successor that does not reach a worker waits it out. */
inline constexpr clock::Milliseconds kTenureGrace{ 2'000 };

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
         TenureClock aTenure,
         QObject* aParent);

  /** Looks at the worker for the first time. */
  void Begin();

  /** Takes over what the worker says of itself now. */
  void Update(const workers::Registration& aRegistration);

  /** The registration has vanished: nothing more is started here. */
  void MarkUnregistered() { registered_ = false; }
  bool IsRegistered() const { return registered_; }

  /** From now on, nothing is started here until it is opened again. */
  void SetClosed(bool aClosed) { closed_ = aClosed; }
  bool IsClosed() const { return closed_; }

  /** A successor would ask this worker: it may be given orders. */
  void MarkInRoster() { inRoster_ = true; }
  bool IsInRoster() const { return inRoster_; }

  /** Tells whether a look under this owner's fence has been answered. */
  bool IsSettled() const { return settled_; }

  /** Tells whether the worker has answered its last look. */
  bool IsHeard() const { return settled_ && !silent_; }

  /** Tells whether tasks may be started here now. */
  bool IsOpen() const;

  const workers::Registration& Registration() const { return registration_; }
  const workers::Book& Book() const { return book_; }

  /** Starts nothing here for a time. */
  void Avoid(clock::Milliseconds aTime);

  /** Orders a run. The slot is entered at once; StartEnded comes where the run will not happen. */
  void Start(const workers::StartOrder& aOrder, const workers::Slot& aSlot);

  /** Enters a run that an earlier owner has ordered. */
  void Adopt(const jobs::TaskId& aTask, const workers::Slot& aSlot);

  /** Orders the end of a run that is in no slot. It is ordered again while looks show the run. */
  void StopStray(const jobs::TaskId& aTask, std::int64_t aRun);

  /** Orders the end of a run; its end is reported as any other. */
  void Stop(const jobs::TaskId& aTask);

  void Pace(const jobs::TaskId& aTask, int aPercent);

  /** The end with this number, of the given life, has been recorded. */
  void MarkRecorded(int aLife, std::int64_t aNumber);

  /** Counts the lives of this worker that were seen. */
  int Life() const { return life_; }

  /** Looks at once, or as soon as the look in hand is answered. */
  void LookSoon();

  /** Forgets a silent worker's runs where nothing can have survived: @p aUntil has passed. */
  void GiveUp();

Q_SIGNALS:
  /** A worker's answer showed which runs there are. */
  void Looked();
  /** A run has ended. @param aNumber to be confirmed with MarkRecorded; 0: nothing to confirm. */
  void Ended(const quetzal::jobs::TaskId& aTask,
             qint64 aRun,
             quetzal::jobs::EndKind aKind,
             const std::string& aCheckpoint,
             qint64 aNumber);
  /** A run that was ordered has not happened and never will. */
  void StartEnded(const quetzal::jobs::TaskId& aTask,
                  qint64 aRun,
                  quetzal::workers::OrderStatus aWhy);
  /** A run is there that this owner did not order. */
  void Found(const quetzal::workers::RunningTask& aTask);
  /** A higher fence number has been seen here: the cell has another owner. */
  void Fenced();

private:
  void Look();
  void OnLook(const workers::Look& aLook, std::int64_t aForgotten, clock::Moment aSentAt);
  void OnSilence(const workers::Look& aLook);
  void OnStart(const jobs::TaskId& aTask, std::int64_t aRun, const workers::OrderReply& aReply);
  void Bar(const jobs::TaskId& aTask, std::int64_t aRun);
  void BeginLife(std::int64_t aBornMs);
  void ReadEnds(const std::vector<workers::EndedTask>& aEnds);
  void ReadRunning(const std::vector<workers::RunningTask>& aRunning, clock::Moment aSentAt);
  void CheckAbsent(const std::set<jobs::TaskId>& aSeen, clock::Moment aSentAt);
  void EndAll(jobs::EndKind aKind);
  void Schedule(clock::Milliseconds aPause);
  void OnTimer();

  workers::Registration registration_;
  std::unique_ptr<workers::WorkerPort> port_;
  std::int64_t fence_;
  LeaseTimes times_;
  TenureClock tenure_;
  workers::Book book_;
  QTimer timer_;
  bool looking_ = false;
  bool lookWanted_ = false;
  bool settled_ = false;
  bool registered_ = true;
  bool closed_ = false;
  bool inRoster_ = false;
  bool silent_ = false;
  bool mayBeReborn_ = false; ///< Its clock has gone back.
  int life_ = 0;
  clock::Moment avoidedUntil_{};
};

} // namespace quetzal::cells
