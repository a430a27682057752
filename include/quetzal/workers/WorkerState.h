#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <map>
#include <optional>
#include <set>

namespace quetzal::workers {

/** The pace of a run whose last order to change it was not confirmed. */
inline constexpr int kUnknownSpeed = -1;

/** How far one run on a worker is known to be. */
enum class RunState : std::uint8_t
{
  kOrdered,     ///< The start is on its way.
  kUnconfirmed, ///< The start got no answer: it may have been carried out, or may be yet.
  kRunning,
  kStopping, ///< Still uses its room until its end is listed.
};

/** One run that a worker has, or may have. */
struct Run
{
  std::int64_t number_ = 0;
  RunState state_ = RunState::kOrdered;
  Capacity need_; ///< Without processors where the step fills.
  bool longRunning_ = false;
  bool bestEffort_ = false;
  std::int64_t latencyTargetMs_ = 0;
  clock::Moment orderedAt_{};
  clock::Moment answeredAt_{}; ///< When the start's answer, or the lack of one, was known.
  clock::Moment
    stopConfirmedAt_{};     ///< When the worker confirmed that the run will not start; or never.
  int progressPercent_ = 0; ///< Per cent, as last seen; a lasting task is at work at 100.
  int speedPercent_ =
    100; ///< The share of its speed at which it was last told to work, in per cent.
  std::int64_t measurement_ =
    0; ///< A serving task's tail in ms; otherwise processor use in millicores.
};

/** A worker's clock as read from its answers. It may be slow by kClockSlowness. */
struct ClockReading
{
  std::int64_t clockMs_ = 0;
  clock::Moment readAt_{};
};

/** How much slower than this process' clock a worker's may run. */
inline constexpr double kMaxClockDrift = 0.02;

/** What the owner of a cell knows of one life of a worker. */
struct WorkerState
{
  std::map<jobs::TaskId, Run> runs_;
  Capacity used_;
  std::optional<ClockReading> clock_;
  std::int64_t leaseEndMs_ = 0;           ///< Latest lease end it was told, on its own clock.
  std::int64_t startedMs_ = 0;            ///< 0: not known yet.
  std::int64_t lastReportedEnd_ = 0;      ///< Ends up to this number have been handed on.
  std::int64_t lastAcknowledgedEnd_ = 0;  ///< Ends up to this number were told to be recorded.
  std::set<std::int64_t> unrecordedEnds_; ///< Ends handed on and not yet recorded.
};

/** Enters a run that is about to be ordered. */
void
AddRun(WorkerState& aBook, const jobs::TaskId& aTask, const Run& aSlot);

/** Takes a run out. @return whether it was there. */
bool
RemoveRun(WorkerState& aBook, const jobs::TaskId& aTask, std::int64_t aRun);

/** Returns the worker's clock now, never ahead of it but for its slowness; 0 if unknown. */
std::int64_t
ClockAt(const WorkerState& aBook, clock::Moment aNow);

/** Tells whether the lease of everything on the worker has surely run out. */
bool
HasLeaseLapsed(const WorkerState& aBook, clock::Moment aNow);

/** Returns the number up to which every end has been recorded. */
std::int64_t
RecordedUpTo(const WorkerState& aBook);

/** Returns what remains of a capacity. Below 0 where more is in use than there is. */
Capacity
FreeCapacity(const WorkerState& aBook, const Capacity& aCapacity);

bool
HasLongRunning(const WorkerState& aBook);

/** Tells whether tasks with a response time to keep run beside tasks that fill. */
bool
HasMixedLoad(const WorkerState& aBook);

} // namespace quetzal::workers
