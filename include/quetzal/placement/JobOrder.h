#pragma once

#include "include/quetzal/jobs/JobTable.h"

#include <compare>

namespace quetzal::placement {

/** A job's place in the order in which waiting tasks are placed. Lower ranks come first. */
struct JobRank
{
  bool notLongRunning_ = true; ///< Tasks that run until cancelled come first.
  bool overRate_ = false;      ///< It arrived beyond its organisation's rate.
  int priority_ = 0;           ///< Of the queue; 0 comes first.
  bool late_ = false;          ///< The job will miss its objective even if it is placed now.
  int share_ = 0;              ///< Its organisation's use: organisations::StepsAboveShare.
  bool notStarted_ = true;     ///< Jobs that have tasks on workers are finished first.
  clock::Moment arrivedAt_{};

  auto operator<=>(const JobRank&) const = default;
};

/** Returns a job's rank. This order answers a load of more jobs than workers have room for: work on
 * a job that will be late anyway would make others late too. Its organisation's use of the pool is
 * left 0.
 * @param aPathFactor time that a job takes from its first task to its end, as a multiple of its
 * critical path. */
JobRank
RankOf(const jobs::Job& aJob,
       const jobs::QueueTerms& aTerms,
       double aPathFactor,
       clock::Moment aNow);

/** Learns from a job that has just completed how long jobs take.
 * @return the path factor that follows on @p aPathFactor. */
double
NextPathFactor(double aPathFactor, const jobs::Job& aCompleted, clock::Moment aNow);

} // namespace quetzal::placement
