#pragma once

#include "include/quetzal/organisations/Organisation.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal::organisations {

/** The share of a pool that each organisation is entitled to while the pool is full. */
struct FairShares
{
  workers::Capacity pool_;                  ///< Of all workers on which tasks may be placed.
  std::map<std::string, double> fractions_; ///< Its weight's part of all weights, if it has one.

  auto operator<=>(const FairShares&) const = default;
};

FairShares
MakeFairShares(const std::vector<Organisation>& aOrganisations, const workers::Capacity& aPool);

/** Returns the largest of the fractions of a pool's resources that are in use. */
double
DominantShare(const workers::Capacity& aUsed, const workers::Capacity& aPool);

/** Returns by how much an organisation uses more than its share, in steps of 9%; 0: not more. Steps
 * keep the order of jobs stable while single tasks start. An organisation without a weight has no
 * share and gets 0. */
int
StepsAboveShare(const FairShares& aShares,
                const std::string& aOrganisation,
                const workers::Capacity& aUsed);

} // namespace quetzal::organisations
