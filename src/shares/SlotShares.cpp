#include "include/quetzal/shares/SlotShares.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/membership/Rendezvous.h"
#include "include/quetzal/wire/Message.h"

#include <algorithm>

namespace quetzal::shares {
namespace {

using clock::Now;
using connection::BackendPool;

constexpr clock::Milliseconds kTerm{ 1'000 };
constexpr clock::Milliseconds kTick{ 100 };
/** Between two calls for the reports that a closed book waits for. */
constexpr clock::Milliseconds kCallInterval{ 300 };
constexpr clock::Milliseconds kRenewal{ 330 };
/** A request whose answer has not come by then is asked again. */
constexpr clock::Milliseconds kAnswerTime{ 200 };
constexpr clock::Milliseconds kHurryInterval{ 5 };
/** Between two questions to a granter that had no more to give. */
constexpr clock::Milliseconds kExhaustedInterval{ 40 };
/** A gap between two ticks after which others may have granted in this process's place. */
constexpr clock::Milliseconds kStall{ 500 };
/** Slots kept beyond those in use in the own availability zone, so that the next request need not
 * wait for a grant. */
constexpr int kSpareSlots = 1;
/** A service that was not used for so long keeps no spare slots here. */
constexpr clock::Milliseconds kSpareTime{ 2'000 };

bool
AnyWaits(const Demand& aDemand)
{
  return std::any_of(aDemand.queued_.begin(), aDemand.queued_.end(), [](const auto& aItem) {
    return aItem.second > 0;
  });
}

std::string
ServerOf(const BackendPool& aPool)
{
  return aPool.Service().name_ + "@" + aPool.Host().name_;
}

} // namespace

SlotShares::SlotShares(membership::PeerRegistry& aBoard,
                       std::string aProcess,
                       std::function<Demand()> aDemand,
                       metrics::Registry& aMetrics,
                       QObject* aParent)
  : QObject(aParent)
  , board_(aBoard)
  , process_(std::move(aProcess))
  , demand_(std::move(aDemand))
  , metrics_(aMetrics)
  , granter_(kTerm)
{
  hurryTimer_.setSingleShot(true);
  hurryTimer_.setTimerType(Qt::PreciseTimer);
  connect(&tickTimer_, &QTimer::timeout, this, &SlotShares::Tick);
  connect(&hurryTimer_, &QTimer::timeout, this, &SlotShares::Refresh);
  connect(&listener_, &wire::LinkServer::LinkArrived, this, &SlotShares::OnLink);
  connect(&board_,
          &membership::PeerRegistry::MessageArrived,
          this,
          [this](const std::string&, const std::string& aPayload) { OnPeerMessage(aPayload); });
  connect(&board_, &membership::PeerRegistry::LivenessChanged, this, [this] {
    granter_.DropOthers([this](const std::string& aServer) { return GrantsNow(aServer); });
    Hurry();
  });
}

void
SlotShares::Start()
{
  listener_.Listen(board_.Self().endpoint_);
  lastTick_ = Now();
  tickTimer_.start(kTick);
}

void
SlotShares::Hurry()
{
  if (!hurryTimer_.isActive()) {
    hurryTimer_.start(kHurryInterval);
  }
}

void
SlotShares::Tick()
{
  const auto now = Now();
  if (now - lastTick_ > kStall) {
    log::Warn("shares", "The process stood still; granted shares are counted anew");
    granter_.CloseAll(now);
  }
  lastTick_ = now;
  const auto closed = granter_.ClosedServers(now).size();
  metrics_.SetGauge("quetzal_granted_servers", {}, static_cast<double>(granter_.Count()));
  metrics_.SetGauge("quetzal_closed_books", {}, static_cast<double>(closed));
  if (now >= nextCall_) {
    nextCall_ = now + kCallInterval;
    CallForReports();
  }
  Refresh();
}

std::string
SlotShares::GranterOf(const BackendPool& aPool) const
{
  const auto live = board_.LiveIn(aPool.Host().availabilityZone_);
  return membership::OwnerOf(ServerOf(aPool), live).value_or(std::string());
}

bool
SlotShares::GrantsNow(const std::string& aServer) const
{
  const auto server = servers_.find(aServer);
  if (server == servers_.end()) {
    return false;
  }
  const std::string& zone = server->second.availabilityZone_;
  return membership::OwnerOf(aServer, board_.LiveIn(zone)) == board_.Self().name_;
}

std::map<std::string, GrantedServer>
SlotShares::ServersOf(const Demand& aDemand)
{
  std::map<std::string, GrantedServer> servers;
  for (const BackendPool* pool : aDemand.pools_) {
    const document::Service& service = pool->Service();
    servers[ServerOf(*pool)] = { service.slots_,
                                 service.longestDeadline_,
                                 pool->Host().availabilityZone_ };
  }
  return servers;
}

ShareLine
SlotShares::LineFor(const BackendPool& aPool,
                    const Demand& aDemand,
                    const Held& aHeld,
                    int aZonePools) const
{
  const bool sameZone = aPool.Host().availabilityZone_ == board_.Self().availabilityZone_;
  const auto queued = aDemand.queued_.find(aPool.Service().name_);
  const int waiting = queued == aDemand.queued_.end() ? 0 : static_cast<int>(queued->second);
  const int share = (waiting + aZonePools - 1) / std::max(aZonePools, 1);
  ShareLine line;
  line.server_ = ServerOf(aPool);
  line.held_ = SlotsOf(aHeld);
  line.inUse_ = aPool.UsedSlots();
  const auto lastStart = aDemand.lastStart_.find(aPool.Service().name_);
  const bool usedLately =
    lastStart != aDemand.lastStart_.end() && Now() - lastStart->second < kSpareTime;
  line.wanted_ = line.inUse_ + share + (sameZone && usedLately ? kSpareSlots : 0);
  return line;
}

void
SlotShares::Refresh()
{
  const Demand demand = demand_();
  servers_ = ServersOf(demand);
  const auto now = Now();
  std::map<std::string, int> poolsOfService;
  for (const BackendPool* pool : demand.pools_) {
    ++poolsOfService[pool->Service().name_];
  }
  std::map<std::string, ShareRequest> requests;
  std::set<std::string> urgent;
  for (BackendPool* pool : demand.pools_) {
    const std::string granter = GranterOf(*pool);
    Held& held = held_[ServerOf(*pool)];
    if (held.granter_ != granter) {
      held.granter_ = granter;
      held.reportedTo_ = false;
    }
    Apply(*pool, held);
    if (granter.empty()) {
      continue;
    }
    const ShareLine line = LineFor(*pool, demand, held, poolsOfService[pool->Service().name_]);
    if (line.wanted_ > 0 || line.held_ > 0 || !held.reportedTo_) {
      requests[granter].lines_.push_back(line);
    }
    const bool givesBack = line.held_ > line.wanted_ + kSpareSlots;
    if (line.wanted_ > line.held_ || givesBack || !held.reportedTo_) {
      urgent.insert(granter);
    }
  }
  for (auto& [granter, request] : requests) {
    Asked& asked = asked_[granter];
    const auto interval = asked.exhausted_ ? kExhaustedInterval : kHurryInterval;
    const bool hurries = urgent.contains(granter) && now - asked.at_ >= interval;
    const bool due = hurries || now - asked.at_ >= kRenewal;
    const bool answered = !asked.pending_ || now - asked.at_ >= kAnswerTime;
    if (due && answered) {
      Ask(granter, std::move(request));
    } else if (urgent.contains(granter) && AnyWaits(demand)) {
      // Too soon to ask again, but the next tick would be too late for what waits.
      Hurry();
    }
  }
}

void
SlotShares::Ask(const std::string& aGranter, ShareRequest aRequest)
{
  Asked& asked = asked_[aGranter];
  asked.number_ = ++lastNumber_;
  asked.at_ = Now();
  asked.pending_ = true;
  aRequest.from_ = process_;
  aRequest.number_ = asked.number_;
  if (aGranter == board_.Self().name_) {
    OnAnswer(aGranter, AnswerTo(aRequest));
    return;
  }
  metrics_.Add("quetzal_share_requests_total");
  board_.Send(aGranter, wire::Pack(aRequest));
}

ShareAnswer
SlotShares::AnswerTo(const ShareRequest& aRequest)
{
  ShareAnswer answer = granter_.Answer(
    aRequest,
    servers_,
    [this](const std::string& aServer) { return GrantsNow(aServer); },
    board_.Names(),
    Now());
  answer.from_ = board_.Self().name_;
  return answer;
}

void
SlotShares::CallForReports()
{
  const ReportCall call{ granter_.ClosedServers(Now()) };
  if (call.servers_.empty()) {
    return;
  }
  OnReportCall(call);
  const std::string payload = wire::Pack(call);
  for (const std::string& name : board_.Names()) {
    board_.Send(name, payload);
  }
}

void
SlotShares::OnReportCall(const ReportCall& aCall)
{
  for (const std::string& server : aCall.servers_) {
    held_[server].reportedTo_ = false;
  }
  Hurry();
}

void
SlotShares::OnAnswer(const std::string& aGranter, const ShareAnswer& aAnswer)
{
  Asked& asked = asked_[aGranter];
  // An answer to an earlier request would grant what the granter no longer counts.
  if (!asked.pending_ || asked.number_ != aAnswer.number_) {
    return;
  }
  asked.pending_ = false;
  bool anyGrew = false;
  std::map<std::string, int> granted;
  for (const GrantLine& line : aAnswer.lines_) {
    granted[line.server_] = line.granted_;
  }
  for (BackendPool* pool : demand_().pools_) {
    const auto line = granted.find(ServerOf(*pool));
    if (line == granted.end() || line->second == kNotGranting) {
      continue;
    }
    Held& held = held_[line->first];
    anyGrew = anyGrew || line->second > held.slots_;
    // The granter counts what was held before until it hears that less is held now.
    held.reportedTo_ = line->second >= held.slots_;
    held.slots_ = line->second;
    // Counted from the request, so that the share ends here before it ends at the granter.
    held.until_ = asked.at_ + kTerm;
    Apply(*pool, held);
  }
  asked.exhausted_ = !anyGrew;
}

int
SlotShares::SlotsOf(const Held& aHeld)
{
  return Now() < aHeld.until_ ? aHeld.slots_ : 0;
}

void
SlotShares::Apply(BackendPool& aPool, const Held& aHeld)
{
  aPool.SetShare(SlotsOf(aHeld), cap_(aPool.Service()));
}

void
SlotShares::OnPeerMessage(const std::string& aPayload)
{
  try {
    const wire::Message message(aPayload);
    if (message.Type() == static_cast<int>(PeerMessage::kShareAnswer)) {
      const auto answer = message.As<ShareAnswer>();
      OnAnswer(answer.from_, answer);
    }
  } catch (const wire::WireError& error) {
    log::Warn("shares", "Message dropped: ", error.what());
  }
}

void
SlotShares::OnLink(wire::ServerLink* aLink)
{
  connect(aLink,
          &wire::ServerLink::MessageArrived,
          this,
          [this, aLink](const std::string& aPayload) { OnLinkMessage(aLink, aPayload); });
}

void
SlotShares::OnLinkMessage(wire::ServerLink* aLink, const std::string& aPayload)
{
  try {
    const wire::Message message(aPayload);
    if (message.Type() == static_cast<int>(PeerMessage::kHeartbeat)) {
      aLink->Send(wire::Pack(membership::Heartbeat{ board_.Self().name_ }));
    } else if (message.Type() == static_cast<int>(PeerMessage::kShareRequest)) {
      aLink->Send(wire::Pack(AnswerTo(message.As<ShareRequest>())));
    } else if (message.Type() == static_cast<int>(PeerMessage::kReportCall)) {
      OnReportCall(message.As<ReportCall>());
    }
  } catch (const wire::WireError& error) {
    log::Warn("shares", "Message dropped: ", error.what());
  }
}

} // namespace quetzal::shares
