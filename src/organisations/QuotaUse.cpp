#include "include/quetzal/organisations/QuotaUse.h"

#include "include/quetzal/organisations/Resources.h"

namespace quetzal::organisations {

void
CountRun(QuotaUse& aUse,
         const std::string& aOrganisation,
         const workers::Capacity& aNeed,
         bool aIsOwn,
         UseChange aChange)
{
  if (aOrganisation.empty()) {
    return;
  }
  const std::int64_t sign = aChange == UseChange::kAdded ? 1 : -1;
  const auto entry = aUse.organisations_.try_emplace(aOrganisation).first;
  AddTo(entry->second.all_, aNeed, sign);
  if (aIsOwn) {
    AddTo(entry->second.own_, aNeed, sign);
  }
  if (entry->second == Use{}) {
    aUse.organisations_.erase(entry);
  }
}

workers::Capacity
UseOf(const QuotaUse& aUse, const std::string& aOrganisation, bool aIsSynchronized)
{
  const auto entry = aUse.organisations_.find(aOrganisation);
  if (entry == aUse.organisations_.end()) {
    return {};
  }
  return aIsSynchronized ? entry->second.all_ : entry->second.own_;
}

workers::Capacity
CountedNeed(const workers::Capacity& aNeed, const workers::Capacity& aQuota)
{
  workers::Capacity need;
  for (const Resource resource : kResources) {
    if (aQuota.*resource > 0) {
      need.*resource = std::min(aNeed.*resource, aQuota.*resource);
    }
  }
  return need;
}

bool
IsLimiting(const workers::Capacity& aQuota)
{
  return std::any_of(kResources.begin(), kResources.end(), [&aQuota](Resource aResource) {
    return aQuota.*aResource > 0;
  });
}

bool
MayStart(const workers::Capacity& aGrant,
         const workers::Capacity& aUse,
         const workers::Capacity& aNeed,
         const workers::Capacity& aQuota)
{
  return std::all_of(kResources.begin(), kResources.end(), [&](Resource aResource) {
    return aQuota.*aResource <= 0 || aNeed.*aResource <= 0 ||
           aUse.*aResource + aNeed.*aResource <= aGrant.*aResource;
  });
}

std::int64_t
BeginReport(HeldGrants& aHeld, clock::Moment aNow)
{
  aHeld.lastSentAt_ = aNow;
  return ++aHeld.lastSequence_;
}

bool
TakeGrants(HeldGrants& aHeld, std::int64_t aSequence, const std::vector<Grant>& aGrants)
{
  if (aSequence != aHeld.lastSequence_) {
    return false;
  }
  aHeld.limits_.clear();
  for (const Grant& grant : aGrants) {
    aHeld.limits_[grant.organisation_] = grant.limit_;
  }
  aHeld.validUntil_ = aHeld.lastSentAt_ + kGrantValidity;
  return true;
}

workers::Capacity
GrantFor(const HeldGrants& aHeld, const std::string& aOrganisation, clock::Moment aNow)
{
  const auto grant = aHeld.limits_.find(aOrganisation);
  if (grant == aHeld.limits_.end() || aNow >= aHeld.validUntil_) {
    return {};
  }
  return grant->second;
}

workers::Capacity
EqualPart(const workers::Capacity& aQuota, std::int64_t aCells)
{
  workers::Capacity part;
  for (const Resource resource : kResources) {
    part.*resource = aQuota.*resource / std::max<std::int64_t>(aCells, 1);
  }
  return part;
}

} // namespace quetzal::organisations
