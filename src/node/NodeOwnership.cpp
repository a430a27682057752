#include "include/quetzal/node/NodeProcess.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

/** Cells and the fleet that a process owns: how it claims and loses them. */
namespace quetzal::node {
namespace {

using clock::Now;

} // namespace

jobs::OwnerRecord
NodeProcess::MakeOwnerRecord() const
{
  jobs::OwnerRecord record;
  record.owner_ = settings_.name_;
  record.address_ = settings_.peers_.address_;
  record.port_ = settings_.peers_.port_;
  record.incarnation_ = membership_.Incarnation();
  return record;
}

std::vector<std::string>
NodeProcess::ConfiguredCells() const
{
  std::vector<std::string> configured{ kFleetCell };
  for (const jobs::Service& service : ports_.platformState_->Configuration().services_) {
    if (!service.standby_) {
      configured.push_back(service.name_);
    }
  }
  return configured;
}

void
NodeProcess::ClaimCells()
{
  const clock::Moment now = Now();
  if (stopping_ || !ports_.platformState_->HasConfiguration() || !membership_.IsLoaded() ||
      !membership_.HoldsLease()) {
    return;
  }
  for (const std::string& cell : ConfiguredCells()) {
    const bool isOwned = cell == kFleetCell ? fleet_ != nullptr : cells_.contains(cell);
    if (isOwned || claims_.contains(cell) || releasing_.contains(CellKey(cell))) {
      continue;
    }
    const auto owner = membership_.OwnerOf(cell);
    if (owner && owner->owner_ != settings_.name_) {
      vacantSince_.erase(cell);
      continue;
    }
    if (owner) {
      // The cell is owned by an earlier incarnation of this process, or under an earlier lease.
      Claim(cell);
      continue;
    }
    const auto since = vacantSince_.try_emplace(cell, now).first->second;
    if (IsClaimDue({ startedAt_, since, ClaimRankFor(cell) }, now)) {
      Claim(cell);
    }
  }
}

std::size_t
NodeProcess::ClaimRankFor(const std::string& aCell) const
{
  OwnerCandidates candidates = membership_.Candidates();
  const auto self = candidates.find(settings_.name_);
  if (self != candidates.end()) {
    for (const auto& [cell, claim] : claims_) {
      self->second.load_ += membership_.LoadOf(cell).load_;
    }
  }
  return ClaimRank(settings_.name_, membership_.LoadOf(aCell), candidates);
}

void
NodeProcess::Claim(const std::string& aCell)
{
  log::Info("node",
            "event=claim cell=",
            aCell,
            " expected=",
            membership_.CellRevision(aCell),
            " lease=",
            membership_.Lease());
  auto* claim = new CellClaim(*ports_.store_,
                              aCell,
                              MakeOwnerRecord(),
                              membership_.Lease(),
                              membership_.CellRevision(aCell),
                              this);
  claims_[aCell] = claim;
  if (aCell != kFleetCell) {
    ports_.platformState_->WatchWorkers(true);
  }
  connect(claim, &CellClaim::Won, this, [this, aCell](const ClaimedCell& aClaimed) {
    if (const auto claimed = claims_.extract(aCell); !claimed.empty()) {
      claimed.mapped()->deleteLater();
      OnClaimWon(aCell, aClaimed);
    }
  });
  connect(claim, &CellClaim::Failed, this, [this, aCell] {
    if (const auto failed = claims_.extract(aCell); !failed.empty()) {
      failed.mapped()->deleteLater();
      vacantSince_[aCell] = Now();
    }
  });
  claim->Start();
}

void
NodeProcess::OnClaimWon(const std::string& aCell, const ClaimedCell& aClaimed)
{
  vacantSince_.erase(aCell);
  metrics_.Add("quetzal_cells_won_total", { { "cell", aCell } });
  if (aCell == kFleetCell) {
    StartFleetManager(aClaimed);
    return;
  }
  cells::CellContext context;
  context.store_ = ports_.store_;
  context.platformState_ = ports_.platformState_;
  context.makeWorker_ = ports_.makeWorker_;
  context.advice_ = ports_.advice_;
  context.metrics_ = &metrics_;
  context.times_ = settings_.leaseTimes_;
  context.sinceLeaseLapse_ = [this] { return membership_.LeaseLapse(); };
  context.retention_ = settings_.retention_;
  context.moveTime_ = settings_.moveTime_;
  context.farFactor_ = settings_.farFactor_;
  auto* cell = new cells::Cell(
    aCell, context, MakeOwnerRecord(), aClaimed.fence_, aClaimed.predecessorState_, this);
  cells_[aCell] = { cell, aClaimed.keyRevision_, Now(), false, std::nullopt };
  connect(cell, &cells::Cell::OwnershipLost, this, [this, aCell] { DropCell(aCell); });
}

void
NodeProcess::StartFleetManager(const ClaimedCell& aClaimed)
{
  FleetOptions options;
  options.orderGap_ = settings_.fleetOrderGap_ + clock::Milliseconds(200);
  options.maintenanceTime_ = settings_.maintenanceTime_;
  options.ordersPerSecond_ = settings_.hostOrdersPerSecond_;
  options.readsPerSecond_ = settings_.hostReadsPerSecond_;
  FleetOwnership ownership;
  ownership.holder_ = settings_.name_;
  ownership.fence_ = aClaimed.fence_;
  ownership.predecessorFence_ = aClaimed.chainRevisionBefore_;
  ownership.predecessorWasSelf_ = aClaimed.previousOwner_ == settings_.name_;
  ownership.isHeld_ = [this] { return membership_.HoldsLease(); };
  fleetKeyRevision_ = aClaimed.keyRevision_;
  fleet_ = new FleetManager(
    *ports_.hosts_, *ports_.store_, *ports_.platformState_, metrics_, ownership, options, this);
}

void
NodeProcess::DropCell(const std::string& aCell)
{
  const auto owned = cells_.extract(aCell);
  if (owned.empty()) {
    return;
  }
  log::Warn("node", "event=cell-dropped cell=", aCell);
  owned.mapped().cell_->Abandon();
  owned.mapped().cell_->deleteLater();
  if (cells_.empty() && claims_.empty()) {
    ports_.platformState_->WatchWorkers(false);
  }
}

void
NodeProcess::DropAll()
{
  while (!cells_.empty()) {
    DropCell(std::string(cells_.begin()->first));
  }
  while (!claims_.empty()) {
    AbandonClaim(std::string(claims_.begin()->first));
  }
  StopFleetManager();
}

void
NodeProcess::StopFleetManager()
{
  if (fleet_ != nullptr) {
    fleet_->Stop();
    fleet_->deleteLater();
    fleet_ = nullptr;
  }
}

void
NodeProcess::DropLostCells()
{
  std::vector<std::string> lostCells;
  for (const auto& [cell, owned] : cells_) {
    if (membership_.CellRevision(cell) > owned.keyRevision_) {
      lostCells.push_back(cell);
    }
  }
  for (const std::string& cell : lostCells) {
    DropCell(cell);
  }
  if (fleet_ != nullptr && membership_.CellRevision(kFleetCell) > fleetKeyRevision_) {
    log::Warn("node", "event=fleet-dropped");
    StopFleetManager();
  }
}

} // namespace quetzal::node
