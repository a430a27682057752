#include "include/quetzal/connection/ConnectionPolicy.h"

#include <algorithm>

namespace quetzal::connection {
namespace {

/** A connection that received a byte within this time is used without a probe. */
constexpr clock::Milliseconds kMaxUnprobedSilence{ 500 };

} // namespace

int
ConnectionCap(int aConnections, const ConnectionHolders& aHolders)
{
  const int holders = std::max(1, aHolders.live_ + aHolders.leaving_ + aHolders.replacements_);
  return std::max(1, aConnections / holders);
}

bool
NeedsProbe(bool aIdempotent, clock::Milliseconds aSilence)
{
  return !aIdempotent && aSilence > kMaxUnprobedSilence;
}

} // namespace quetzal::connection
