#include "include/quetzal/workers/Evidence.h"

#include <algorithm>
#include <ostream>

namespace quetzal::workers {

KnownIncarnation
KnownIncarnationOf(const WorkerState& aState, clock::Moment aNow)
{
  KnownIncarnation known{ aState.startedMs_, std::nullopt };
  if (aState.clock_) {
    known.heardAgo_ =
      std::chrono::duration_cast<clock::Milliseconds>(aNow - aState.clock_->readAt_);
  }
  return known;
}

RunsThere
RunsThereOf(const WorkerState& aState)
{
  return { aState.runs_.size(), CountInDoubt(aState.runs_) };
}

std::size_t
CountInDoubt(const std::map<jobs::TaskId, Run>& aRuns)
{
  return static_cast<std::size_t>(std::count_if(
    aRuns.begin(), aRuns.end(), [](const auto& aEntry) { return !aEntry.second.confirmed_; }));
}

log::Level
LevelFor(const RunsThere& aRuns)
{
  return aRuns.all_ > 0 ? log::Level::kWarning : log::Level::kInfo;
}

std::ostream&
operator<<(std::ostream& aOutput, const KnownIncarnation& aIncarnation)
{
  aOutput << " born=" << aIncarnation.startedMs_ << " heard_ms_ago=";
  if (aIncarnation.heardAgo_) {
    return aOutput << aIncarnation.heardAgo_->count();
  }
  return aOutput << "never";
}

std::ostream&
operator<<(std::ostream& aOutput, const RunsThere& aRuns)
{
  return aOutput << " runs=" << aRuns.all_ << " in_doubt=" << aRuns.inDoubt_;
}

} // namespace quetzal::workers
