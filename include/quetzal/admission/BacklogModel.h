#pragma once

#include "include/quetzal/jobs/OrganisationLoads.h"

#include <map>
#include <optional>
#include <string>

namespace quetzal::admission {

/** How fast the waiting work of one origin is started. Older measurements count less. */
struct DrainRate
{
  double startedBefore_ = 0;         ///< OriginWork::started_ at the last measurement.
  double work_ = 0;                  ///< Started while work was waiting, in core-seconds.
  double seconds_ = 0;               ///< In which that work was started.
  clock::Milliseconds busyFor_{ 0 }; ///< Since work has been waiting at every measurement.

  auto operator<=>(const DrainRate&) const = default;
};

/** Predicts how long a job waits until its first task starts, for each queue and organisation. It
 * is measured five times a second, with one entry for each origin with waiting work (at the target
 * size up to 42 organisations and a few queues in a cell). */
struct BacklogModel
{
  std::map<jobs::Origin, DrainRate> rates_;
  clock::Moment measuredAt_{};
};

/** Measures what has been started since the last call. Only time in which work was waiting counts:
 * without it, the rate would be that of the arrivals. */
void
MeasureBacklog(BacklogModel& aModel,
               const std::map<jobs::Origin, jobs::OriginWork>& aWork,
               clock::Moment aNow);

/** Returns how long a job that arrives now is expected to wait; nothing while that is not known.
 * @param aPath the job's critical path. Slots may be held for about as long by jobs like it, so a
 * shorter measurement tells nothing. */
std::optional<clock::Milliseconds>
ExpectedWait(const BacklogModel& aModel,
             const jobs::Origin& aOrigin,
             const jobs::OriginWork& aWork,
             clock::Milliseconds aPath);

/** A submission beyond its organisation's rate. */
struct Arrival
{
  jobs::Origin origin_;
  clock::Milliseconds path_{ 0 };      ///< The job's critical path.
  clock::Milliseconds objective_{ 0 }; ///< Time from its arrival to its objective.
};

/** The refusal of a job that would end too late to be of use. */
struct Refusal
{
  clock::Milliseconds expectedWait_{ 0 };
  clock::Milliseconds retryAfter_{ 0 }; ///< Whole seconds; differs between organisations.

  auto operator<=>(const Refusal&) const = default;
};

/** Decides about a submission beyond its organisation's rate. @return nothing if it is admitted. */
std::optional<Refusal>
DecideRefusal(const BacklogModel& aModel, const Arrival& aArrival, const jobs::OriginWork& aWork);

} // namespace quetzal::admission
