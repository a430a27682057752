#include "include/quetzal/node/NodeProcess.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <algorithm>

/** What a process hands over: all at a stop, and cells that another host should own. */
namespace quetzal::node {
namespace {

using clock::Now;

/** How long a cell that is being handed over may take to finish its pending writes. */
constexpr clock::Milliseconds kHandOverTimeout{ 900 };
/** How long a stopping owner of the fleet waits for the hand-over of the owner before it. */
constexpr clock::Milliseconds kFleetHandOverTimeout{ 2'000 };

} // namespace

void
NodeProcess::Stop()
{
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stopStartedAt_ = Now();
  QTimer::singleShot(
    stopSchedule_.lastAnswer_, Qt::PreciseTimer, &router_.Requests(), &OpenRequests::AnswerAll);
  log::Info("node", "event=stop cells=", cells_.size(), " fleet=", fleet_ != nullptr);
  membership_.AnnounceStop(CellWidths());
  AbandonClaims();
  for (const auto& [name, owned] : cells_) {
    StartHandOver(name);
  }
  ContinueHandOver();
}

void
NodeProcess::AbandonClaim(const std::string& aCell)
{
  if (const auto claim = claims_.extract(aCell); !claim.empty()) {
    claim.mapped()->disconnect(this);
    claim.mapped()->deleteLater();
  }
}

/** Abandons the claims of a process that stops, but not a claim of the fleet that the store may
 * have carried out: the next owner learns the orders of earlier owners only from a hand-over. */
void
NodeProcess::AbandonClaims()
{
  std::vector<std::string> abandoned;
  for (const auto& [cell, claim] : claims_) {
    if (cell != kFleetCell || !claim->IsSent()) {
      abandoned.push_back(cell);
    }
  }
  for (const std::string& cell : abandoned) {
    AbandonClaim(cell);
  }
}

/** Releases the cells that this process owns and does not serve: the store carried out their claim
 * after it was abandoned, or did not carry out their release. */
void
NodeProcess::ReleaseUnservedCells()
{
  for (const std::string& cell : membership_.OwnCells()) {
    const bool isFleetInUse = cell == kFleetCell && fleet_ != nullptr;
    if (isFleetInUse || cells_.contains(cell) || claims_.contains(cell) ||
        releasing_.contains(CellKey(cell))) {
      continue;
    }
    Release(CellKey(cell),
            membership_.CellRevision(cell),
            cell == kFleetCell ? fleetHandOver_ : std::vector<store::Write>());
  }
}

void
NodeProcess::HandOverFleet()
{
  if (fleet_ == nullptr) {
    return;
  }
  fleet_->Stop();
  if (!fleet_->HasReadHandOver() && SinceStop() < kFleetHandOverTimeout) {
    return;
  }
  fleetHandOver_ = { { kFleetHandOverKey, jobs::Encode(fleet_->HandOver()), 0 } };
  Release(CellKey(kFleetCell), fleetKeyRevision_, fleetHandOver_);
  StopFleetManager();
}

clock::Milliseconds
NodeProcess::SinceStop() const
{
  return std::chrono::duration_cast<clock::Milliseconds>(Now() - stopStartedAt_);
}

bool
NodeProcess::MayEndListening(bool aIsIdle) const
{
  return stopping_ && process::MayEndListening(stopSchedule_, SinceStop(), aIsIdle);
}

bool
NodeProcess::IsLastAnswerDue() const
{
  return stopping_ && SinceStop() >= stopSchedule_.lastAnswer_;
}

bool
NodeProcess::MayExit(bool aIsIdle) const
{
  return stopping_ && process::MayExit(stopSchedule_, SinceStop(), aIsIdle && HasReleasedAll());
}

bool
NodeProcess::HasReleasedAll() const
{
  return cells_.empty() && fleet_ == nullptr && claims_.empty() && releasing_.empty() &&
         membership_.OwnCells().empty();
}

std::map<std::string, std::size_t>
NodeProcess::CellWidths() const
{
  std::map<std::string, std::size_t> widths;
  for (const auto& [name, owned] : cells_) {
    widths[name] = owned.cell_->Width();
  }
  return widths;
}

bool
NodeProcess::IsAnyCellVacant() const
{
  const std::vector<std::string> configured = ConfiguredCells();
  return std::any_of(configured.begin(), configured.end(), [this](const auto& aCell) {
    return !membership_.OwnerOf(aCell).has_value();
  });
}

BalanceState
NodeProcess::MakeBalanceState() const
{
  BalanceState state;
  state.host_ = settings_.name_;
  state.candidates_ = membership_.Candidates();
  state.lastStopAt_ = membership_.LastStopAt();
  state.isAnyCellVacant_ = IsAnyCellVacant();
  double ownLoad = fleet_ == nullptr ? 0 : membership_.LoadOf(kFleetCell).load_;
  for (const auto& [name, owned] : cells_) {
    const CellLoad load = LoadOfCell(name, owned.cell_->Width());
    state.cells_.push_back({ load, owned.ownedSince_ });
    ownLoad += load.load_;
  }
  const auto self = state.candidates_.find(settings_.name_);
  if (self != state.candidates_.end()) {
    self->second.load_ = ownLoad;
  }
  return state;
}

void
NodeProcess::BalanceCells()
{
  const bool isHandingOver = std::any_of(cells_.begin(), cells_.end(), [](const auto& aEntry) {
    return aEntry.second.handOverSince_.has_value();
  });
  if (cells_.empty() || isHandingOver || !claims_.empty() || !membership_.HoldsLease()) {
    unbalancedSince_.reset();
    return;
  }
  const clock::Moment now = Now();
  const BalanceState state = MakeBalanceState();
  const auto cell = CellToHandOver(state, now);
  if (!cell) {
    unbalancedSince_.reset();
    return;
  }
  if (!unbalancedSince_) {
    unbalancedSince_ = now;
  }
  if (now - *unbalancedSince_ < BalanceDelay(state)) {
    return;
  }
  unbalancedSince_.reset();
  log::Info("node",
            "event=balance cell=",
            *cell,
            " cells=",
            cells_.size(),
            " live_jobs=",
            cells_.at(*cell).cell_->LiveJobs(),
            " width=",
            cells_.at(*cell).cell_->Width());
  metrics_.Add("quetzal_cells_balanced_total", {});
  StartHandOver(*cell);
}

void
NodeProcess::StartHandOver(const std::string& aCell)
{
  OwnedCell& owned = cells_.at(aCell);
  if (!owned.handOverSince_) {
    owned.handOverSince_ = Now();
    owned.cell_->BeginHandOver();
  }
}

void
NodeProcess::ReleaseDrainedCells()
{
  std::vector<std::string> drained;
  for (const auto& [name, owned] : cells_) {
    if (owned.handOverSince_ &&
        (owned.cell_->IsIdle() || Now() - *owned.handOverSince_ > kHandOverTimeout)) {
      drained.push_back(name);
    }
  }
  for (const std::string& name : drained) {
    Release(CellKey(name), cells_.at(name).keyRevision_);
    DropCell(name);
  }
}

void
NodeProcess::ContinueHandOver()
{
  HandOverFleet();
  ReleaseDrainedCells();
  ReleaseUnservedCells();
  if (cells_.empty() && !handedOver_) {
    handedOver_ = true;
    Q_EMIT HandedOver();
  }
}

void
NodeProcess::Release(const std::string& aKey,
                     std::int64_t aRevision,
                     const std::vector<store::Write>& aPuts)
{
  store::Transaction change;
  change.puts_ = aPuts;
  change.expected_.push_back({ aKey, aRevision });
  change.removes_.push_back(aKey);
  releasing_.insert(aKey);
  const QPointer<NodeProcess> self(this);
  ports_.store_->Commit(change, [self, aKey](const store::CommitResult& aResult) {
    log::Info("node", "event=released key=", aKey, " status=", store::ToString(aResult.status_));
    if (self) {
      self->releasing_.erase(aKey);
    }
  });
}

} // namespace quetzal::node
