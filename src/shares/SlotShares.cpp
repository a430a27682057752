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

constexpr clock::Milliseconds kShareTerm{ 1'000 };
constexpr clock::Milliseconds kTimerInterval{ 100 };
/** The time between two requests for the reports that a frozen table waits for. */
constexpr clock::Milliseconds kReportRequestInterval{ 300 };
constexpr clock::Milliseconds kRenewalInterval{ 330 };
/** A request without an answer is repeated after this time. */
constexpr clock::Milliseconds kAnswerTimeout{ 200 };
constexpr clock::Milliseconds kUrgentRequestInterval{ 5 };
/** The time between two urgent requests to a granter that had no further slots to grant. */
constexpr clock::Milliseconds kExhaustedInterval{ 40 };
/** After a longer gap between two timer events the process counts as stalled: other entry hosts may
 * have granted the same slots meanwhile. */
constexpr clock::Milliseconds kStallThreshold{ 500 };
/** Slots that are held beyond those in use, for each backend server in the own availability zone,
 * so that the next request does not wait for a grant. */
constexpr int kSpareSlots = 1;
/** No spare slots are held for a service for which no attempt was started during this time. */
constexpr clock::Milliseconds kSpareSlotTimeout{ 2'000 };

bool
AnyRequestWaits(const Demand& aDemand)
{
  return std::any_of(aDemand.queued_.begin(), aDemand.queued_.end(), [](const auto& aItem) {
    return aItem.second > 0;
  });
}

std::string
ServerIdOf(const BackendPool& aPool)
{
  return aPool.Service().name_ + "@" + aPool.Host().name_;
}

} // namespace

SlotShares::SlotShares(membership::PeerRegistry& aPeers,
                       std::string aProcess,
                       std::function<Demand()> aDemand,
                       metrics::Registry& aMetrics,
                       QObject* aParent)
  : QObject(aParent)
  , peers_(aPeers)
  , process_(std::move(aProcess))
  , demand_(std::move(aDemand))
  , metrics_(aMetrics)
  , granter_(kShareTerm)
{
  urgentTimer_.setSingleShot(true);
  urgentTimer_.setTimerType(Qt::PreciseTimer);
  connect(&periodicTimer_, &QTimer::timeout, this, &SlotShares::OnTimer);
  connect(&urgentTimer_, &QTimer::timeout, this, &SlotShares::Refresh);
  connect(&listener_, &wire::LinkServer::LinkArrived, this, &SlotShares::OnLink);
  connect(&peers_,
          &membership::PeerRegistry::MessageArrived,
          this,
          [this](const std::string&, const std::string& aPayload) { OnPeerMessage(aPayload); });
  connect(&peers_, &membership::PeerRegistry::LivenessChanged, this, [this] {
    granter_.RemoveUngranted([this](const std::string& aServer) { return GrantsNow(aServer); });
    RequestSharesSoon();
  });
}

void
SlotShares::Start()
{
  listener_.Listen(peers_.Self().endpoint_);
  lastTimerAt_ = Now();
  periodicTimer_.start(kTimerInterval);
}

void
SlotShares::RequestSharesSoon()
{
  if (!urgentTimer_.isActive()) {
    urgentTimer_.start(kUrgentRequestInterval);
  }
}

void
SlotShares::OnTimer()
{
  const auto now = Now();
  if (now - lastTimerAt_ > kStallThreshold) {
    log::Warn(
      "shares",
      "Process stalled; grants are frozen until earlier shares are reported or have expired");
    granter_.FreezeAll(now);
  }
  lastTimerAt_ = now;
  const auto frozen = granter_.FrozenServers(now).size();
  metrics_.SetGauge("quetzal_granted_servers", {}, static_cast<double>(granter_.Count()));
  metrics_.SetGauge("quetzal_closed_books", {}, static_cast<double>(frozen));
  if (now >= nextReportRequestAt_) {
    nextReportRequestAt_ = now + kReportRequestInterval;
    RequestReports();
  }
  Refresh();
}

std::string
SlotShares::GranterOf(const BackendPool& aPool) const
{
  const auto live = peers_.LiveIn(aPool.Host().availabilityZone_);
  return membership::OwnerOf(ServerIdOf(aPool), live).value_or(std::string());
}

bool
SlotShares::GrantsNow(const std::string& aServer) const
{
  const auto server = servers_.find(aServer);
  if (server == servers_.end()) {
    return false;
  }
  const std::string& zone = server->second.availabilityZone_;
  return membership::OwnerOf(aServer, peers_.LiveIn(zone)) == peers_.Self().name_;
}

std::map<std::string, GrantedServer>
SlotShares::ServersOf(const Demand& aDemand)
{
  std::map<std::string, GrantedServer> servers;
  for (const BackendPool* pool : aDemand.pools_) {
    const document::Service& service = pool->Service();
    servers[ServerIdOf(*pool)] = { service.slots_,
                                   service.longestDeadline_,
                                   pool->Host().availabilityZone_ };
  }
  return servers;
}

ShareRequestEntry
SlotShares::RequestEntryFor(const BackendPool& aPool,
                            const Demand& aDemand,
                            const HeldShare& aHeld,
                            int aServicePools) const
{
  const bool sameZone = aPool.Host().availabilityZone_ == peers_.Self().availabilityZone_;
  const auto queued = aDemand.queued_.find(aPool.Service().name_);
  const int waiting = queued == aDemand.queued_.end() ? 0 : static_cast<int>(queued->second);
  const int share = (waiting + aServicePools - 1) / std::max(aServicePools, 1);
  ShareRequestEntry entry;
  entry.server_ = ServerIdOf(aPool);
  entry.held_ = SlotsOf(aHeld);
  entry.inUse_ = aPool.UsedSlots();
  const auto lastStart = aDemand.lastStart_.find(aPool.Service().name_);
  const bool usedRecently =
    lastStart != aDemand.lastStart_.end() && Now() - lastStart->second < kSpareSlotTimeout;
  entry.wanted_ = entry.inUse_ + share + (sameZone && usedRecently ? kSpareSlots : 0);
  return entry;
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
    HeldShare& held = heldShares_[ServerIdOf(*pool)];
    if (held.granter_ != granter) {
      held.granter_ = granter;
      held.reported_ = false;
    }
    Apply(*pool, held);
    if (granter.empty()) {
      continue;
    }
    const ShareRequestEntry entry =
      RequestEntryFor(*pool, demand, held, poolsOfService[pool->Service().name_]);
    if (entry.wanted_ > 0 || entry.held_ > 0 || !held.reported_) {
      requests[granter].entries_.push_back(entry);
    }
    const bool returnsSlots = entry.held_ > entry.wanted_ + kSpareSlots;
    if (entry.wanted_ > entry.held_ || returnsSlots || !held.reported_) {
      urgent.insert(granter);
    }
  }
  for (auto& [granter, request] : requests) {
    ShareRequestStatus& status = requestStatuses_[granter];
    const auto interval = status.exhausted_ ? kExhaustedInterval : kUrgentRequestInterval;
    const bool isUrgent = urgent.contains(granter) && now - status.sentAt_ >= interval;
    const bool due = isUrgent || now - status.sentAt_ >= kRenewalInterval;
    const bool answered = !status.pending_ || now - status.sentAt_ >= kAnswerTimeout;
    if (due && answered) {
      SendRequest(granter, std::move(request));
    } else if (urgent.contains(granter) && AnyRequestWaits(demand)) {
      // The next share request is not due yet, but the periodic timer would be too late.
      RequestSharesSoon();
    }
  }
}

