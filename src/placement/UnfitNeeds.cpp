#include "include/quetzal/placement/UnfitNeeds.h"

#include "include/quetzal/placement/Placement.h"

#include <algorithm>

namespace quetzal::placement {
namespace {

TaskNeed
TaskNeedOf(const jobs::StepSpec& aStep)
{
  return { NeedOf(aStep), aStep.requiredLabel_ };
}

/** Returns whether every worker that meets the first need meets the second. */
bool
IsAtLeast(const TaskNeed& aNeed, const TaskNeed& aOther)
{
  const workers::Capacity& need = aNeed.capacity_;
  const workers::Capacity& other = aOther.capacity_;
  return need.cpu_ >= other.cpu_ && need.memory_ >= other.memory_ &&
         need.accelerators_ >= other.accelerators_ &&
         (aOther.requiredLabel_.empty() || aNeed.requiredLabel_ == aOther.requiredLabel_);
}

} // namespace

void
AddUnfit(UnfitNeeds& aUnfit, const jobs::StepSpec& aStep)
{
  const TaskNeed added = TaskNeedOf(aStep);
  std::erase_if(aUnfit.needs_,
                [&added](const TaskNeed& aKnown) { return IsAtLeast(aKnown, added); });
  aUnfit.needs_.push_back(added);
}

bool
IsUnfit(const UnfitNeeds& aUnfit, const jobs::StepSpec& aStep)
{
  const TaskNeed need = TaskNeedOf(aStep);
  return std::any_of(aUnfit.needs_.begin(), aUnfit.needs_.end(), [&need](const TaskNeed& aKnown) {
    return IsAtLeast(need, aKnown);
  });
}

} // namespace quetzal::placement
