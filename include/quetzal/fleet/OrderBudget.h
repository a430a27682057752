#pragma once

#include "include/quetzal/clock/Time.h"

namespace quetzal::fleet {

/** Orders that may be sent now, so that the platform's rate limit is kept. Orders come in batches,
 * one with each plan; the budget holds what accrues between two plans. This matters when whole
 * pools of hosts change hands within seconds. */
struct OrderBudget
{
  double orders_ = 0;
  clock::Moment updatedAt_{};

  bool operator==(const OrderBudget&) const = default;
};

/** Takes one order from the budget. @param aOrdersPerSecond the platform's limit for the whole
 * fleet. @return false if the order must wait. */
bool
TakeOrder(OrderBudget& aBudget, double aOrdersPerSecond, clock::Moment aNow);

} // namespace quetzal::fleet
