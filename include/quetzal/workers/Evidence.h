#pragma once

#include "include/quetzal/log/Level.h"
#include "include/quetzal/workers/WorkerState.h"

#include <iosfwd>

/** What an owner knows of a worker at the moment at which it decides about the worker's runs, in
 * the form in which logs show it. */
namespace quetzal::workers {

/** The incarnation that an owner takes to be the present one. */
struct KnownIncarnation
{
  std::int64_t startedMs_ = 0; ///< Unix time of its start; 0 if it has not answered yet.
  std::optional<clock::Milliseconds> heardAgo_; ///< Age of its last answer to a poll.

  bool operator==(const KnownIncarnation&) const = default;
};

/** How many runs an owner knows of on a worker, apart from orphans. */
struct RunsThere
{
  std::size_t all_ = 0;
  std::size_t inDoubt_ = 0; ///< Of these, not known to be of the present incarnation.

  bool operator==(const RunsThere&) const = default;
};

KnownIncarnation
KnownIncarnationOf(const WorkerState& aState, clock::Moment aNow);

RunsThere
RunsThereOf(const WorkerState& aState);

/** Returns how many of the runs are not known to be of the present incarnation. */
std::size_t
CountInDoubt(const std::map<jobs::TaskId, Run>& aRuns);

/** Returns the level of a record about a worker that restarts, falls silent or is gone: a warning,
 * which is never dropped under load, where runs are concerned. */
log::Level
LevelFor(const RunsThere& aRuns);

/** Writes the fields `born` and `heard_ms_ago`. */
std::ostream&
operator<<(std::ostream& aOutput, const KnownIncarnation& aIncarnation);

/** Writes the fields `runs` and `in_doubt`. */
std::ostream&
operator<<(std::ostream& aOutput, const RunsThere& aRuns);

} // namespace quetzal::workers
