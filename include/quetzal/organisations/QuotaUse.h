#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/organisations/Demand.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/** The cell's side of quotas: what each organisation uses in one cell, and whether a task of it may
 * be started there. Designed for 3,000 starts and ends a second and 42 organisations: each costs
 * one look-up. */
namespace quetzal::organisations {

/** A grant is valid for this time after the report that it answers was sent. */
inline constexpr clock::Milliseconds kGrantValidity{ 6'000 };

/** What one organisation uses in a cell, by all runs that have not ended. */
struct Use
{
  workers::Capacity all_;
  workers::Capacity own_; ///< By the runs that the present owner of the cell has started.

  bool operator==(const Use&) const = default;
};

/** What all organisations use in a cell. Organisations without use have no entry. */
struct QuotaUse
{
  std::map<std::string, Use> organisations_;

  bool operator==(const QuotaUse&) const = default;
};

/** Whether a run is added or has ended. */
enum class UseChange : std::uint8_t
{
  kAdded,
  kRemoved,
};

/** Counts a run. @param aIsOwn whether the present owner of the cell has started it. */
void
CountRun(QuotaUse& aUse,
         const std::string& aOrganisation,
         const workers::Capacity& aNeed,
         bool aIsOwn,
         UseChange aChange);

/** Returns what an organisation uses. While an earlier owner's runs are not all known, the fleet's
 * owner keeps room for them apart, and only the present owner's runs count. */
workers::Capacity
UseOf(const QuotaUse& aUse, const std::string& aOrganisation, bool aIsSynchronized);

/** Returns what a task counts for: at most the whole quota, so that a larger one can run alone. */
workers::Capacity
CountedNeed(const workers::Capacity& aNeed, const workers::Capacity& aQuota);

/** Returns whether a quota limits at least one resource. */
bool
IsLimiting(const workers::Capacity& aQuota);

/** Returns whether a need fits under a grant beside a use, in the resources that the quota limits.
 * @param aNeed as counted by CountedNeed. */
bool
MayStart(const workers::Capacity& aGrant,
         const workers::Capacity& aUse,
         const workers::Capacity& aNeed,
         const workers::Capacity& aQuota);

/** The grants that a cell holds. */
struct HeldGrants
{
  std::map<std::string, workers::Capacity> limits_;
  clock::Moment validUntil_{};
  std::int64_t lastSequence_ = 0; ///< Of the last report sent.
  clock::Moment lastSentAt_{};
};

/** Notes that a report is sent. @return the report's sequence number. */
std::int64_t
BeginReport(HeldGrants& aHeld, clock::Moment aNow);

/** Replaces the grants by those of an answer. An answer to any but the last report is ignored: the
 * fleet's owner keeps no room for its grants once it has a later report. @return whether the answer
 * was used. */
bool
TakeGrants(HeldGrants& aHeld, std::int64_t aSequence, const std::vector<Grant>& aGrants);

/** Returns the grant that is held for an organisation; zero if there is none, or it has expired. */
workers::Capacity
GrantFor(const HeldGrants& aHeld, const std::string& aOrganisation, clock::Moment aNow);

/** Returns an equal part of a quota: the grant while the fleet's owner does not divide quotas. */
workers::Capacity
EqualPart(const workers::Capacity& aQuota, std::int64_t aCells);

} // namespace quetzal::organisations
