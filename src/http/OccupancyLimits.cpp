#include "include/quetzal/http/OccupancyLimits.h"

namespace quetzal::http {
namespace {

constexpr std::int64_t kBytesPerMegabyte = 1024 * 1024;
constexpr std::int64_t kMemoryDivisor = 4;
constexpr std::int64_t kDescriptorDivisor = 2;

} // namespace

OccupancyLimits
MakeOccupancyLimits(const HostLimits& aHost)
{
  OccupancyLimits limits;
  if (aHost.memoryMb_) {
    limits.heldBytes_ =
      static_cast<std::size_t>(*aHost.memoryMb_ * kBytesPerMegabyte / kMemoryDivisor);
  }
  if (aHost.descriptors_) {
    limits.connections_ = static_cast<std::size_t>(*aHost.descriptors_ / kDescriptorDivisor);
  }
  return limits;
}

} // namespace quetzal::http
