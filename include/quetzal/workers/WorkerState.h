#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/organisations/QuotaUse.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace quetzal::workers {

/** Speed of a run whose last speed order was not confirmed. */
inline constexpr int kUnknownSpeed = -1;

/** What the owner knows of the progress of one run. */
enum class RunState : std::uint8_t
{
  kOrdered,     ///< The start order has been sent and not answered.
  kUnconfirmed, ///< The start order timed out; the run may have started, or may still start. It is
                ///< repeated to the same worker under the same number, which starts it only once.
  kRunning,
  kStopping, ///< Uses its capacity until the worker reports its end.
};

/** A run of a task that is on a worker, or may be. */
struct Run
{
  std::int64_t number_ = 0;
  RunState state_ = RunState::kOrdered;
  Capacity need_; ///< Capacity that the run uses; no processor time if the step is best-effort.
  bool longRunning_ = false;
  bool bestEffort_ = false;
  std::int64_t latencyTargetMs_ = 0;
  clock::Moment orderedAt_{};
  clock::Moment inFlightSince_{};   ///< When the start order was sent that is not answered yet.
  clock::Moment unansweredAt_{};    ///< When the last sending of the start order was given up.
  clock::Moment answeredAt_{};      ///< When the start order was answered or timed out.
  clock::Moment repeatAfter_{};     ///< The start order is not repeated earlier.
  int repeats_ = 0;                 ///< How often the start order was repeated.
  clock::Moment stopConfirmedAt_{}; ///< When a stop was confirmed; the run cannot start later.
  int progressPercent_ = 0;         ///< As last reported; see RunningTask.
  int speedPercent_ = 100;          ///< Last speed limit sent, in per cent of full speed.
  std::int64_t fence_ = 0;          ///< Fence of the start order.
  bool confirmed_ = false; ///< The present incarnation is known to have carried the order out.
  /** Tail latency in ms of a latency-sensitive task; processor use in millicores of any other. */
  std::int64_t measurement_ = 0;
  std::shared_ptr<const StartOrder> order_; ///< While it may have to be repeated; else null.
  std::string organisation_;                ///< Whose quota the run counts for; empty: nobody's.
  Capacity quotaUse_;                       ///< What it counts for.
};

/** Names one run. The tasks of a gang have the same run number. */
struct RunKey
{
  jobs::TaskId task_;
  std::int64_t number_ = 0;

  auto operator<=>(const RunKey&) const = default;
};

/** How many runs of each special kind a worker has. */
struct RunCounts
{
  int longRunning_ = 0;
  int latencySensitive_ = 0;
  int bestEffort_ = 0;

  bool operator==(const RunCounts&) const = default;
};

/** A worker's clock as last reported, and when this process received it. */
struct ClockReading
{
  std::int64_t clockMs_ = 0;
  clock::Moment readAt_{};
};

/** Largest fraction by which a worker's clock may run slower than this process's clock. */
inline constexpr double kMaxClockDrift = 0.02;

/** What the owner of a cell knows of one incarnation of a worker. */
struct WorkerState
{
  std::map<jobs::TaskId, Run> runs_;
  /** Runs that the owner neither ordered nor adopted, and stops. A task may have several of them
   * beside its run in runs_. */
  std::map<RunKey, Run> orphans_;
  /** When a start order without an answer was last sent, of runs that have ended without being
   * done.
   */
  std::map<RunKey, clock::Moment> openOrders_;
  Capacity used_; ///< By all runs, including orphans.
  RunCounts counts_;
  organisations::QuotaUse* quotaUse_ = nullptr; ///< Of the worker's cell; null: not counted.
  std::optional<ClockReading> clock_;
  /** Latest end that the lease may have, on the worker's clock: as sent by this owner, or by an
   * earlier one before the incarnation's first answer. */
  std::int64_t leaseEndMs_ = 0;
  clock::Moment leaseSentAt_{};      ///< When a call with a lease end was last sent.
  std::int64_t startedMs_ = 0;       ///< Unix time of the incarnation's start; 0: not known yet.
  std::int64_t lastReportedEnd_ = 0; ///< Ends up to this number have been reported to the cell.
  std::int64_t lastAcknowledgedEnd_ = 0;  ///< Ends up to this number have been acknowledged.
  std::set<std::int64_t> unrecordedEnds_; ///< Ends reported to the cell and not yet stored.
};

/** Adds a run and the capacity that it uses; replaces an earlier run of the task. */
void
AddRun(WorkerState& aState, const jobs::TaskId& aTask, const Run& aRunToAdd);

/** Adds an orphan and the capacity that it uses. @return whether it was not known yet. */
bool
AddOrphan(WorkerState& aState, const jobs::TaskId& aTask, const Run& aOrphan);

/** Returns a task's run or orphan that has this number, or null. */
Run*
FindRun(WorkerState& aState, const RunKey& aKey);

/** Returns whether there are any runs, including orphans. */
bool
HasRuns(const WorkerState& aState);

/** Removes a run or an orphan, and the capacity that it uses. @return whether the worker had it. */
bool
RemoveRun(WorkerState& aState, const jobs::TaskId& aTask, std::int64_t aRun);

/** Removes all runs and orphans, and returns the runs. */
std::map<jobs::TaskId, Run>
TakeRuns(WorkerState& aState);

/** Returns whether a run has not started, and can no longer start, in an incarnation of a worker
 * that does not list it.
 * @param aFence a fence that the worker had seen when it listed its runs. */
bool
IsRejectedBy(const Run& aRun, std::int64_t aFence);

/** Returns whether a stop of the run was confirmed before a moment. If the worker does not list the
 * run after it, the run has ended or never started, and cannot start. */
bool
IsStopConfirmed(const Run& aRun, clock::Moment aBefore);

/** Returns an estimate of the worker's clock now; 0 if unknown. The estimate is ahead of the clock
 * by at most the clock's drift. */
std::int64_t
ClockAt(const WorkerState& aState, clock::Moment aNow);

/** Sets the worker's clock from the first answer of an incarnation. An earlier owner may have
 * renewed its lease just before. @param aLongestLease the longest lease that any owner grants. */
void
BeginClock(WorkerState& aState, const ClockReading& aReading, clock::Milliseconds aLongestLease);

/** Returns whether the lease of all runs on the worker has certainly lapsed, even on a clock that
 * is slow by kMaxClockDrift. */
bool
HasLeaseLapsed(const WorkerState& aState, clock::Moment aNow);

/** Returns the number up to which every end has been stored. */
std::int64_t
RecordedUpTo(const WorkerState& aState);

/** Returns the unused part of a capacity; negative where more is in use than there is. */
Capacity
FreeCapacity(const WorkerState& aState, const Capacity& aCapacity);

bool
HasLongRunning(const WorkerState& aState);

/** Returns whether the worker runs both latency-sensitive and best-effort tasks. */
bool
HasMixedLoad(const WorkerState& aState);

} // namespace quetzal::workers
