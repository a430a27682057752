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

/** Ranks a candidate; the highest is taken. */
auto
RankOf(const jobs::StepSpec& aStep, const Candidate& aCandidate)
{
  const bool isNear = aStep.dataRack_.empty() || HasLabel(aCandidate, aStep.dataRack_);
  const bool isQuiet = aStep.bestEffort_ ? !aCandidate.hasServing_
                                         : aStep.latencyTargetMs_ == 0 || !aCandidate.hasFilling_;
  const bool isAlike = aStep.longRunning_ == aCandidate.hasLasting_;
  return std::make_tuple(-aCandidate.suspicion_, isNear, isQuiet, isAlike, -aCandidate.free_.cpu_);
}

/** Fills a gang from some candidates, the roomiest first; empty where they do not hold it. */
std::vector<std::size_t>
FillGang(const jobs::StepSpec& aStep,
         const std::vector<Candidate>& aCandidates,
         const std::vector<std::size_t>& aAllowed)
{
  std::vector<Candidate> room = aCandidates;
  std::vector<int> tasksOn(aCandidates.size(), 0);
  std::vector<std::size_t> chosen;
  for (int task = 0; task < aStep.count_; ++task) {
    std::optional<std::size_t> best;
    for (const std::size_t i : aAllowed) {
      const bool crowded = aStep.maxPerWorker_ > 0 && tasksOn[i] >= aStep.maxPerWorker_;
      if (!crowded && Fits(aStep, room[i]) &&
          (!best || RankOf(aStep, room[i]) > RankOf(aStep, room[*best]))) {
        best = i;
      }
    }
    if (!best) {
      return {};
    }
    Reserve(room[*best], aStep);
    ++tasksOn[*best];
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
  aCandidate.hasLasting_ = aCandidate.hasLasting_ || aStep.longRunning_;
  aCandidate.hasServing_ = aCandidate.hasServing_ || aStep.latencyTargetMs_ > 0;
  aCandidate.hasFilling_ = aCandidate.hasFilling_ || aStep.bestEffort_;
}

std::optional<std::size_t>
ChooseWorker(const jobs::StepSpec& aStep,
             const std::vector<Candidate>& aCandidates,
             const StepUse& aUse)
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const bool crowded = aStep.maxPerWorker_ > 0 && aUse.tasksOn_.at(i) >= aStep.maxPerWorker_;
    const bool barred = !aUse.barredOn_.empty() && aUse.barredOn_[i];
    if (crowded || barred || !Fits(aStep, aCandidates[i])) {
      continue;
    }
    if (!best || RankOf(aStep, aCandidates[i]) > RankOf(aStep, aCandidates[*best])) {
      best = i;
    }
  }
  return best;
}

std::vector<std::size_t>
ChooseGang(const jobs::StepSpec& aStep, const std::vector<Candidate>& aCandidates)
{
  std::vector<std::size_t> all(aCandidates.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i] = i;
  }
  if (!aStep.sameRack_) {
    return FillGang(aStep, aCandidates, all);
  }
  std::set<std::string> racks;
  for (const Candidate& candidate : aCandidates) {
    racks.insert(candidate.rack_);
  }
  for (const std::string& rack : racks) {
    std::vector<std::size_t> members;
    std::copy_if(all.begin(), all.end(), std::back_inserter(members), [&](std::size_t aIndex) {
      return aCandidates[aIndex].rack_ == rack;
    });
    if (auto chosen = FillGang(aStep, aCandidates, members); !chosen.empty()) {
      return chosen;
    }
  }
  return FillGang(aStep, aCandidates, all);
}

workers::Slot
MakeSlot(const jobs::StepSpec& aStep,
         std::int64_t aRun,
         workers::SlotState aState,
         clock::Moment aNow)
{
  workers::Slot slot;
  slot.run_ = aRun;
  slot.state_ = aState;
  slot.need_ = NeedOf(aStep);
  slot.lasting_ = aStep.longRunning_;
  slot.fills_ = aStep.bestEffort_;
  slot.targetMs_ = aStep.latencyTargetMs_;
  slot.orderedAt_ = aNow;
  return slot;
}

} // namespace quetzal::placement
