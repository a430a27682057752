#include "include/quetzal/fleet/OrderBudget.h"

#include <algorithm>

namespace quetzal::fleet {
namespace {

/** Fraction of the limit at which the budget accrues. With a full batch before it, a second's
 * orders stay below the limit. */
constexpr double kRateShare = 0.8;
/** Largest batch, as a part of the orders that the limit allows in a second. */
constexpr double kBatchShare = 0.15;
/** Batches of this size are allowed at any limit. */
constexpr double kMinBatch = 20;

} // namespace

bool
TakeOrder(OrderBudget& aBudget, double aOrdersPerSecond, clock::Moment aNow)
{
  const double passed = std::chrono::duration<double>(aNow - aBudget.updatedAt_).count();
  const double most = std::max(kMinBatch, aOrdersPerSecond * kBatchShare);
  aBudget.updatedAt_ = aNow;
  aBudget.orders_ = std::min(most, aBudget.orders_ + passed * aOrdersPerSecond * kRateShare);
  if (aBudget.orders_ < 1) {
    return false;
  }
  aBudget.orders_ -= 1;
  return true;
}

} // namespace quetzal::fleet
