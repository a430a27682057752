#include "include/quetzal/node/ConfigurationRelay.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <algorithm>
#include <functional>
#include <vector>

namespace quetzal::node {
namespace {

using clock::Now;

/** The store answers a call that waits for changes after 1,200 ms, so that an unconfirmed copy of
 * this age shows a call without an answer. */
constexpr clock::Milliseconds kMaxConfirmationAge{ 1'600 };
constexpr clock::Milliseconds kAskInterval{ 300 };
/** While the store is away for every host, no host has news. */
constexpr clock::Milliseconds kUnconfirmedAskInterval{ 1'000 };
/** A configuration of 1 MB takes 0.8 s on a link of 10 Mbit/s. */
constexpr clock::Milliseconds kAskTimeout{ 3'000 };
/** A host that does not answer must not hold up the next question, and several large answers at
 * once would fill a slow link. */
constexpr int kMaxOpenQuestions = 3;

/** Asks for a configuration newer than this revision. */
struct ConfigurationCall
{
  std::int64_t revision_ = 0;

  MSGPACK_DEFINE_ARRAY(revision_)
};

struct ConfigurationReply
{
  std::int64_t revision_ = 0;
  std::string bytes_;             ///< As stored; empty if the asking host has this revision.
  std::int64_t confirmedAgo_ = 0; ///< Milliseconds since the store confirmed it.

  MSGPACK_DEFINE_ARRAY(revision_, bytes_, confirmedAgo_)
};

clock::Milliseconds
AgeOf(clock::Moment aMoment, clock::Moment aNow)
{
  return std::chrono::duration_cast<clock::Milliseconds>(aNow - aMoment);
}

/** Returns hosts of all availability zones in turn. */
std::vector<const jobs::HostRecord*>
InterleavedHosts(const HostRecords& aHosts, const std::string& aSelf)
{
  std::map<std::string, std::vector<const jobs::HostRecord*>> byZone;
  std::size_t widest = 0;
  for (const auto& [name, record] : aHosts) {
    if (name != aSelf) {
      auto& zone = byZone[record.availabilityZone_];
      zone.push_back(&record);
      widest = std::max(widest, zone.size());
    }
  }
  std::vector<const jobs::HostRecord*> hosts;
  for (std::size_t i = 0; i < widest; ++i) {
    for (const auto& [zone, records] : byZone) {
      if (i < records.size()) {
        hosts.push_back(records[i]);
      }
    }
  }
  return hosts;
}

} // namespace

bool
IsUnconfirmed(const RelayState& aState, clock::Moment aNow)
{
  return aState.isWatchFailing_ || aNow - aState.confirmedAt_ > kMaxConfirmationAge;
}

bool
IsRelayDue(const RelayState& aState, clock::Moment aNow)
{
  const auto interval = aState.isPeerConfirmed_ ? kAskInterval : kUnconfirmedAskInterval;
  return IsUnconfirmed(aState, aNow) && aNow - aState.askedAt_ >= interval;
}

const jobs::HostRecord*
HostToAsk(const HostRecords& aHosts, const std::string& aSelf, std::size_t aAttempt)
{
  const std::vector<const jobs::HostRecord*> hosts = InterleavedHosts(aHosts, aSelf);
  if (hosts.empty()) {
    return nullptr;
  }
  return hosts[(std::hash<std::string>()(aSelf) + aAttempt) % hosts.size()];
}

ConfigurationRelay::ConfigurationRelay(std::string aSelf,
                                       PlatformState& aPlatformState,
                                       PeerLinks& aLinks,
                                       std::function<HostRecords()> aHosts,
                                       metrics::Registry& aMetrics)
  : self_(std::move(aSelf))
  , platformState_(aPlatformState)
  , links_(aLinks)
  , hosts_(std::move(aHosts))
  , metrics_(aMetrics)
{
}

RelayState
ConfigurationRelay::State() const
{
  return { platformState_.ConfigurationCheckedAt(),
           platformState_.IsConfigurationWatchFailing(),
           askedAt_,
           isPeerConfirmed_ };
}

void
ConfigurationRelay::AskIfDue()
{
  if (openQuestions_ >= kMaxOpenQuestions || !IsRelayDue(State(), Now())) {
    return;
  }
  askedAt_ = Now();
  const HostRecords hosts = hosts_();
  if (const jobs::HostRecord* host = HostToAsk(hosts, self_, attempts_++)) {
    Ask(*host);
  }
}

void
ConfigurationRelay::Ask(const jobs::HostRecord& aHost)
{
  const settings::Endpoint peer{ aHost.address_, static_cast<std::uint16_t>(aHost.port_) };
  const ConfigurationCall call{ std::max(platformState_.StoredConfiguration().revision_,
                                         rejectedRevision_) };
  ++openQuestions_;
  const QPointer<ConfigurationRelay> self(this);
  links_.Call(peer,
              PeerMethod::kConfiguration,
              jobs::Encode(call),
              kAskTimeout,
              [self](const CallResult& aResult) {
                if (self) {
                  --self->openQuestions_;
                  self->OnAnswer(aResult);
                }
              });
}

void
ConfigurationRelay::OnAnswer(const CallResult& aResult)
{
  ConfigurationReply reply;
  // A host of an earlier version does not know the call, and answers something else.
  if (aResult.failure_ != CallFailure::kNone || !jobs::Decode(aResult.body_, reply)) {
    return;
  }
  isPeerConfirmed_ = reply.confirmedAgo_ >= 0 && reply.confirmedAgo_ <= kMaxConfirmationAge.count();
  const std::int64_t held = platformState_.StoredConfiguration().revision_;
  if (reply.bytes_.empty() || reply.revision_ <= held) {
    return;
  }
  if (platformState_.OfferConfiguration({ reply.revision_, reply.bytes_ })) {
    log::Info("relay",
              "event=configuration-relayed revision=",
              reply.revision_,
              " held=",
              held,
              " confirmed_ago_ms=",
              reply.confirmedAgo_);
    metrics_.Add("quetzal_configurations_relayed_total", {});
  } else {
    rejectedRevision_ = std::max(rejectedRevision_, reply.revision_);
  }
}

std::string
ConfigurationRelay::AnswerTo(const std::string& aBody) const
{
  ConfigurationCall call;
  if (!jobs::Decode(aBody, call)) {
    log::Warn("relay", "event=question-ignored bytes=", aBody.size());
    return jobs::Encode(ConfigurationReply{});
  }
  const StoredConfiguration& stored = platformState_.StoredConfiguration();
  ConfigurationReply reply;
  reply.revision_ = stored.revision_;
  reply.confirmedAgo_ = AgeOf(platformState_.ConfigurationCheckedAt(), Now()).count();
  if (stored.revision_ > call.revision_) {
    reply.bytes_ = stored.bytes_;
  }
  return jobs::Encode(reply);
}

} // namespace quetzal::node
