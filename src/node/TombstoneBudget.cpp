#include "include/quetzal/node/TombstoneBudget.h"

#include <algorithm>

namespace quetzal::node {
namespace {

void
Refill(organisations::RateBucket& aBucket, double aSize, clock::Moment aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.filledAt_;
  const std::chrono::duration<double> term = kTombstoneTerm;
  const double added = std::max(elapsed / term, 0.0) * aSize;
  aBucket.tokens_ = std::min(aBucket.tokens_ + added, aSize);
  aBucket.filledAt_ = std::max(aBucket.filledAt_, aNow);
}

} // namespace

bool
TakeTombstone(TombstoneBudget& aBudget, const std::string& aOrganisation, clock::Moment aNow)
{
  Refill(aBudget.all_, kMaxTombstones, aNow);
  if (aBudget.all_.tokens_ < 1) {
    return false;
  }
  if (!aOrganisation.empty()) {
    const organisations::RateBucket full{ kMaxTombstonesOfOrganisation, aNow };
    organisations::RateBucket& own =
      aBudget.organisations_.try_emplace(aOrganisation, full).first->second;
    Refill(own, kMaxTombstonesOfOrganisation, aNow);
    if (own.tokens_ < 1) {
      return false;
    }
    own.tokens_ -= 1;
  }
  aBudget.all_.tokens_ -= 1;
  return true;
}

} // namespace quetzal::node
