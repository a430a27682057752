#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/organisations/Demand.h"
#include "include/quetzal/organisations/Organisation.h"

#include <map>
#include <string>
#include <vector>

/** The fleet owner's side of quotas: divides each organisation's quota among the cells. Designed
 * for 42 organisations and 52 cells that report every 120 ms. */
namespace quetzal::organisations {

/** A new table raises no grant for at most this time: the validity of a grant, and the time in
 * which runs under an expired grant end. */
inline constexpr clock::Milliseconds kMaxFreeze{ 12'000 };

/** One organisation's quota. */
struct Quota
{
  std::string organisation_;
  workers::Capacity limit_; ///< 0: no limit.

  auto operator<=>(const Quota&) const = default;
};

/** What quotas are divided among whom. */
struct QuotaPlan
{
  std::vector<Quota> quotas_;      ///< Those that limit at least one resource.
  std::vector<std::string> cells_; ///< All configured cells.

  bool operator==(const QuotaPlan&) const = default;
};

/** One report of a cell. */
struct CellDemand
{
  std::string cell_;
  std::int64_t fence_ = 0;
  std::int64_t sequence_ = 0;
  bool isSynchronized_ = false;
  std::vector<Demand> organisations_;
};

/** What one cell has of one quota. */
struct CellShare
{
  Demand demand_; ///< As last reported.
  workers::Capacity granted_;
  workers::Capacity inherited_; ///< Kept for an earlier owner's runs until all of them are known.
  workers::Capacity target_;    ///< By the last division.
  clock::Moment wantedAt_{};    ///< When it was last reported to use or want anything.
};

/** The shares of one quota. */
struct QuotaShares
{
  std::map<std::string, CellShare> cells_;
  workers::Capacity reserved_; ///< Sum over all cells.
  workers::Capacity quota_;    ///< Of the last division.
  clock::Moment knownSince_{};
  clock::Moment dividedAt_{};
};

/** The last report of a cell. */
struct CellStatus
{
  std::int64_t fence_ = 0;
  std::int64_t sequence_ = 0;
  bool isSynchronized_ = false;
  clock::Moment reportedAt_{};
};

/** All shares. A new owner of the fleet begins with an empty table, which is frozen. */
struct QuotaTable
{
  clock::Moment begunAt_{};
  bool isFrozen_ = true;
  std::map<std::string, CellStatus> cells_;
  std::map<std::string, QuotaShares> organisations_;
};

/** Returns the quotas that limit at least one resource. */
std::vector<Quota>
QuotasOf(const std::vector<Organisation>& aOrganisations);

/** Returns what a cell may be using of a quota. */
workers::Capacity
ReservationOf(const CellShare& aShare);

/** Records a report and returns the grants that answer it. An organisation without an entry gets
 * nothing, and so does a report that is older than one that is known. A grant never raises the sum
 * of reservations above the quota. */
std::vector<Grant>
GrantQuotas(QuotaTable& aTable,
            const QuotaPlan& aPlan,
            const CellDemand& aDemand,
            clock::Moment aNow);

/** Returns the grants that a cell holds, unchanged. */
std::vector<Grant>
ConfirmGrants(const CellDemand& aDemand);

} // namespace quetzal::organisations
