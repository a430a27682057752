#pragma once

#include "include/quetzal/log/Level.h"

#include <chrono>
#include <cstddef>

namespace quetzal::log {

/** The lines that a process has written in the current second. Under load the details are dropped
 * first, so that the lines which explain a failure are kept. */
struct LineBudget
{
  std::chrono::seconds second_{ 0 }; ///< Since 1970.
  std::size_t bytes_ = 0;            ///< Written in this second.
  std::size_t droppedLines_ = 0;     ///< Since the last report of dropped lines.

  bool operator==(const LineBudget&) const = default;
};

/** Returns the bytes of one second after which lines of a level are dropped; for warnings and
 * errors there is no limit. */
std::size_t
MaxBytesPerSecond(Level aLevel);

/** Begins a new second if @p aSecond is another one than that of the budget. */
void
AdvanceTo(LineBudget& aBudget, std::chrono::seconds aSecond);

/** Takes a line out of the budget, or counts it as dropped. @return whether it may be written. */
bool
TakeLine(LineBudget& aBudget, Level aLevel, std::size_t aBytes);

} // namespace quetzal::log
