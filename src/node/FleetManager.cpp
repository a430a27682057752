#include "include/quetzal/node/FleetManager.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <algorithm>

namespace quetzal::node {
namespace {

using clock::Now;
using clock::UnixMs;

constexpr clock::Milliseconds kListInterval{ 150 };
constexpr clock::Milliseconds kPlanLogInterval{ 1'000 };
/** A pool's demand is the maximum over its reports in this window, because jobs arrive in uneven
 * bursts. */
constexpr clock::Milliseconds kForecastWindow{ 1'200 };
/** Reports older than this are ignored. */
constexpr clock::Milliseconds kMaxReportAge{ 600 };
/** No orders are based on a host list older than this. */
constexpr clock::Milliseconds kMaxListAge{ 800 };
/** A worker that was first reported longer than this before the host list was requested must be in
 * the list; otherwise it is not the current incarnation of any host. */
constexpr clock::Milliseconds kMaxListLag{ 700 };
/** After an owner takes over, it returns no hosts to the standby pool for this time. */
constexpr clock::Milliseconds kNoReturnWindow{ 8'000 };
/** Time for orders of an earlier process on this host to be executed. */
constexpr clock::Milliseconds kOwnOrdersEnd{ 600 };
constexpr clock::Milliseconds kStatusRetryDelay{ 300 };
/** Largest assumed difference between the system clocks of entry hosts. */
constexpr clock::Milliseconds kMaxClockSkew{ 2'500 };
/** Orders older than this are not handed over, because they no longer matter to a successor. */
constexpr std::int64_t kOrderRetentionMs = 20'000;
/** After an unanswered order, the host gets no other order for this time; by then the host list
 * shows whether the order was executed. */
constexpr clock::Milliseconds kUnconfirmedOrderWindow{ 3'000 };
/** Fraction of the platform's read rate limit that one owner uses, because its predecessor may
 * still read. */
constexpr double kReadRateShare = 0.5;

/** After its lease has ended, an owner confirms grants for this time. With their validity it ends
 * before a new owner raises any. */
constexpr clock::Milliseconds kUnleasedGrantTime{ 3'000 };

/** Returns the cells of a configuration: one for each pool that runs tasks. */
std::vector<std::string>
CellsOf(const jobs::Configuration& aConfiguration)
{
  std::vector<std::string> cells;
  for (const jobs::Service& service : aConfiguration.services_) {
    if (!service.standby_) {
      cells.push_back(service.name_);
    }
  }
  return cells;
}

std::string
WaveKey(std::int64_t aWave)
{
  return "quetzal/wave/" + std::to_string(aWave);
}

/** Returns the minimum time between two requests for the host list, given the number of reads that
 * the first one took. */
clock::Milliseconds
MinListInterval(int aReads, double aReadsPerSecond)
{
  constexpr double kMillisecondsPerSecond = 1'000;
  const double rate = std::max(aReadsPerSecond * kReadRateShare, 1.0);
  return clock::Milliseconds(static_cast<std::int64_t>(aReads * kMillisecondsPerSecond / rate));
}

} // namespace

FleetManager::FleetManager(fleet::HostPort& aHostPort,
                           store::SharedStore& aStore,
                           PlatformState& aPlatformState,
                           metrics::Registry& aMetrics,
                           const FleetOwnership& aOwnership,
                           const FleetOptions& aOptions,
                           QObject* aParent)
  : QObject(aParent)
  , hostPort_(aHostPort)
  , store_(aStore)
  , platformState_(aPlatformState)
  , metrics_(aMetrics)
  , ownership_(aOwnership)
  , options_(aOptions)
  , startedAt_(Now())
  , orderBudget_{ 0, startedAt_ }
{
  connect(&timer_, &QTimer::timeout, this, &FleetManager::RequestList);
  timer_.start(kListInterval);
  log::Info("fleet",
            "event=fleet-begun fence=",
            ownership_.fence_,
            " predecessor=",
            ownership_.predecessorFence_);
  ReadHandOver();
}

void
FleetManager::ReadHandOver()
{
  const QPointer<FleetManager> self(this);
  store_.Get(kFleetHandOverKey, [self](const store::ReadResult& aResult) {
    jobs::FleetHandOver record;
    if (self) {
      self->handOverRead_ = aResult.status_ == store::Status::kSucceeded;
    }
    if (self && aResult.status_ == store::Status::kSucceeded && !aResult.items_.empty() &&
        jobs::Decode(aResult.items_.front().value_, record) &&
        record.fence_ == self->ownership_.predecessorFence_) {
      log::Info("fleet", "event=hand-over-read hosts=", record.lastOrderMs_.size());
      self->predecessorHandOver_ = record;
    }
  });
}

jobs::FleetHandOver
FleetManager::HandOver() const
{
  jobs::FleetHandOver record{ ownership_.fence_, lastOrderMs_ };
  const std::int64_t oldest = UnixMs() - kOrderRetentionMs;
  std::erase_if(record.lastOrderMs_,
                [oldest](const auto& aEntry) { return aEntry.second < oldest; });
  if (predecessorHandOver_) {
    record.lastOrderMs_.insert(predecessorHandOver_->lastOrderMs_.begin(),
                               predecessorHandOver_->lastOrderMs_.end());
  } else if (Now() - startedAt_ < options_.orderGap_) {
    record.fence_ = 0; // The predecessor's orders are not known.
  }
  return record;
}

void
FleetManager::Stop()
{
  stopped_ = true;
  timer_.stop();
}

CellOrders
FleetManager::OnReport(const cells::CellReport& aReport)
{
  const clock::Moment now = Now();
  ServiceReport& serviceReport = reports_[aReport.service_];
  serviceReport.report_ = aReport;
  serviceReport.receivedAt_ = now;
  serviceReport.forecasts_.emplace_back(now,
                                        std::max(aReport.urgentCores_, aReport.forecastCores_));
  while (now - serviceReport.forecasts_.front().first > kForecastWindow) {
    serviceReport.forecasts_.pop_front();
  }
  CellOrders orders;
  orders.listAge_ =
    std::chrono::duration_cast<clock::Milliseconds>(now - listRequestedAt_) + kMaxListLag;
  std::map<std::string, clock::Moment> firstReported;
  for (const cells::WorkerReport& worker : aReport.workers_) {
    const auto known = serviceReport.firstReported_.find(worker.id_);
    firstReported[worker.id_] = known == serviceReport.firstReported_.end() ? now : known->second;
    if (IsTerminated(worker.id_, firstReported[worker.id_])) {
      orders.terminated_.insert(worker.id_);
    }
    if (cordoned_.contains(worker.id_)) {
      orders.cordoned_.insert(worker.id_);
    }
    if (evict_.contains(worker.id_)) {
      orders.evict_.insert(worker.id_);
    }
  }
  serviceReport.firstReported_ = std::move(firstReported);
  serviceReport.answeredCordons_ = orders.cordoned_;
  GrantQuotas(aReport, orders, now);
  return orders;
}

void
FleetManager::GrantQuotas(const cells::CellReport& aReport, CellOrders& aOrders, clock::Moment aNow)
{
  aOrders.hasGrants_ = true;
  const jobs::Configuration& configuration = platformState_.Configuration();
  const std::vector<organisations::Quota> quotas =
    organisations::QuotasOf(configuration.organisations_);
  if (quotas.empty()) {
    quotaTable_ = {}; // A later quota finds no use reported, so that its table begins frozen.
    return;
  }
  const organisations::QuotaPlan plan{ quotas, CellsOf(configuration) };
  const organisations::CellDemand demand{ aReport.service_,
                                          aReport.fence_,
                                          aReport.sequence_,
                                          aReport.isSynchronized_,
                                          aReport.organisations_ };
  if (ownership_.isHeld_()) {
    leaseSeenAt_ = aNow;
  } else {
    // There may be another owner, which does not know what this one grants.
    if (aNow - leaseSeenAt_ < kUnleasedGrantTime) {
      aOrders.grants_ = organisations::ConfirmGrants(demand);
    }
    return;
  }
  const bool wasFrozen = quotaTable_.isFrozen_;
  const bool wasBegun = quotaTable_.begunAt_ != clock::Moment{};
  aOrders.grants_ = organisations::GrantQuotas(quotaTable_, plan, demand, aNow);
  if (!wasBegun && quotaTable_.isFrozen_) {
    log::Info("fleet", "event=quota-frozen quotas=", plan.quotas_.size());
  }
  if (wasFrozen && !quotaTable_.isFrozen_) {
    log::Info("fleet", "event=quota-thawed cells=", quotaTable_.cells_.size());
  }
}

bool
FleetManager::IsTerminated(const std::string& aWorker, clock::Moment aFirstReported) const
{
  // A worker may have registered after the list was read.
  return listRequestedAt_ > aFirstReported + kMaxListLag && !listedWorkers_.contains(aWorker);
}

fleet::OrderAuthority
FleetManager::Authority() const
{
  return { ownership_.holder_, ownership_.fence_ };
}

bool
FleetManager::MayOrder() const
{
  // The last orders of an earlier process on this host were given by the same holder; they only
  // must have ended.
  const clock::Milliseconds gap =
    ownership_.predecessorWasSelf_ ? kOwnOrdersEnd : options_.orderGap_;
  const bool predecessorIsKnown = predecessorHandOver_.has_value();
  return !stopped_ && ownership_.isHeld_() && (predecessorIsKnown || Now() - startedAt_ > gap);
}

bool
FleetManager::MayOrder(const std::string& aHost) const
{
  if (!MayOrder()) {
    return false;
  }
  if (Now() - startedAt_ > options_.orderGap_ || !predecessorHandOver_) {
    return true;
  }
  const auto last = predecessorHandOver_->lastOrderMs_.find(aHost);
  const auto gap = options_.orderGap_ + kMaxClockSkew;
  return last == predecessorHandOver_->lastOrderMs_.end() || UnixMs() - last->second > gap.count();
}

void
FleetManager::RequestList()
{
  if (listPending_ || stopped_ || Now() < nextListAt_) {
    return;
  }
  listPending_ = true;
  const QPointer<FleetManager> self(this);
  hostPort_.List([self, requestedAt = Now()](const fleet::HostList& aList) {
    if (self) {
      self->listPending_ = false;
      self->nextListAt_ =
        requestedAt + MinListInterval(aList.requests_, self->options_.readsPerSecond_);
      self->OnList(aList, requestedAt);
    }
  });
}

void
FleetManager::OnList(const fleet::HostList& aList, clock::Moment aRequestedAt)
{
  if (!aList.complete_) {
    return;
  }
  hosts_ = aList.hosts_;
  listReceivedAt_ = Now();
  listRequestedAt_ = aRequestedAt;
  listedWorkers_.clear();
  for (const fleet::Host& host : hosts_) {
    listedWorkers_.insert(host.worker_);
  }
  SyncWaves();
  for (auto& [number, wave] : waves_) {
    const bool before = wave.completed_;
    fleet::UpdateWave(wave, hosts_, options_.maintenanceTime_, listRequestedAt_);
    if (wave.completed_ && !before) {
      log::Info("fleet", "event=wave-completed wave=", number, " hosts=", wave.hosts_.size());
      PublishWaveStatus(number, true);
    }
  }
  ExecutePlan();
}

void
FleetManager::SyncWaves()
{
  for (const auto& [number, request] : platformState_.Waves()) {
    if (waves_.contains(number) || readingWaves_.contains(number)) {
      continue;
    }
    readingWaves_.insert(number);
    const QPointer<FleetManager> self(this);
    store_.Get(WaveKey(number), [self, number = number](const store::ReadResult& aResult) {
      if (self) {
        self->readingWaves_.erase(number);
        self->ReadWaveRecord(number, aResult);
      }
    });
  }
}

void
FleetManager::ReadWaveRecord(std::int64_t aWave, const store::ReadResult& aResult)
{
  const auto request = platformState_.Waves().find(aWave);
  if (aResult.status_ != store::Status::kSucceeded || request == platformState_.Waves().end()) {
    return; // SyncWaves() reads the record again after the next host list.
  }
  std::vector<std::string> done;
  if (!aResult.items_.empty() && !jobs::Decode(aResult.items_.front().value_, done)) {
    log::Warn("fleet", "event=wave-record-ignored wave=", aWave);
  }
  fleet::WaveProgress wave;
  wave.request_ = request->second;
  wave.receivedAt_ = Now();
  for (const std::string& host : request->second.hosts_) {
    wave.hosts_[host] = {};
  }
  for (const std::string& host : done) {
    // An earlier owner ordered this host's maintenance. The maintenance is complete when the list
    // shows the host up after the usual maintenance time.
    fleet::MaintenanceState& state = wave.hosts_[host];
    state.phase_ = fleet::MaintenancePhase::kOrdered;
    state.orderedAt_ = Now();
    state.acceptedAt_ = Now();
  }
  log::Info("fleet",
            "event=wave-begun wave=",
            aWave,
            " hosts=",
            wave.hosts_.size(),
            " ordered=",
            done.size(),
            " at_once=",
            wave.request_.maxConcurrent_);
  waves_[aWave] = std::move(wave);
  PublishWaveStatus(aWave, false);
}

fleet::FleetView
FleetManager::MakeView(clock::Moment aNow) const
{
  fleet::FleetView view;
  view.hosts_ = hosts_;
  view.standbyPool_ = jobs::StandbyPoolOf(platformState_.Configuration());
  view.maintenanceTime_ = options_.maintenanceTime_;
  view.busyHosts_ = pendingOrders_;
  for (const auto& [name, at] : busySince_) {
    if (aNow - at < kUnconfirmedOrderWindow) {
      view.busyHosts_.insert(name);
    }
  }
  for (const auto& [service, serviceReport] : reports_) {
    fleet::PoolDemand demand;
    demand.longRunningCores_ = serviceReport.report_.longRunningCores_;
    demand.longRunningMemoryMb_ = serviceReport.report_.longRunningMemory_;
    demand.unschedulableTasks_ = serviceReport.report_.unschedulableTasks_;
    demand.urgentCores_ = serviceReport.report_.urgentCores_;
    for (const auto& [at, cores] : serviceReport.forecasts_) {
      demand.forecastCores_ = std::max(demand.forecastCores_, cores);
    }
    demand.fresh_ = aNow - serviceReport.receivedAt_ < kMaxReportAge;
    for (const cells::WorkerReport& worker : serviceReport.report_.workers_) {
      // If the answer to the report ended the cordon, tasks may have been started since.
      const bool released = worker.cordoned_ && worker.synchronized_ && worker.runs_ == 0 &&
                            cordoned_.contains(worker.id_) &&
                            serviceReport.answeredCordons_.contains(worker.id_);
      demand.workers_[worker.id_] = {
        worker.runs_, worker.hasLongRunning_, worker.cordoned_, released
      };
    }
    view.pools_[service] = std::move(demand);
  }
  for (const auto& [number, wave] : waves_) {
    view.waves_.push_back(wave);
  }
  return view;
}

void
FleetManager::ExecutePlan()
{
  const clock::Moment now = Now();
  if (!MayOrder() || now - listReceivedAt_ > kMaxListAge) {
    return;
  }
  fleet::PlannerOptions planner = options_.planner_;
  planner.mayReturnHosts_ = now - startedAt_ > kNoReturnWindow;
  const fleet::FleetPlan plan = fleet::MakePlan(MakeView(now), planner, now);
  cordoned_ = plan.cordoned_;
  evict_ = plan.evict_;
  LogPlan(plan, now);
  for (const fleet::MaintenanceOrder& order : plan.maintenance_) {
    if (fleet::TakeOrder(orderBudget_, options_.ordersPerSecond_, now)) {
      OrderMaintenance(order);
    }
  }
  for (const fleet::MoveOrder& order : plan.moves_) {
    if (fleet::TakeOrder(orderBudget_, options_.ordersPerSecond_, now)) {
      OrderMove(order);
    }
  }
}

void
FleetManager::LogPlan(const fleet::FleetPlan& aPlan, clock::Moment aNow)
{
  if (aNow - planLoggedAt_ < kPlanLogInterval) {
    return;
  }
  planLoggedAt_ = aNow;
  std::map<std::string, int> up;
  std::map<std::string, int> notUp;
  for (const fleet::Host& host : hosts_) {
    const bool isUp = host.state_ == fleet::HostState::kUp;
    ++(isUp ? up : notUp)[host.pool_];
  }
  std::ostringstream text;
  for (const auto& [pool, count] : up) {
    const auto report = reports_.find(pool);
    const auto target = aPlan.targets_.find(pool);
    text << " pool=" << pool << " up=" << count << " coming=" << notUp[pool]
         << " wanted=" << (target == aPlan.targets_.end() ? 0 : target->second);
    if (report != reports_.end()) {
      const cells::CellReport& cellReport = report->second.report_;
      text << " lasting=" << cellReport.longRunningCores_ << " urgent=" << cellReport.urgentCores_
           << " forecast=" << cellReport.forecastCores_
           << " stuck=" << cellReport.unschedulableTasks_;
    }
  }
  log::Info("fleet",
            "event=plan moves=",
            aPlan.moves_.size(),
            " maintenance=",
            aPlan.maintenance_.size(),
            " closed=",
            aPlan.cordoned_.size(),
            text.str());
}

void
FleetManager::OrderMove(const fleet::MoveOrder& aOrder)
{
  if (!MayOrder(aOrder.host_)) {
    return;
  }
  lastOrderMs_[aOrder.host_] = UnixMs();
  pendingOrders_.insert(aOrder.host_);
  log::Info("fleet", "event=move host=", aOrder.host_, " pool=", aOrder.pool_);
  metrics_.Add("quetzal_moves_total", { { "pool", aOrder.pool_ } });
  const QPointer<FleetManager> self(this);
  hostPort_.Move(
    aOrder.host_, aOrder.pool_, Authority(), [self, aOrder](fleet::HostOrderStatus aStatus) {
      if (!self) {
        return;
      }
      self->pendingOrders_.erase(aOrder.host_);
      // A list that was read before the order still shows the host in its old pool.
      self->busySince_[aOrder.host_] = aStatus == fleet::HostOrderStatus::kNoAnswer
                                         ? Now()
                                         : Now() - kUnconfirmedOrderWindow + 2 * kListInterval;
      if (aStatus == fleet::HostOrderStatus::kAccepted) {
        for (fleet::Host& host : self->hosts_) {
          if (host.name_ == aOrder.host_) {
            host.pool_ = aOrder.pool_;
            host.state_ = fleet::HostState::kMoving;
          }
        }
        return;
      }
      log::Info(
        "fleet", "event=move-ended host=", aOrder.host_, " status=", fleet::ToString(aStatus));
    });
}

void
FleetManager::OrderMaintenance(const fleet::MaintenanceOrder& aOrder)
{
  if (!MayOrder(aOrder.host_)) {
    return;
  }
  lastOrderMs_[aOrder.host_] = UnixMs();
  fleet::WaveProgress& wave = waves_.at(aOrder.wave_);
  fleet::MaintenanceState& state = wave.hosts_.at(aOrder.host_);
  state = {};
  state.phase_ = fleet::MaintenancePhase::kOrdered;
  state.orderedAt_ = Now();
  for (const fleet::Host& host : hosts_) {
    if (host.name_ == aOrder.host_) {
      state.previousWorker_ = host.worker_;
    }
  }
  pendingOrders_.insert(aOrder.host_);
  log::Info("fleet", "event=maintain host=", aOrder.host_, " wave=", aOrder.wave_);
  const QPointer<FleetManager> self(this);
  hostPort_.Maintain(
    aOrder.host_, aOrder.wave_, Authority(), [self, aOrder](fleet::HostOrderStatus aStatus) {
      if (!self) {
        return;
      }
      self->pendingOrders_.erase(aOrder.host_);
      fleet::MaintenanceState& ordered = self->waves_.at(aOrder.wave_).hosts_.at(aOrder.host_);
      using fleet::HostOrderStatus;
      switch (aStatus) {
        case HostOrderStatus::kAccepted:
          ordered.acceptedAt_ = Now();
          self->StoreWave(self->waves_.at(aOrder.wave_));
          return;
        case HostOrderStatus::kNoAnswer:
          break; // The order is repeated: the host list does not prove that it was carried out.
        case HostOrderStatus::kInvalid:
        case HostOrderStatus::kNotOfWave:
          ordered.phase_ = fleet::MaintenancePhase::kDone;
          break;
        default:
          ordered = {};
          break;
      }
      log::Info("fleet",
                "event=maintain-ended host=",
                aOrder.host_,
                " wave=",
                aOrder.wave_,
                " status=",
                fleet::ToString(aStatus));
    });
}

void
FleetManager::StoreWave(const fleet::WaveProgress& aWave)
{
  std::vector<std::string> ordered;
  for (const auto& [name, state] : aWave.hosts_) {
    if (state.phase_ == fleet::MaintenancePhase::kDone || state.acceptedAt_) {
      ordered.push_back(name);
    }
  }
  store::Transaction change;
  change.puts_.push_back({ WaveKey(aWave.request_.number_), jobs::Encode(ordered), 0 });
  store_.Commit(change, [](const store::CommitResult& aResult) {
    if (aResult.status_ != store::Status::kSucceeded) {
      log::Warn("fleet", "event=wave-not-stored status=", store::ToString(aResult.status_));
    }
  });
}

void
FleetManager::RetryWaveStatus(std::int64_t aWave, bool aCompleted)
{
  QTimer::singleShot(kStatusRetryDelay, this, [this, aWave, aCompleted] {
    const auto wave = waves_.find(aWave);
    // An older state must not replace a newer one.
    if (wave != waves_.end() && wave->second.completed_ == aCompleted) {
      PublishWaveStatus(aWave, aCompleted);
    }
  });
}

void
FleetManager::PublishWaveStatus(std::int64_t aWave, bool aCompleted)
{
  const auto [key, value] = platformState_.WaveStatus(aWave, aCompleted);
  store::Transaction change;
  change.puts_.push_back({ key, value, 0 });
  const QPointer<FleetManager> self(this);
  store_.Commit(change, [self, aWave, aCompleted](const store::CommitResult& aResult) {
    if (self && !self->stopped_ && aResult.status_ != store::Status::kSucceeded) {
      self->RetryWaveStatus(aWave, aCompleted);
    }
  });
}

} // namespace quetzal::node
