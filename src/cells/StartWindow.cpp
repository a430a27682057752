#include "include/quetzal/cells/StartWindow.h"

#include <algorithm>

namespace quetzal::cells {

void
AddStart(StartWindow& aWindow, std::int64_t aRun, clock::Moment aNow)
{
  aWindow.orderedAt_.emplace(aRun, aNow);
}

void
RemoveStart(StartWindow& aWindow, std::int64_t aRun)
{
  aWindow.orderedAt_.erase(aRun);
}

int
FreeStarts(StartWindow& aWindow, clock::Moment aNow)
{
  std::erase_if(aWindow.orderedAt_,
                [aNow](const auto& aStart) { return aNow - aStart.second >= kMaxCountedStartAge; });
  return std::max(0, kMaxUnansweredStarts - static_cast<int>(aWindow.orderedAt_.size()));
}

} // namespace quetzal::cells
