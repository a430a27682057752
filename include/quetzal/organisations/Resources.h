#pragma once

#include "include/quetzal/workers/Capacity.h"

#include <algorithm>
#include <array>

/** Arithmetic on the resources of a capacity. */
namespace quetzal::organisations {

using Resource = std::int64_t workers::Capacity::*;

inline constexpr std::array<Resource, 3> kResources{ &workers::Capacity::cpu_,
                                                     &workers::Capacity::memory_,
                                                     &workers::Capacity::accelerators_ };

/** Adds a multiple of one capacity to another. */
inline void
AddTo(workers::Capacity& aSum, const workers::Capacity& aPart, std::int64_t aTimes = 1)
{
  for (const Resource resource : kResources) {
    aSum.*resource += aTimes * aPart.*resource;
  }
}

/** Returns the larger amount of each resource. */
inline workers::Capacity
Larger(const workers::Capacity& aLeft, const workers::Capacity& aRight)
{
  workers::Capacity larger;
  for (const Resource resource : kResources) {
    larger.*resource = std::max(aLeft.*resource, aRight.*resource);
  }
  return larger;
}

/** Returns the smaller amount of each resource. */
inline workers::Capacity
Smaller(const workers::Capacity& aLeft, const workers::Capacity& aRight)
{
  workers::Capacity smaller;
  for (const Resource resource : kResources) {
    smaller.*resource = std::min(aLeft.*resource, aRight.*resource);
  }
  return smaller;
}

} // namespace quetzal::organisations
