#include "include/quetzal/node/NodeProcess.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "src/node/Messages.h"

#include <QtCore/QPointer>
#include <algorithm>

namespace quetzal::node {
namespace {

using clock::Now;

constexpr clock::Milliseconds kPeriodicInterval{ 120 };
/** How long a cell that is being handed over may take to finish its pending writes. */
constexpr clock::Milliseconds kHandOverTimeout{ 900 };
/** How long a stopping owner of the fleet waits for the hand-over of the owner before it. */
constexpr clock::Milliseconds kFleetHandOverTimeout{ 2'000 };
constexpr clock::Milliseconds kReportTimeout{ 700 };
/** New requests arrive until the readiness check has been seen to fail. */
constexpr clock::Milliseconds kMinServingTimeDuringStop{ 3'200 };
} // namespace

NodeProcess::NodeProcess(const NodeSettings& aSettings, Ports aPorts, metrics::Registry& aMetrics)
  : settings_(aSettings)
  , ports_(std::move(aPorts))
  , metrics_(aMetrics)
  , membership_(*ports_.store_,
                aSettings.name_,
                { aSettings.peers_.address_,
                  aSettings.peers_.port_,
                  aSettings.availabilityZone_,
                  false,
                  aSettings.processorShare_,
                  {},
                  {} },
                nullptr)
  , links_(nullptr)
  , router_(aSettings.name_,
            { &membership_,
              &links_,
              ports_.store_,
              &metrics_,
              [this](const std::string& aCell) {
                const auto owned = cells_.find(aCell);
                return owned == cells_.end() ? nullptr : owned->second.cell_;
              } },
            nullptr)
  , relay_(
      aSettings.name_,
      *ports_.platformState_,
      links_,
      [this] { return membership_.Hosts(); },
      metrics_)
  , startedAt_(Now())
  , stopSchedule_(process::MakeStopSchedule(aSettings.stopTime_, kMinServingTimeDuringStop))
{
  connect(&periodicTimer_, &QTimer::timeout, this, &NodeProcess::OnPeriodicTimer);
  connect(&membership_, &Membership::Changed, this, [this] {
    DropLostCells();
    ClaimCells();
    if (stopping_) {
      ReleaseUnservedCells();
    }
  });
  connect(&membership_, &Membership::LeaseLost, this, &NodeProcess::DropAll);
  connect(
    ports_.platformState_, &PlatformState::ConfigurationChanged, this, &NodeProcess::ClaimCells);
}

void
NodeProcess::Start()
{
  links_.Serve(settings_.peers_, [this](auto aMethod, const auto& aBody, const auto& aReply) {
    ServePeer(aMethod, aBody, aReply);
  });
  membership_.Start();
  periodicTimer_.start(kPeriodicInterval);
}

void
NodeProcess::OnPeriodicTimer()
{
  relay_.AskIfDue();
  ClaimCells();
  for (const auto& [cell, owned] : cells_) {
    SendReport(cell);
  }
  if (stopping_) {
    ContinueHandOver();
    return;
  }
  membership_.PublishWidths(CellWidths());
  BalanceCells();
  ReleaseDrainedCells();
}

// --- Ownership -----------------------------------------------------------------------------------

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

// --- Callers -------------------------------------------------------------------------------------

const jobs::Configuration*
NodeProcess::Configuration() const
{
  return ports_.platformState_->HasConfiguration() ? &ports_.platformState_->Configuration()
                                                   : nullptr;
}

bool
NodeProcess::IsReady() const
{
  return !stopping_ && ports_.platformState_->HasConfiguration() && membership_.IsLoaded() &&
         membership_.IsStoreReachable();
}

std::uint64_t
NodeProcess::Handle(const JobRequest& aRequest, cells::AnswerCallback aDone)
{
  JobRequest request = aRequest;
  if (stopping_) {
    const auto timeout = process::TimeoutDuringStop(stopSchedule_, SinceStop(), aRequest.timeout_);
    if (!timeout) {
      aDone(MakeRefusal());
      return 0;
    }
    request.timeout_ = *timeout;
  }
  return router_.Handle(request, std::move(aDone));
}

void
NodeProcess::OnCallerLeft(std::uint64_t aNumber)
{
  router_.Requests().OnCallerLeft(aNumber);
}

// --- Peers ---------------------------------------------------------------------------------------

void
NodeProcess::ServePeer(PeerMethod aMethod,
                       const std::string& aBody,
                       const std::function<void(const std::string&)>& aReply)
{
  if (aMethod == PeerMethod::kReport) {
    ReportCall call;
    ReportReply reply;
    const auto report = jobs::Decode(aBody, call) ? FromCall(call) : std::nullopt;
    if (!report) {
      log::Warn("node", "event=report-ignored cell=", call.service_, " bytes=", aBody.size());
    } else if (fleet_ != nullptr) {
      reply = ToReply(fleet_->OnReport(*report));
    }
    aReply(jobs::Encode(reply));
    return;
  }
  if (aMethod == PeerMethod::kConfiguration) {
    aReply(relay_.AnswerTo(aBody));
    return;
  }
  router_.HandleCall(aBody, aReply);
}

void
NodeProcess::SendReport(const std::string& aCell)
{
  OwnedCell& owned = cells_.at(aCell);
  if (owned.reporting_) {
    return;
  }
  const cells::CellReport report = owned.cell_->Report();
  if (fleet_ != nullptr) {
    ApplyOrders(aCell, report.sequence_, fleet_->OnReport(report));
    return;
  }
  const auto owner = membership_.OwnerOf(kFleetCell);
  if (!owner || owner->owner_ == settings_.name_) {
    return;
  }
  owned.reporting_ = true;
  const settings::Endpoint peer{ owner->address_, static_cast<std::uint16_t>(owner->port_) };
  links_.Call(peer,
              PeerMethod::kReport,
              jobs::Encode(ToCall(report)),
              kReportTimeout,
              [this, aCell, sequence = report.sequence_](const CallResult& aResult) {
                const auto ownedCell = cells_.find(aCell);
                if (ownedCell == cells_.end()) {
                  return;
                }
                ownedCell->second.reporting_ = false;
                ReportReply reply;
                const bool isAnswered = aResult.failure_ == CallFailure::kNone &&
                                        jobs::Decode(aResult.body_, reply) && reply.owned_;
                if (const auto orders = isAnswered ? FromReply(reply) : std::nullopt) {
                  ApplyOrders(aCell, sequence, *orders);
                } else if (isAnswered) {
                  log::Warn("node", "event=orders-ignored cell=", aCell);
                }
              });
}

void
NodeProcess::ApplyOrders(const std::string& aCell,
                         std::int64_t aSequence,
                         const CellOrders& aOrders)
{
  cells::Cell& cell = *cells_.at(aCell).cell_;
  cell.TakeGrants(aSequence, aOrders.hasGrants_, aOrders.grants_);
  cell.MarkTerminated(aOrders.terminated_);
  cell.CordonWorkers(aOrders.cordoned_);
  for (const std::string& worker : aOrders.evict_) {
    cell.EvictTasks(worker);
  }
}

// --- Stopping ------------------------------------------------------------------------------------

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
