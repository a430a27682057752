#pragma once

#include <cstdint>
#include <vector>

/** Speed limits of best-effort tasks that share a worker with latency-sensitive tasks. */
namespace quetzal::sharing {

/** A latency-sensitive task's response times, as last reported by its worker. */
struct LatencySensitiveTask
{
  std::int64_t latencyTargetMs_ = 0;
  std::int64_t tailLatencyMs_ = 0; ///< Over the last half second.

  bool operator==(const LatencySensitiveTask&) const = default;
};

inline constexpr int kFullSpeedPercent = 100;

/** Returns the speed limit of all best-effort tasks on a worker until the next evaluation. The
 * limit is halved while the tail latency of any latency-sensitive task is near its target, and
 * rises in steps once all are well below. Load may rise within a second, so the reduction is fast.
 */
int
NextSpeedPercent(int aSpeedPercent, const std::vector<LatencySensitiveTask>& aTasks);

} // namespace quetzal::sharing
