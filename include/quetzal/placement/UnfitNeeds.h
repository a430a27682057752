#pragma once

#include "include/quetzal/jobs/Job.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <string>
#include <vector>

namespace quetzal::placement {

/** What one task needs of a worker. */
struct TaskNeed
{
  workers::Capacity capacity_;
  std::string requiredLabel_; ///< Empty: any worker.

  auto operator<=>(const TaskNeed&) const = default;
};

/** Needs that no worker had room for in one placement round. Workers only become fuller during a
 * round, so that a task which needs as much or more has no place either. */
struct UnfitNeeds
{
  std::vector<TaskNeed> needs_;
};

/** Adds the need of a step's tasks. */
void
AddUnfit(UnfitNeeds& aUnfit, const jobs::StepSpec& aStep);

/** Returns whether a step's tasks certainly have no place in the rest of the round. */
bool
IsUnfit(const UnfitNeeds& aUnfit, const jobs::StepSpec& aStep);

} // namespace quetzal::placement
