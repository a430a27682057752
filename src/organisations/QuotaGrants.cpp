#include "include/quetzal/organisations/QuotaGrants.h"

#include "include/quetzal/organisations/QuotaUse.h"
#include "include/quetzal/organisations/Resources.h"

#include <string_view>

namespace quetzal::organisations {
namespace {

using workers::Capacity;

/** Shares are divided anew at this interval for each cell that has any, not at each report. This
 * bounds the processor time: it grows with the square of the number of cells otherwise. */
constexpr clock::Milliseconds kDivisionIntervalPerCell{ 4 };
/** A cell gets headroom for an organisation for this time after it used or wanted anything.
 * Headroom for all would put every organisation into every report. */
constexpr clock::Milliseconds kInterestTime{ 10'000 };
/** Nothing is granted of a new quota before every cell has had the time for some reports. */
constexpr clock::Milliseconds kNewQuotaFreeze{ 400 };
/** After this time without a report the runs of a cell that is not configured have lapsed. */
constexpr clock::Milliseconds kRemovedCellTime = kMaxFreeze;
/** Part of what nobody wants that is given out as headroom: half. */
constexpr std::int64_t kHeadroomDivisor = 2;

bool
IsOutdated(const CellStatus& aKnown, const CellDemand& aDemand)
{
  return aDemand.fence_ < aKnown.fence_ ||
         (aDemand.fence_ == aKnown.fence_ && aDemand.sequence_ <= aKnown.sequence_);
}

/** Keeps what a cell may be using for its earlier owner's runs. */
void
BeginOwner(QuotaTable& aTable, const std::string& aCell)
{
  for (auto& [name, shares] : aTable.organisations_) {
    if (const auto share = shares.cells_.find(aCell); share != shares.cells_.end()) {
      const Capacity inherited = ReservationOf(share->second);
      share->second = {};
      share->second.inherited_ = inherited;
    }
  }
}

void
RecordStatus(QuotaTable& aTable, const CellDemand& aDemand, clock::Moment aNow)
{
  CellStatus& status = aTable.cells_[aDemand.cell_];
  if (status.fence_ != 0 && aDemand.fence_ > status.fence_) {
    BeginOwner(aTable, aDemand.cell_);
    status.isSynchronized_ = false;
  }
  status.fence_ = aDemand.fence_;
  status.sequence_ = aDemand.sequence_;
  status.isSynchronized_ = status.isSynchronized_ || aDemand.isSynchronized_;
  status.reportedAt_ = aNow;
}

void
Thaw(QuotaTable& aTable, const QuotaPlan& aPlan, clock::Moment aNow)
{
  const bool areAllKnown =
    std::all_of(aPlan.cells_.begin(), aPlan.cells_.end(), [&aTable](const std::string& aCell) {
      const auto status = aTable.cells_.find(aCell);
      return status != aTable.cells_.end() && status->second.isSynchronized_;
    });
  aTable.isFrozen_ = !areAllKnown && aNow - aTable.begunAt_ < kMaxFreeze;
}

void
RemoveLeftCells(QuotaTable& aTable, const QuotaPlan& aPlan, clock::Moment aNow)
{
  for (auto cell = aTable.cells_.begin(); cell != aTable.cells_.end();) {
    const bool isRecent = aNow - cell->second.reportedAt_ <= kRemovedCellTime;
    if (isRecent ||
        std::find(aPlan.cells_.begin(), aPlan.cells_.end(), cell->first) != aPlan.cells_.end()) {
      ++cell;
      continue;
    }
    for (auto& [name, shares] : aTable.organisations_) {
      if (const auto share = shares.cells_.extract(cell->first); !share.empty()) {
        AddTo(shares.reserved_, ReservationOf(share.mapped()), -1);
      }
    }
    cell = aTable.cells_.erase(cell);
  }
}

void
RemoveLeftQuotas(QuotaTable& aTable, const QuotaPlan& aPlan)
{
  std::erase_if(aTable.organisations_, [&aPlan](const auto& aEntry) {
    return std::none_of(aPlan.quotas_.begin(), aPlan.quotas_.end(), [&aEntry](const Quota& aQuota) {
      return aQuota.organisation_ == aEntry.first;
    });
  });
}

/** The demands of one report, by organisation. */
using Demands = std::map<std::string_view, const Demand*>;

Demands
DemandsOf(const CellDemand& aDemand)
{
  Demands demands;
  for (const Demand& demand : aDemand.organisations_) {
    demands.try_emplace(demand.organisation_, &demand);
  }
  return demands;
}

/** Changes a share by a function, and keeps the sum of reservations. */
template<typename Change>
void
ChangeShare(QuotaShares& aShares, CellShare& aShare, Change aChange)
{
  AddTo(aShares.reserved_, ReservationOf(aShare), -1);
  aChange(aShare);
  AddTo(aShares.reserved_, ReservationOf(aShare));
}

/** Replaces a cell's demand by a newer one. The earlier grant is no longer reserved: the cell holds
 * it, which the report says, or will never hold it. @return whether the cell had no share. */
bool
RecordDemand(QuotaShares& aShares,
             const std::string& aCell,
             const Demand* aDemand,
             bool aIsSynchronized,
             clock::Moment aNow)
{
  bool isNew = false;
  auto share = aShares.cells_.find(aCell);
  if (share == aShares.cells_.end()) {
    if (aDemand == nullptr) {
      return false;
    }
    share = aShares.cells_.try_emplace(aCell).first;
    isNew = true;
  }
  ChangeShare(aShares, share->second, [&](CellShare& aShare) {
    aShare.demand_ = aDemand == nullptr ? Demand{} : *aDemand;
    aShare.granted_ = {};
    aShare.inherited_ = aIsSynchronized ? Capacity{} : aShare.inherited_;
    if (aShare.demand_.used_ != Capacity{} || aShare.demand_.wanted_ != Capacity{}) {
      aShare.wantedAt_ = aNow;
    }
  });
  const bool isOfInterest = aNow - share->second.wantedAt_ <= kInterestTime;
  if (!isOfInterest && ReservationOf(share->second) == Capacity{}) {
    aShares.cells_.erase(share);
  }
  return isNew;
}

bool
Fits(const Capacity& aNeed, const Capacity& aRoom, const Capacity& aQuota)
{
  return MayStart(aRoom, {}, aNeed, aQuota);
}

/** Gives each cell its use, and returns what is left. */
Capacity
GiveUse(QuotaShares& aShares, const Capacity& aQuota)
{
  Capacity left = aQuota;
  for (auto& [name, share] : aShares.cells_) {
    share.target_ = share.demand_.used_;
    AddTo(left, share.demand_.used_, -1);
    AddTo(left, share.inherited_, -1);
  }
  return Larger(left, {});
}

/** Gives each cell with waiting tasks its next one, the longest wait first. A task for which too
 * little is left holds back none that is smaller. */
void
GiveNextTasks(QuotaShares& aShares, const Capacity& aQuota, Capacity& aLeft)
{
  std::vector<CellShare*> waiting;
  for (auto& [name, share] : aShares.cells_) {
    if (share.demand_.nextNeed_ != Capacity{}) {
      waiting.push_back(&share);
    }
  }
  std::stable_sort(
    waiting.begin(), waiting.end(), [](const CellShare* aLeftOne, const CellShare* aRightOne) {
      return aLeftOne->demand_.waitingMs_ > aRightOne->demand_.waitingMs_;
    });
  for (CellShare* share : waiting) {
    const Capacity need = CountedNeed(share->demand_.nextNeed_, aQuota);
    if (Fits(need, aLeft, aQuota)) {
      AddTo(share->target_, need);
      AddTo(aLeft, need, -1);
    }
  }
}

/** Divides what is left of one resource max-min fairly by what the cells still want of it. */
void
GiveFairly(const std::vector<CellShare*>& aCells, Resource aResource, Capacity& aLeft)
{
  const auto missing = [aResource](const CellShare* aShare) {
    return std::max<std::int64_t>(aShare->demand_.wanted_.*aResource - aShare->target_.*aResource,
                                  0);
  };
  std::vector<CellShare*> cells = aCells;
  std::stable_sort(
    cells.begin(), cells.end(), [&missing](const CellShare* aOne, const CellShare* aOther) {
      return missing(aOne) < missing(aOther);
    });
  auto others = static_cast<std::int64_t>(cells.size());
  for (CellShare* share : cells) {
    const std::int64_t given = std::min(missing(share), aLeft.*aResource / others);
    share->target_.*aResource += given;
    aLeft.*aResource -= given;
    --others;
  }
}

void
Divide(QuotaShares& aShares, const Capacity& aQuota, clock::Moment aNow)
{
  aShares.dividedAt_ = aNow;
  aShares.quota_ = aQuota;
  Capacity left = GiveUse(aShares, aQuota);
  GiveNextTasks(aShares, aQuota, left);
  std::vector<CellShare*> cells;
  for (auto& [name, share] : aShares.cells_) {
    cells.push_back(&share);
  }
  for (const Resource resource : kResources) {
    if (aQuota.*resource <= 0 || cells.empty()) {
      continue;
    }
    GiveFairly(cells, resource, left);
    const std::int64_t headroom =
      left.*resource / kHeadroomDivisor / static_cast<std::int64_t>(cells.size());
    for (CellShare* share : cells) {
      share->target_.*resource += headroom;
    }
  }
}

bool
IsDivisionDue(const QuotaShares& aShares, const Capacity& aQuota, clock::Moment aNow)
{
  const auto cells = static_cast<std::int64_t>(aShares.cells_.size());
  return aShares.quota_ != aQuota || aNow - aShares.dividedAt_ >= cells * kDivisionIntervalPerCell;
}

/** Returns the grant for a cell: its target, but no more than the others' reservations leave. */
Capacity
GrantOf(const QuotaShares& aShares, const CellShare& aShare, const Capacity& aQuota)
{
  Capacity available = aQuota;
  AddTo(available, aShares.reserved_, -1);
  AddTo(available, ReservationOf(aShare));
  AddTo(available, aShare.inherited_, -1);
  Capacity grant;
  for (const Resource resource : kResources) {
    if (aQuota.*resource > 0) {
      grant.*resource =
        std::max<std::int64_t>(std::min(aShare.target_.*resource, available.*resource), 0);
    }
  }
  return grant;
}

} // namespace

std::vector<Quota>
QuotasOf(const std::vector<Organisation>& aOrganisations)
{
  std::vector<Quota> quotas;
  for (const Organisation& organisation : aOrganisations) {
    if (IsLimiting(organisation.quota_)) {
      quotas.push_back({ organisation.name_, organisation.quota_ });
    }
  }
  return quotas;
}

Capacity
ReservationOf(const CellShare& aShare)
{
  Capacity reserved = Larger(Larger(aShare.demand_.held_, aShare.demand_.used_), aShare.granted_);
  AddTo(reserved, aShare.inherited_);
  return reserved;
}

std::vector<Grant>
ConfirmGrants(const CellDemand& aDemand)
{
  std::vector<Grant> grants;
  for (const Demand& demand : aDemand.organisations_) {
    if (demand.held_ != Capacity{}) {
      grants.push_back({ demand.organisation_, demand.held_ });
    }
  }
  return grants;
}

std::vector<Grant>
GrantQuotas(QuotaTable& aTable,
            const QuotaPlan& aPlan,
            const CellDemand& aDemand,
            clock::Moment aNow)
{
  if (aPlan.quotas_.empty()) {
    aTable = {}; // A later quota finds no use reported, so that its table begins frozen.
    return {};
  }
  if (aTable.begunAt_ == clock::Moment{}) {
    aTable.begunAt_ = aNow;
  }
  if (const auto known = aTable.cells_.find(aDemand.cell_);
      known != aTable.cells_.end() && IsOutdated(known->second, aDemand)) {
    return {};
  }
  RecordStatus(aTable, aDemand, aNow);
  RemoveLeftCells(aTable, aPlan, aNow);
  if (aTable.organisations_.size() > aPlan.quotas_.size()) {
    RemoveLeftQuotas(aTable, aPlan);
  }
  if (aTable.isFrozen_) {
    Thaw(aTable, aPlan, aNow);
  }
  std::vector<Grant> grants;
  const Demands demands = DemandsOf(aDemand);
  const bool isSynchronized = aTable.cells_[aDemand.cell_].isSynchronized_;
  for (const Quota& quota : aPlan.quotas_) {
    const auto [entry, isNew] = aTable.organisations_.try_emplace(quota.organisation_);
    QuotaShares& shares = entry->second;
    if (isNew) {
      shares.knownSince_ = aNow;
    }
    const auto demand = demands.find(quota.organisation_);
    const bool isNewShare = RecordDemand(shares,
                                         aDemand.cell_,
                                         demand == demands.end() ? nullptr : demand->second,
                                         isSynchronized,
                                         aNow);
    const auto share = shares.cells_.find(aDemand.cell_);
    if (share == shares.cells_.end()) {
      continue;
    }
    // With the table's first quotas, its own freeze is long enough.
    const bool isNewQuota =
      shares.knownSince_ > aTable.begunAt_ && aNow - shares.knownSince_ < kNewQuotaFreeze;
    Capacity grant = share->second.demand_.held_;
    if (!aTable.isFrozen_ && !isNewQuota) {
      if (isNewShare || IsDivisionDue(shares, quota.limit_, aNow)) {
        Divide(shares, quota.limit_, aNow);
      }
      grant = GrantOf(shares, share->second, quota.limit_);
    }
    ChangeShare(shares, share->second, [&grant](CellShare& aShare) { aShare.granted_ = grant; });
    if (grant != Capacity{}) {
      grants.push_back({ quota.organisation_, grant });
    }
  }
  return grants;
}

} // namespace quetzal::organisations
