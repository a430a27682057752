#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/jobs/Job.h"
#include "include/quetzal/placement/Placement.h"
#include "include/quetzal/workers/Capacity.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/** Data locality: how long a task waits for a slot on the rack that holds its data. It is designed
 * for racks of some 12 workers and some hundred runs. */
namespace quetzal::placement {

/** The longest time that a task waits for a slot near its data, over all its placements. It leaves
 * time to start the task within a second. */
inline constexpr clock::Milliseconds kMaxNearWait{ 900 };

/** A task for which there is room away from its data, but not near it. */
struct NearWait
{
  double farFactor_ = 1; ///< Duration away from the data, as a multiple of that near it.
  clock::Milliseconds expected_{ 0 };     ///< Expected duration near the data.
  std::optional<clock::Moment> slotAt_;   ///< When a near slot is expected; nothing: unknown.
  std::optional<clock::Moment> since_;    ///< When the task first waited; nothing: not yet.
  std::optional<clock::Moment> endLimit_; ///< Latest end by which its job meets its objective.
  double demand_ = 0; ///< Capacity that tasks want of the rack, as a multiple of what it has.
  double slots_ = 1;  ///< Tasks of this size that the rack can hold.
  bool longRunning_ = false;
};

/** Returns until when the task waits at the latest; nothing if it starts away from its data now. A
 * wait pays off if the near run is expected to end before the far run would, and if it does not
 * cost the tasks behind it more: on a rack with more demand than capacity, each slot would soon be
 * taken by another task without a wait. The total wait is limited to the time that a near run
 * saves, so that wrong expectations cost at most as much as a far run does. */
std::optional<clock::Moment>
NearWaitEnd(const NearWait& aWait, clock::Moment aNow);

/** The fraction of the saved time that a task may wait so that all tasks together wait least. It is
 * the socially optimal length of a queue with a limit (Naor 1969), as a fraction of the length up
 * to which a single task would join it. @param aQueueLimit that length. */
double
WaitFraction(double aDemand, double aQueueLimit);

/** The processor time wanted near a rack, as a sum that decays over time. */
struct RackDemand
{
  double millicoreMs_ = 0;
  clock::Moment at_{};
};

/** Counts a task that has been started and prefers the rack, wherever it runs. */
void
AddDemand(RackDemand& aDemand,
          const jobs::StepSpec& aStep,
          clock::Milliseconds aExpected,
          clock::Moment aNow);

/** Returns the mean number of thousandths of a core that are wanted near the rack. */
double
WantedMillicores(const RackDemand& aDemand, clock::Moment aNow);

/** Returns whether a worker with these labels is near the data of a step that names a rack. */
bool
IsNearData(const jobs::StepSpec& aStep, const std::vector<std::string>& aLabels);

/** A change of a worker's free capacity at a time. */
struct CapacityChange
{
  clock::Moment at_{};
  workers::Capacity amount_; ///< Negative for a reservation.
};

/** The expected free capacity of one worker. */
struct WorkerForecast
{
  std::size_t candidate_ = 0; ///< Its index among the candidates.
  const std::vector<std::string>* labels_ = nullptr;
  workers::Capacity free_; ///< Now; without reservations.
  std::vector<CapacityChange> changes_;
};

/** The expected free capacity of the schedulable workers of a rack. */
struct RackForecast
{
  std::vector<WorkerForecast> workers_;
  workers::Capacity capacity_; ///< Of all workers, in use or not.
  int reservations_ = 0;       ///< Tasks for which a slot is reserved.
};

/** A slot for one task, expected to be free from a time on. */
struct ExpectedSlot
{
  std::size_t worker_ = 0; ///< Index in the rack's forecast.
  clock::Moment at_{};
};

/** Returns how many tasks of a step a rack can hold if it runs nothing else; at least 1. */
double
SlotsOf(const RackForecast& aRack, const jobs::StepSpec& aStep);

/** Adds a worker to a forecast. @param aCapacity its whole capacity. */
void
AddWorker(RackForecast& aRack, WorkerForecast aWorker, const workers::Capacity& aCapacity);

/** Adds a change of capacity, in the order of time. */
void
AddChange(WorkerForecast& aWorker, const CapacityChange& aChange);

/** Returns whether a rack has room for a task of a step now. */
bool
HasRoom(const RackForecast& aRack, const jobs::StepSpec& aStep, const StepUse& aUse);

/** Returns the first slot for a task of a step; nothing if none is expected. A worker at the step's
 * limit of tasks for each worker is expected to stay there. */
std::optional<ExpectedSlot>
FindSlot(const RackForecast& aRack,
         const jobs::StepSpec& aStep,
         const StepUse& aUse,
         clock::Moment aNow);

/** Reserves a slot for a task, which uses it for its expected duration. */
void
ReserveSlot(RackForecast& aRack,
            const ExpectedSlot& aSlot,
            const jobs::StepSpec& aStep,
            clock::Milliseconds aExpected);

/** Reserves slots for all tasks of a gang. @return when the last of them is expected to be free;
 * nothing, with some slots reserved, if the rack cannot hold the gang within kMaxNearWait. */
std::optional<clock::Moment>
ReserveGang(RackForecast& aRack,
            const jobs::StepSpec& aStep,
            const StepUse& aUse,
            clock::Moment aNow,
            clock::Milliseconds aExpected);

} // namespace quetzal::placement
