#pragma once

#include "include/quetzal/workers/Capacity.h"

#include <compare>
#include <cstdint>
#include <string>

namespace quetzal::organisations {

/** What one organisation uses and waits for in one cell. */
struct Demand
{
  std::string organisation_;
  workers::Capacity used_;     ///< By all runs that have not ended, including those being stopped.
  workers::Capacity wanted_;   ///< Used, and needed by its waiting tasks.
  workers::Capacity nextNeed_; ///< Of the task that would be started next; zero if none waits.
  workers::Capacity held_;     ///< The grant that the cell holds; zero if it holds none.
  std::int64_t waitingMs_ = 0; ///< How long its oldest waiting task has waited.

  auto operator<=>(const Demand&) const = default;
};

/** The most that one organisation may have running in one cell. */
struct Grant
{
  std::string organisation_;
  workers::Capacity limit_; ///< Only the resources that the organisation's quota limits are used.

  auto operator<=>(const Grant&) const = default;
};

} // namespace quetzal::organisations
