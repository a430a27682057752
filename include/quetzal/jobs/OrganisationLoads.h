#pragma once

#include "include/quetzal/jobs/JobTable.h"

#include <map>
#include <string>

namespace quetzal::jobs {

/** The queue and the organisation that a job comes from. */
struct Origin
{
  std::string queue_;
  std::string organisation_;

  auto operator<=>(const Origin&) const = default;
};

/** The work of one origin's jobs, in estimated core-seconds. Jobs that run until cancelled or
 * repeatedly are left out, as they wait for more than room. */
struct OriginWork
{
  double waiting_ = 0;  ///< Of stored jobs that have not started.
  int waitingJobs_ = 0; ///< Number of these jobs.
  double started_ = 0;  ///< Of all jobs that have started since the cell has its owner.

  auto operator<=>(const OriginWork&) const = default;
};

/** What is counted of one job. */
struct JobLoad
{
  Origin origin_;
  workers::Capacity used_;
  double waiting_ = 0;
  bool isWaiting_ = false;

  auto operator<=>(const JobLoad&) const = default;
};

/** What organisations use and wait for in a cell, counted at each change of a job. Jobs without an
 * organisation are not counted. */
struct OrganisationLoads
{
  std::map<std::string, workers::Capacity> used_; ///< By organisation.
  std::map<Origin, OriginWork> work_;
  std::map<std::string, JobLoad> jobs_; ///< By job.
};

/** Counts a job, or counts it anew after a change of its tasks or its state. */
void
CountJob(OrganisationLoads& aLoads, const Job& aJob);

/** Removes a job that has ended or was not accepted. */
void
RemoveJob(OrganisationLoads& aLoads, const std::string& aId);

/** Returns what the placed tasks of an organisation's jobs use, including speculative copies. */
workers::Capacity
UsedBy(const OrganisationLoads& aLoads, const std::string& aOrganisation);

OriginWork
WorkOf(const OrganisationLoads& aLoads, const Origin& aOrigin);

} // namespace quetzal::jobs
