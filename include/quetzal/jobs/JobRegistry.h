#pragma once

#include "include/quetzal/jobs/JobTable.h"
#include "include/quetzal/jobs/OrganisationLoads.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal::jobs {

/** What is kept of a job that has ended. */
struct EndedJob
{
  JobState state_ = JobState::kCompleted;
  std::int64_t endedMs_ = 0;   ///< Unix milliseconds.
  std::string organisation_{}; ///< Of the job; empty: none.

  bool operator==(const EndedJob&) const = default;
};

/** The jobs of one cell. A placement round looks only at the jobs that it may change: those with
 * waiting tasks, and those whose tasks may get speculative copies. */
class JobRegistry
{
public:
  using ById = std::map<std::string, Job>;

  /** Adds a job that has not ended. */
  Job& Add(Job aJob);

  /** Adds a job that has ended. */
  void AddEnded(const std::string& aId, const EndedJob& aEnd);

  /** Returns a job that has not ended; null if there is none. */
  Job* Find(const std::string& aId);
  const Job* Find(const std::string& aId) const;

  /** Returns the end of a job; null if it has not ended or is not known. */
  const EndedJob* FindEnded(const std::string& aId) const;

  /** Updates the indices after a change of the job's tasks or of its own state. */
  void Update(Job& aJob);

  /** Removes a job that was not accepted. */
  void Remove(const std::string& aId);

  /** Replaces a job by its end. @param aId may refer to the job's own id. */
  void End(const std::string& aId, const EndedJob& aEnd);

  /** Removes and returns ended jobs, the oldest first. @param aBeforeMs only those that ended
   * earlier; @param aMost no more than this many. */
  std::vector<std::string> TakeExpired(std::int64_t aBeforeMs, std::size_t aMost);

  /** Returns the jobs that have not ended. */
  ById& Live() { return live_; }
  const ById& Live() const { return live_; }

  /** Returns the jobs with waiting tasks that may be placed. */
  const std::map<std::string, Job*>& Waiting() const { return waiting_; }

  /** Returns the jobs with a step that allows speculative copies. */
  const std::map<std::string, Job*>& Speculative() const { return speculative_; }

  /** Returns what organisations use and wait for, as of the last update of each job. */
  const OrganisationLoads& Loads() const { return loads_; }

private:
  ById live_;
  OrganisationLoads loads_;
  std::map<std::string, Job*> waiting_;
  std::map<std::string, Job*> speculative_;
  std::map<std::string, EndedJob> ended_;
  std::set<std::pair<std::int64_t, std::string>> byEnd_; ///< Ended jobs by the time of their end.
};

} // namespace quetzal::jobs
