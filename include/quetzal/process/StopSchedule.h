#pragma once

#include "include/quetzal/clock/Time.h"

#include <optional>

namespace quetzal::process {

/** The times of a planned stop, all counted from the stop signal. */
struct StopSchedule
{
  /** The process serves at least this long, because new requests arrive until its readiness check
   * has been seen to fail. */
  clock::Milliseconds minServingTime_{ 0 };
  /** By then every caller has an answer. */
  clock::Milliseconds lastAnswer_{ 0 };
  /** By then the process has exited, whether or not its answers have been received. */
  clock::Milliseconds exit_{ 0 };

  auto operator<=>(const StopSchedule&) const = default;
};

/** Returns the schedule for a process that is killed @p aStopTime after the stop signal. The
 * minimum serving time is cut if the stop time is too short for it. */
StopSchedule
MakeStopSchedule(clock::Milliseconds aStopTime, clock::Milliseconds aMinServingTime);

/** Returns how long a request that arrives during the stop may take. @param aElapsed since the stop
 * signal; @param aTimeout how long its caller waits. @return nothing if the process ends too soon
 * for an answer, and the request must be refused. */
std::optional<clock::Milliseconds>
TimeoutDuringStop(const StopSchedule& aSchedule,
                  clock::Milliseconds aElapsed,
                  clock::Milliseconds aTimeout);

/** Returns whether the process ends listening: it is idle after its minimum serving time, or every
 * caller must have its answer now. @param aIsIdle as for MayExit(). */
bool
MayEndListening(const StopSchedule& aSchedule, clock::Milliseconds aElapsed, bool aIsIdle);

/** Returns whether the process may exit. @param aIsIdle no caller waits for an answer or still
 * receives one. */
bool
MayExit(const StopSchedule& aSchedule, clock::Milliseconds aElapsed, bool aIsIdle);

} // namespace quetzal::process
