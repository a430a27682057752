#include "include/quetzal/http/TransferRate.h"

namespace quetzal::http {

bool
IsBelowRate(const TransferRate& aRate, std::size_t aBytesInWindow)
{
  const auto windowMs = static_cast<std::size_t>(aRate.window_.count());
  return aBytesInWindow * 1'000 < aRate.bytesPerSecond_ * windowMs;
}

} // namespace quetzal::http
