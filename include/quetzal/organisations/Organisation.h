#pragma once

#include "include/quetzal/workers/Capacity.h"

#include <compare>
#include <cstdint>
#include <string>

/** Organisations: their API keys, and what they may use. */
namespace quetzal::organisations {

/** An organisation whose jobs share the workers with those of others. */
struct Organisation
{
  std::string name_;
  double weight_ = 0; ///< Its share while workers are short, and its entitled jobs per second.
  workers::Capacity quota_; ///< What it may have running over all pools; 0: no limit.

  auto operator<=>(const Organisation&) const = default;
};

} // namespace quetzal::organisations
