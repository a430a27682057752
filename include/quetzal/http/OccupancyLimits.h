#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace quetzal::http {

/** Memory and descriptors that the host gives the process; absent where the settings name none. */
struct HostLimits
{
  std::optional<std::int64_t> memoryMb_;
  std::optional<std::int64_t> descriptors_;

  bool operator==(const HostLimits&) const = default;
};

/** Limits on what all connections of a process hold together. */
struct OccupancyLimits
{
  std::size_t heldBytes_ = 64 * 1024 * 1024; ///< Bytes allocated for unfinished requests.
  std::size_t connections_ = 2'000;

  bool operator==(const OccupancyLimits&) const = default;
};

/** Returns a quarter of the host's memory and half of its descriptors; the rest is for the
 * process's own data, its answers and its connections to other hosts. */
OccupancyLimits
MakeOccupancyLimits(const HostLimits& aHost);

} // namespace quetzal::http
