#include "include/quetzal/organisations/FairShare.h"

#include <algorithm>
#include <cmath>

namespace quetzal::organisations {
namespace {

constexpr double kStepsPerDoubling = 8;

double
FractionOf(std::int64_t aUsed, std::int64_t aAll)
{
  return aUsed <= 0 || aAll <= 0 ? 0 : static_cast<double>(aUsed) / static_cast<double>(aAll);
}

} // namespace

FairShares
MakeFairShares(const std::vector<Organisation>& aOrganisations, const workers::Capacity& aPool)
{
  double total = 0;
  for (const Organisation& organisation : aOrganisations) {
    total += std::max(organisation.weight_, 0.0);
  }
  FairShares shares;
  shares.pool_ = aPool;
  for (const Organisation& organisation : aOrganisations) {
    if (organisation.weight_ > 0) {
      shares.fractions_[organisation.name_] = organisation.weight_ / total;
    }
  }
  return shares;
}

double
DominantShare(const workers::Capacity& aUsed, const workers::Capacity& aPool)
{
  return std::max({ FractionOf(aUsed.cpu_, aPool.cpu_),
                    FractionOf(aUsed.memory_, aPool.memory_),
                    FractionOf(aUsed.accelerators_, aPool.accelerators_) });
}

int
StepsAboveShare(const FairShares& aShares,
                const std::string& aOrganisation,
                const workers::Capacity& aUsed)
{
  const auto fraction = aShares.fractions_.find(aOrganisation);
  if (fraction == aShares.fractions_.end()) {
    return 0;
  }
  const double ratio = DominantShare(aUsed, aShares.pool_) / fraction->second;
  return ratio <= 1 ? 0 : 1 + static_cast<int>(std::log2(ratio) * kStepsPerDoubling);
}

} // namespace quetzal::organisations
