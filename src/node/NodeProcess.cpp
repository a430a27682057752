#include "include/quetzal/node/NodeProcess.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "src/node/Messages.h"

namespace quetzal::node {
namespace {

using clock::Now;

constexpr clock::Milliseconds kPeriodicInterval{ 120 };
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
    ApplyOrders(aCell, report.sequence_, Now(), fleet_->OnReport(report));
    return;
  }
  const auto owner = membership_.OwnerOf(kFleetCell);
  if (!owner || owner->owner_ == settings_.name_) {
    return;
  }
  owned.reporting_ = true;
  const settings::Endpoint peer{ owner->address_, static_cast<std::uint16_t>(owner->port_) };
  links_.Call(
    peer,
    PeerMethod::kReport,
    jobs::Encode(ToCall(report)),
    kReportTimeout,
    [this, aCell, sequence = report.sequence_, sentAt = Now()](const CallResult& aResult) {
      const auto ownedCell = cells_.find(aCell);
      if (ownedCell == cells_.end()) {
        return;
      }
      ownedCell->second.reporting_ = false;
      ReportReply reply;
      const bool isAnswered = aResult.failure_ == CallFailure::kNone &&
                              jobs::Decode(aResult.body_, reply) && reply.owned_;
      if (const auto orders = isAnswered ? FromReply(reply) : std::nullopt) {
        ApplyOrders(aCell, sequence, sentAt, *orders);
      } else if (isAnswered) {
        log::Warn("node", "event=orders-ignored cell=", aCell);
      }
    });
}

void
NodeProcess::ApplyOrders(const std::string& aCell,
                         std::int64_t aSequence,
                         clock::Moment aReportedAt,
                         const CellOrders& aOrders)
{
  cells::Cell& cell = *cells_.at(aCell).cell_;
  cell.TakeGrants(aSequence, aOrders.hasGrants_, aOrders.grants_);
  cell.MarkTerminated(aOrders.terminated_, aReportedAt - aOrders.listAge_);
  cell.CordonWorkers(aOrders.cordoned_);
  for (const std::string& worker : aOrders.evict_) {
    cell.EvictTasks(worker);
  }
}

} // namespace quetzal::node
