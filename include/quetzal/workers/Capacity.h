#pragma once

#include <compare>
#include <cstdint>

namespace quetzal::workers {

/** Processor time in thousandths of a core, memory in megabytes, accelerators. */
struct Capacity
{
  std::int64_t cpu_ = 0;
  std::int64_t memory_ = 0;
  std::int64_t accelerators_ = 0;

  auto operator<=>(const Capacity&) const = default;
};

} // namespace quetzal::workers
