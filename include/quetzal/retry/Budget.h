#pragma once

#include <compare>

/** Retries of requests. */
namespace quetzal::retry {

/** A token bucket that limits a service's retries to a percentage of its requests. */
struct Budget
{
  double tokens_ = 10; ///< One token pays for one retry.

  auto operator<=>(const Budget&) const = default;
};

/** Returns the budget after the first attempt of one more request. @param aPercent retries per
 * hundred requests. */
Budget
Deposit(const Budget& aBudget, int aPercent);

bool
CanSpend(const Budget& aBudget);

/** Returns the budget after one retry. */
Budget
Spend(const Budget& aBudget);

} // namespace quetzal::retry
