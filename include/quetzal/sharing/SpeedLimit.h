#pragma once

#include <cstdint>
#include <vector>

/** How fast tasks that use spare processor time may work beside tasks that serve users. */
namespace quetzal::sharing {

/** A serving task's response times, as its worker last told them. */
struct LatencySensitiveTask
{
  std::int64_t latencyTargetMs_ = 0;
  std::int64_t tailLatencyMs_ = 0; ///< Tail of the last half second.

  bool operator==(const LatencySensitiveTask&) const = default;
};

/** Full speed, in per cent. */
inline constexpr int kFullSpeedPercent = 100;

/** Returns the pace, in per cent, of all filling tasks on a worker until the next look at it. It
 * answers a serving load that rises within a second: the pace is halved while any serving task is
 * near its target, and returns step by step once all are well below. */
int
NextSpeedPercent(int aPace, const std::vector<LatencySensitiveTask>& aServing);

} // namespace quetzal::sharing
