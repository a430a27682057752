#pragma once

#include "include/quetzal/clock/Time.h"

#include <cstdint>
#include <map>

namespace quetzal::cells {

/** The start orders of a cell that workers have not answered. An owner that is short of processor
 * time sends orders later than it makes them; without a limit, orders would expire before they are
 * sent, and be made again. */
struct StartWindow
{
  std::map<std::int64_t, clock::Moment> orderedAt_; ///< By run number.
};

/** No more start orders than this may be unanswered. */
inline constexpr int kMaxUnansweredStarts = 512;

/** An order that is unanswered for this time no longer counts, so that silent workers do not hold
 * back the others. */
inline constexpr clock::Milliseconds kMaxCountedStartAge{ 500 };

void
AddStart(StartWindow& aWindow, std::int64_t aRun, clock::Moment aNow);

void
RemoveStart(StartWindow& aWindow, std::int64_t aRun);

/** Returns how many start orders may be sent now, and removes those that no longer count. */
int
FreeStarts(StartWindow& aWindow, clock::Moment aNow);

} // namespace quetzal::cells