void
SlotShares::SendRequest(const std::string& aGranter, ShareRequest aRequest)
{
  ShareRequestStatus& status = requestStatuses_[aGranter];
  status.number_ = ++lastRequestNumber_;
  status.sentAt_ = Now();
  status.pending_ = true;
  aRequest.from_ = process_;
  aRequest.number_ = status.number_;
  if (aGranter == peers_.Self().name_) {
    OnAnswer(aGranter, AnswerTo(aRequest));
    return;
  }
  metrics_.Add("quetzal_share_requests_total");
  peers_.Send(aGranter, wire::Pack(aRequest));
}

ShareAnswer
SlotShares::AnswerTo(const ShareRequest& aRequest)
{
  ShareAnswer answer = granter_.Answer(
    aRequest,
    servers_,
    [this](const std::string& aServer) { return GrantsNow(aServer); },
    peers_.Names(),
    Now());
  answer.from_ = peers_.Self().name_;
  return answer;
}

void
SlotShares::RequestReports()
{
  const ShareReportRequest request{ granter_.FrozenServers(Now()) };
  if (request.servers_.empty()) {
    return;
  }
  OnReportRequest(request);
  const std::string payload = wire::Pack(request);
  for (const std::string& name : peers_.Names()) {
    peers_.Send(name, payload);
  }
}

void
SlotShares::OnReportRequest(const ShareReportRequest& aRequest)
{
  for (const std::string& server : aRequest.servers_) {
    heldShares_[server].reported_ = false;
  }
  RequestSharesSoon();
}

void
SlotShares::OnAnswer(const std::string& aGranter, const ShareAnswer& aAnswer)
{
  ShareRequestStatus& status = requestStatuses_[aGranter];
  // An answer to an earlier request is ignored, since the granter no longer counts its slots.
  if (!status.pending_ || status.number_ != aAnswer.number_) {
    return;
  }
  status.pending_ = false;
  bool anyGrew = false;
  std::map<std::string, int> granted;
  for (const ShareAnswerEntry& entry : aAnswer.entries_) {
    granted[entry.server_] = entry.granted_;
  }
  for (BackendPool* pool : demand_().pools_) {
    const auto entry = granted.find(ServerIdOf(*pool));
    if (entry == granted.end() || entry->second == kNotGranting) {
      continue;
    }
    HeldShare& held = heldShares_[entry->first];
    anyGrew = anyGrew || entry->second > held.slots_;
    // A share that became smaller is reported again, since the granter counts the larger share
    // until then.
    held.reported_ = entry->second >= held.slots_;
    held.slots_ = entry->second;
    // Measured from the request, so that the share expires here before it expires at the granter.
    held.expiresAt_ = status.sentAt_ + kShareTerm;
    Apply(*pool, held);
  }
  status.exhausted_ = !anyGrew;
}

int
SlotShares::SlotsOf(const HeldShare& aHeld)
{
  return Now() < aHeld.expiresAt_ ? aHeld.slots_ : 0;
}

void
SlotShares::Apply(BackendPool& aPool, const HeldShare& aHeld)
{
  aPool.SetShare(SlotsOf(aHeld), connectionCap_(aPool.Service()));
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
    log::Warn("shares", "Malformed peer message dropped: ", error.what());
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
      aLink->Send(wire::Pack(membership::Heartbeat{ peers_.Self().name_ }));
    } else if (message.Type() == static_cast<int>(PeerMessage::kShareRequest)) {
      aLink->Send(wire::Pack(AnswerTo(message.As<ShareRequest>())));
    } else if (message.Type() == static_cast<int>(PeerMessage::kReportCall)) {
      OnReportRequest(message.As<ShareReportRequest>());
    }
  } catch (const wire::WireError& error) {
    log::Warn("shares", "Malformed peer message dropped: ", error.what());
  }
}

} // namespace quetzal::shares
