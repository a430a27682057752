#include "include/quetzal/retry/Budget.h"

#include <algorithm>

namespace quetzal::retry {
namespace {

/** Limits the saved tokens: they pay for the retries of a short fault, but not of a long one. */
constexpr double kMaxTokens = 100;
constexpr double kPercent = 100;

} // namespace

Budget
Deposit(const Budget& aBudget, int aPercent)
{
  return { std::min(aBudget.tokens_ + aPercent / kPercent, kMaxTokens) };
}

bool
CanSpend(const Budget& aBudget)
{
  return aBudget.tokens_ >= 1;
}

Budget
Spend(const Budget& aBudget)
{
  return { std::max(aBudget.tokens_ - 1, 0.0) };
}

} // namespace quetzal::retry
