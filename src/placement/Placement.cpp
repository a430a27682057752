#include "include/quetzal/placement/Placement.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace quetzal::placement {
namespace {

bool
HasLabel(const Candidate& aCandidate, const std::string& aLabel)
{
  return aCandidate.labels_ != nullptr &&
         std::find(aCandidate.labels_->begin(), aCandidate.labels_->end(), aLabel) !=
           aCandidate.labels_->end();
}

bool
Fits(const jobs::StepSpec& aStep, const Candidate& aCandidate)
{
  const workers::Capacity need = NeedOf(aStep);
  const workers::Capacity& free = aCandidate.free_;
  return need.cpu_ <= free.cpu_ && need.memory_ <= free.memory_ &&
         need.accelerators_ <= free.accelerators_ &&
         (aStep.requiredLabel_.empty() || HasLabel(aCandidate, aStep.requiredLabel_));
}

/** Returns a candidate's rank; the highest is chosen. */
auto
RankOf(const jobs::StepSpec& aStep, const Candidate& aCandidate)
{
  const bool isNearData = aStep.dataRack_.empty() || HasLabel(aCandidate, aStep.dataRack_);
  const bool avoidsContention = aStep.bestEffort_
                                  ? !aCandidate.hasLatencySensitive_
                                  : aStep.latencyTargetMs_ == 0 || !aCandidate.hasBestEffort_;
  const bool isSameKind = aStep.longRunning_ == aCandidate.hasLongRunning_;
  return std::make_tuple(
    -aCandidate.failureScore_, isNearData, avoidsContention, isSameKind, -aCandidate.free_.cpu_);
}

/** Returns whether a step may use a candidate and the candidate has room for a task of it. */
bool
IsUsable(const jobs::StepSpec& aStep,
         const std::vector<Candidate>& aCandidates,
         const StepUse& aUse,
         std::size_t aIndex)
{
  const bool isAtLimit =
    aStep.maxPerWorker_ > 0 && aUse.taskCounts_.at(aIndex) >= aStep.maxPerWorker_;
  const bool isExcluded = !aUse.excluded_.empty() && aUse.excluded_[aIndex];
  return !isAtLimit && !isExcluded && Fits(aStep, aCandidates[aIndex]);
}

/** Places a gang's tasks one by one on the allowed candidates of the highest rank. Returns nothing
 * if these cannot hold all tasks. */
std::vector<std::size_t>
PlaceGang(const jobs::StepSpec& aStep,
          const std::vector<Candidate>& aCandidates,
          const std::vector<std::size_t>& aAllowed)
{
  std::vector<Candidate> remaining = aCandidates;
  std::vector<int> taskCounts(aCandidates.size(), 0);
  std::vector<std::size_t> chosen;
  for (int task = 0; task < aStep.count_; ++task) {
    std::optional<std::size_t> best;
    for (const std::size_t i : aAllowed) {
      const bool isAtLimit = aStep.maxPerWorker_ > 0 && taskCounts[i] >= aStep.maxPerWorker_;
      if (!isAtLimit && Fits(aStep, remaining[i]) &&
          (!best || RankOf(aStep, remaining[i]) > RankOf(aStep, remaining[*best]))) {
        best = i;
      }
    }
    if (!best) {
      return {};
    }
    Reserve(remaining[*best], aStep);
    ++taskCounts[*best];
    chosen.push_back(*best);
  }
  return chosen;
}

} // namespace

workers::Capacity
NeedOf(const jobs::StepSpec& aStep)
{
  return { aStep.bestEffort_ ? 0 : aStep.cpu_, aStep.memory_, aStep.accelerators_ };
}

void
Reserve(Candidate& aCandidate, const jobs::StepSpec& aStep)
{
  const workers::Capacity need = NeedOf(aStep);
  aCandidate.free_.cpu_ -= need.cpu_;
  aCandidate.free_.memory_ -= need.memory_;
  aCandidate.free_.accelerators_ -= need.accelerators_;
  aCandidate.hasLongRunning_ = aCandidate.hasLongRunning_ || aStep.longRunning_;
  aCandidate.hasLatencySensitive_ = aCandidate.hasLatencySensitive_ || aStep.latencyTargetMs_ > 0;
  aCandidate.hasBestEffort_ = aCandidate.hasBestEffort_ || aStep.bestEffort_;
}

std::optional<std::size_t>
ChooseWorker(const jobs::StepSpec& aStep,
             const std::vector<Candidate>& aCandidates,
             const StepUse& aUse)
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!IsUsable(aStep, aCandidates, aUse, i)) {
      continue;
    }
    if (!best || RankOf(aStep, aCandidates[i]) > RankOf(aStep, aCandidates[*best])) {
      best = i;
    }
  }
  return best;
}

std::optional<std::size_t>
ChooseNextWorker(const jobs::StepSpec& aStep,
                 const std::vector<Candidate>& aCandidates,
                 const StepUse& aUse,
                 std::optional<std::size_t> aLast)
{
  // A task that is both avoids the worker of its own siblings.
  const bool avoidsItself = aStep.bestEffort_ && aStep.latencyTargetMs_ > 0;
  if (aLast && !avoidsItself && IsUsable(aStep, aCandidates, aUse, *aLast)) {
    return aLast;
  }
  return ChooseWorker(aStep, aCandidates, aUse);
}

std::vector<std::size_t>
ChooseGang(const jobs::StepSpec& aStep, const std::vector<Candidate>& aCandidates)
{
  std::vector<std::size_t> all(aCandidates.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i] = i;
  }
  if (!aStep.sameRack_) {
    return PlaceGang(aStep, aCandidates, all);
  }
  std::set<std::string_view> racks;
  for (const Candidate& candidate : aCandidates) {
    racks.insert(candidate.rack_);
  }
  for (const std::string_view rack : racks) {
    std::vector<std::size_t> members;
    std::copy_if(all.begin(), all.end(), std::back_inserter(members), [&](std::size_t aIndex) {
      return aCandidates[aIndex].rack_ == rack;
    });
    if (auto chosen = PlaceGang(aStep, aCandidates, members); !chosen.empty()) {
      return chosen;
    }
  }
  return PlaceGang(aStep, aCandidates, all);
}

workers::Run
MakeRun(const jobs::StepSpec& aStep,
        std::int64_t aRun,
        workers::RunState aState,
        clock::Moment aNow)
{
  workers::Run run;
  run.number_ = aRun;
  run.state_ = aState;
  run.need_ = NeedOf(aStep);
  run.longRunning_ = aStep.longRunning_;
  run.bestEffort_ = aStep.bestEffort_;
  run.latencyTargetMs_ = aStep.latencyTargetMs_;
  run.orderedAt_ = aNow;
  return run;
}

} // namespace quetzal::placement
