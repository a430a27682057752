#include "include/quetzal/entry/EntryProcess.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/connection/ConnectionPolicy.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <QtCore/QUuid>

namespace quetzal::entry {
namespace {

using clock::Now;

constexpr std::chrono::milliseconds kStopCheckInterval{ 20 };
/** Bound on the time for which a planned stop waits until the writes of answers and of
 * released claims are complete. */
constexpr std::chrono::milliseconds kClaimFlushTimeout{ 5'000 };
/** How many entry hosts may start while the ones that they replace still hold connections. */
constexpr int kReplacementHosts = 1;

membership::Peer
ToPeer(const EntryHost& aHost)
{
  return { aHost.name_, aHost.availabilityZone_, aHost.peer_ };
}

std::vector<membership::Peer>
PeersOf(const EntrySettings& aSettings)
{
  std::vector<membership::Peer> peers;
  for (const EntryHost& host : aSettings.entryHosts_) {
    peers.push_back(ToPeer(host));
  }
  return peers;
}

/** Returns a name that no other process has had, on this entry host or another. */
std::string
UniqueName(const EntrySettings& aSettings)
{
  const QString id = QUuid::createUuid().toString(QUuid::Id128);
  return aSettings.name_ + "#" + id.left(16).toStdString();
}

/** Creates the counter of every reason with the value 0. Otherwise the first refusal would start a
 * new series, which rates do not count. */
void
RegisterRefusalCounters(metrics::Registry& aMetrics)
{
  for (std::size_t i = 1; i < outcome::kReasonCount; ++i) {
    const auto reason = static_cast<outcome::Reason>(i);
    aMetrics.Add("quetzal_refusals_total", { { "reason", std::string(ToString(reason)) } }, 0);
  }
}

shares::Demand
DemandOf(const Dispatcher& aDispatcher)
{
  shares::Demand demand{ aDispatcher.Pools(), {}, {} };
  for (const connection::BackendPool* pool : demand.pools_) {
    const std::string& service = pool->Service().name_;
    demand.queued_[service] = aDispatcher.CountQueued(service);
    clock::Moment& lastStart = demand.lastStart_[service];
    lastStart = std::max(lastStart, pool->LastStart());
  }
  return demand;
}

} // namespace

EntryProcess::EntryProcess(const EntrySettings& aSettings)
  : settings_(aSettings)
  , store_({ aSettings.platform_ })
  , hostList_(aSettings.platform_, aSettings.hostListInterval_)
  , dispatcher_(aSettings.availabilityZone_, metrics_, nullptr)
  , claims_(store_,
            { aSettings.environment_,
              UniqueName(aSettings),
              static_cast<int>(aSettings.entryHosts_.size()),
              aSettings.claimRetention_ },
            metrics_,
            nullptr)
  , peers_(ToPeer(SelfOf(aSettings)), PeersOf(aSettings), nullptr)
  , shares_(
      peers_,
      UniqueName(aSettings),
      [this] { return DemandOf(dispatcher_); },
      metrics_,
      nullptr)
  , callerServer_(aSettings, dispatcher_, metrics_, nullptr)
  , operatorServer_(metrics_, [this] { return Status(); })
  , watcher_(store_, aSettings.environment_, nullptr)
  , stopSchedule_(process::MakeStopSchedule(aSettings.stopTime_, aSettings.stopNotice_))
{
  ConnectSignals();
  RegisterRefusalCounters(metrics_);
  shares_.SetConnectionCap([this](const document::Service& aService) {
    const auto entryHosts = static_cast<int>(settings_.entryHosts_.size());
    return connection::ConnectionCap(aService.connections_, { entryHosts, 0, kReplacementHosts });
  });
}

void
EntryProcess::ConnectSignals()
{
  using claims::ClaimRegistry;
  connect(&watcher_, &view::StoreWatcher::ViewArrived, &dispatcher_, &Dispatcher::SetView);
  connect(&dispatcher_, &Dispatcher::ClaimNeeded, &claims_, &ClaimRegistry::Claim);
  connect(&dispatcher_, &Dispatcher::ClaimEnded, this, &EntryProcess::OnClaimEnded);
  connect(&claims_, &ClaimRegistry::Decided, &dispatcher_, &Dispatcher::OnClaimDecided);
  connect(&dispatcher_, &Dispatcher::SlotsNeeded, &shares_, &shares::SlotShares::RequestSharesSoon);
  connect(&hostListTimer_, &QTimer::timeout, this, &EntryProcess::ReadHostList);
  connect(&stopTimer_, &QTimer::timeout, this, &EntryProcess::CheckStopped);
}

void
EntryProcess::OnClaimEnded(const claims::ClaimRequest& aRequest, const RequestResult& aResult)
{
  switch (outcome::OutcomeOf(aResult.reason_)) {
    case outcome::Outcome::kAnswered:
      claims_.Complete(aRequest, aResult.response_);
      return;
    case outcome::Outcome::kNotRun:
      claims_.Release(aRequest);
      return;
    case outcome::Outcome::kUnknown:
      return; // The key stays claimed: the request may have run.
  }
}

void
EntryProcess::Start()
{
  operatorServer_.Listen(settings_.operators_);
  shares_.Start();
  peers_.Start();
  callerServer_.Listen();
  watcher_.Start();
  hostListTimer_.start(settings_.hostListInterval_);
  ReadHostList();
  log::Info("entry", "Accepting callers on ", settings::ToString(settings_.callers_));
}

void
EntryProcess::ReadHostList()
{
  hostList_.Fetch([this](const std::optional<platform::HostStates>& aStates) {
    if (aStates) {
      dispatcher_.SetHostStates(*aStates);
    }
  });
}

void
EntryProcess::Stop()
{
  if (stopping_) {
    log::Info("entry", "Stop requested again; the planned stop is already in progress");
    return;
  }
  stopping_ = true;
  stopStartedAt_ = Now();
  flushStartedAt_ = stopStartedAt_;
  log::Info("entry", "Planned stop started; the health check now answers 503");
  dispatcher_.BoundDeadlines(stopStartedAt_ + stopSchedule_.lastAnswer_);
  callerServer_.StartStopping(stopSchedule_);
  QTimer::singleShot(settings_.stopNotice_, this, [this] {
    callerServer_.StopListening();
    stopTimer_.start(kStopCheckInterval);
  });
  QTimer::singleShot(
    stopSchedule_.lastAnswer_, Qt::PreciseTimer, this, [this] { dispatcher_.EndAll(); });
}

void
EntryProcess::CheckStopped()
{
  const auto elapsed = std::chrono::duration_cast<clock::Milliseconds>(Now() - stopStartedAt_);
  if (elapsed >= stopSchedule_.lastAnswer_) {
    callerServer_.EndReading();
  }
  const bool isIdle = callerServer_.IsDone() && dispatcher_.IsIdle();
  if (!isIdle) {
    flushStartedAt_ = Now();
  }
  if (!process::MayExit(stopSchedule_, elapsed, isIdle && HasFlushedClaims())) {
    return;
  }
  stopTimer_.stop();
  LogUnfinished();
  log::Info("entry", "Planned stop complete");
  Q_EMIT Stopped();
}

bool
EntryProcess::HasFlushedClaims()
{
  return claims_.IsIdle() || Now() - flushStartedAt_ >= kClaimFlushTimeout;
}

void
EntryProcess::LogUnfinished() const
{
  if (callerServer_.OpenConnections() > 0) {
    log::Warn("entry",
              "The stop time is over: ",
              callerServer_.OpenConnections(),
              " connections of callers are closed");
  }
  if (!claims_.IsIdle()) {
    log::Warn("entry", "The planned stop ends before all claims are written");
  }
}

QByteArray
EntryProcess::Status() const
{
  const view::View& view = dispatcher_.View();
  const QJsonObject status{ { "name", QString::fromStdString(settings_.name_) },
                            { "revision", QString::number(view.revision_) },
                            { "digest", QString::fromStdString(view.digest_) },
                            { "stopping", stopping_ } };
  return QJsonDocument(status).toJson();
}

} // namespace quetzal::entry
