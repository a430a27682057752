#include "include/quetzal/node/FleetManager.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <algorithm>

namespace quetzal::node {
namespace {

using clock::Now;
using clock::UnixMs;

constexpr clock::Milliseconds kInterval{ 150 };
constexpr clock::Milliseconds kPlanLogInterval{ 1'000 };
/** A pool's need is the highest of its reports in this time: arrivals come in uneven groups. */
constexpr clock::Milliseconds kForecastMemory{ 1'200 };
/** Reports older than this are not acted on. */
constexpr clock::Milliseconds kReportAge{ 600 };
/** A list older than this is not acted on. */
constexpr clock::Milliseconds kListAge{ 800 };
/** A worker that was reported this long before the list was asked for must be on it. */
constexpr clock::Milliseconds kListLag{ 700 };
/** Hosts are not returned in this time after the fleet's first owner began. */
constexpr clock::Milliseconds kNoReturns{ 8'000 };
constexpr clock::Milliseconds kRetryPause{ 300 };
/** How far the hosts' times of day may lie apart. */
constexpr clock::Milliseconds kClockDifference{ 2'500 };
/** Orders older than this mean nothing to a successor. */
constexpr std::int64_t kHandOverMemoryMs = 20'000;
/** After an order without an answer, the host is left alone until the list tells. */
constexpr clock::Milliseconds kUnsureTime{ 3'000 };
/** Share of the platform's rate of reads that one owner uses: its predecessor may read too. */
constexpr double kReadShare = 0.5;
/** Share of the platform's rate of orders that is used, and the most that may be saved up. */
constexpr double kOrderShare = 0.8;
constexpr double kMostRights = 20;

std::string
WaveKey(std::int64_t aWave)
{
  return "quetzal/wave/" + std::to_string(aWave);
}

/** Returns how long a list that took some reads must last. */
clock::Milliseconds
PauseFor(int aReads, double aReadsPerSecond)
{
  constexpr double kMillisecondsPerSecond = 1'000;
  const double rate = std::max(aReadsPerSecond * kReadShare, 1.0);
  return clock::Milliseconds(static_cast<std::int64_t>(aReads * kMillisecondsPerSecond / rate));
}

} // namespace

FleetManager::FleetManager(fleet::HostPort& aMachines,
                           store::SharedStore& aStore,
                           Feed& aFeed,
                           metrics::Registry& aMetrics,
                           const FleetTenure& aTenure,
                           const FleetOptions& aOptions,
                           QObject* aParent)
  : QObject(aParent)
  , machines_(aMachines)
  , store_(aStore)
  , feed_(aFeed)
  , metrics_(aMetrics)
  , tenure_(aTenure)
  , options_(aOptions)
  , begun_(Now())
  , rightsAt_(begun_)
{
  connect(&timer_, &QTimer::timeout, this, &FleetManager::Tick);
  timer_.start(kInterval);
  log::Info("fleet",
            "event=fleet-begun fence=",
            tenure_.fence_,
            " predecessor=",
            tenure_.predecessorFence_);
  ReadHandOver();
}

void
FleetManager::ReadHandOver()
{
  const QPointer<FleetManager> self(this);
  store_.Get(kFleetHandOverKey, [self](const store::ReadResult& aResult) {
    jobs::FleetHandOver record;
    if (self && aResult.status_ == store::Status::kSucceeded && !aResult.items_.empty() &&
        jobs::Decode(aResult.items_.front().value_, record) &&
        record.fence_ == self->tenure_.predecessorFence_) {
      log::Info("fleet", "event=hand-over-read hosts=", record.orderedMs_.size());
      self->handOver_ = record;
    }
  });
}

jobs::FleetHandOver
FleetManager::HandOver() const
{
  jobs::FleetHandOver record{ tenure_.fence_, orderMs_ };
  const std::int64_t oldest = UnixMs() - kHandOverMemoryMs;
  std::erase_if(record.orderedMs_, [oldest](const auto& aRow) { return aRow.second < oldest; });
  if (handOver_) {
    record.orderedMs_.insert(handOver_->orderedMs_.begin(), handOver_->orderedMs_.end());
  } else if (Now() - begun_ < options_.orderGap_) {
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
  ReportRow& row = reports_[aReport.service_];
  row.report_ = aReport;
  row.at_ = now;
  row.forecasts_.emplace_back(now, std::max(aReport.urgentCores_, aReport.forecastCores_));
  while (now - row.forecasts_.front().first > kForecastMemory) {
    row.forecasts_.pop_front();
  }
  CellOrders orders;
  std::map<std::string, clock::Moment> firstReported;
  for (const cells::WorkerReport& worker : aReport.workers_) {
    const auto known = row.firstReported_.find(worker.id_);
    firstReported[worker.id_] = known == row.firstReported_.end() ? now : known->second;
    if (IsGone(worker.id_, firstReported[worker.id_])) {
      orders.gone_.insert(worker.id_);
    }
    if (closed_.contains(worker.id_)) {
      orders.closed_.insert(worker.id_);
    }
    if (vacate_.contains(worker.id_)) {
      orders.vacate_.insert(worker.id_);
    }
  }
  row.firstReported_ = std::move(firstReported);
  return orders;
}

bool
FleetManager::IsGone(const std::string& aWorker, clock::Moment aFirstReported) const
{
  // A worker may be younger than the list.
  return listAskedAt_ > aFirstReported + kListLag && !listedWorkers_.contains(aWorker);
}

fleet::OrderAuthority
FleetManager::Authority() const
{
  return { tenure_.holder_, tenure_.fence_ };
}

bool
FleetManager::MayOrder() const
{
  const bool predecessorIsKnown = handOver_.has_value();
  return !stopped_ && tenure_.isSure_() &&
         (predecessorIsKnown || Now() - begun_ > options_.orderGap_);
}

bool
FleetManager::MayOrder(const std::string& aMachine) const
{
  if (!MayOrder()) {
    return false;
  }
  if (Now() - begun_ > options_.orderGap_ || !handOver_) {
    return true;
  }
  const auto last = handOver_->orderedMs_.find(aMachine);
  const auto gap = options_.orderGap_ + kClockDifference;
  return last == handOver_->orderedMs_.end() || UnixMs() - last->second > gap.count();
}

void
FleetManager::Tick()
{
  if (listing_ || stopped_ || Now() < listNext_) {
    return;
  }
  listing_ = true;
  const QPointer<FleetManager> self(this);
  machines_.List([self, askedAt = Now()](const fleet::HostList& aList) {
    if (self) {
      self->listing_ = false;
      self->listNext_ = askedAt + PauseFor(aList.requests_, self->options_.readsPerSecond_);
      self->OnList(aList, askedAt);
    }
  });
}

void
FleetManager::OnList(const fleet::HostList& aList, clock::Moment aAskedAt)
{
  if (!aList.complete_) {
    return;
  }
  list_ = aList.hosts_;
  listAt_ = Now();
  listAskedAt_ = aAskedAt;
  listedWorkers_.clear();
  for (const fleet::Host& machine : list_) {
    listedWorkers_.insert(machine.worker_);
  }
  SyncWaves();
  for (auto& [number, wave] : waves_) {
    const bool before = wave.completed_;
    fleet::UpdateWave(wave, list_, options_.maintenanceTime_, listAt_);
    if (wave.completed_ && !before) {
      log::Info("fleet", "event=wave-completed wave=", number, " hosts=", wave.hosts_.size());
      ShowWave(number, true);
    }
  }
  Act();
}

void
FleetManager::SyncWaves()
{
  for (const auto& [number, request] : feed_.Waves()) {
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
  const auto request = feed_.Waves().find(aWave);
  if (aResult.status_ != store::Status::kSucceeded || request == feed_.Waves().end()) {
    return; // Read again at the next list.
  }
  std::vector<std::string> done;
  if (!aResult.items_.empty() && !jobs::Decode(aResult.items_.front().value_, done)) {
    log::Warn("fleet", "event=wave-record-ignored wave=", aWave);
  }
  fleet::WaveProgress wave;
  wave.request_ = request->second;
  wave.receivedAt_ = Now();
  for (const std::string& machine : request->second.hosts_) {
    wave.hosts_[machine] = {};
  }
  for (const std::string& machine : done) {
    // Ordered by an earlier owner: done once the list shows it up after the usual time.
    fleet::MaintenanceState& state = wave.hosts_[machine];
    state.phase_ = fleet::MaintenancePhase::kOrdered;
    state.orderedAt_ = Now();
    state.accepted_ = true;
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
  ShowWave(aWave, false);
}

fleet::FleetView
FleetManager::View(clock::Moment aNow) const
{
  fleet::FleetView view;
  view.hosts_ = list_;
  view.standbyPool_ = jobs::StandbyPoolOf(feed_.Configuration());
  view.busyHosts_ = busy_;
  for (const auto& [name, at] : orderedAt_) {
    if (aNow - at < kUnsureTime) {
      view.busyHosts_.insert(name);
    }
  }
  for (const auto& [service, row] : reports_) {
    fleet::PoolDemand demand;
    demand.longRunningCores_ = row.report_.longRunningCores_;
    demand.longRunningMemoryMb_ = row.report_.longRunningMemory_;
    demand.unschedulableTasks_ = row.report_.unschedulableTasks_;
    demand.urgentCores_ = row.report_.urgentCores_;
    for (const auto& [at, cores] : row.forecasts_) {
      demand.forecastCores_ = std::max(demand.forecastCores_, cores);
    }
    demand.fresh_ = aNow - row.at_ < kReportAge;
    for (const cells::WorkerReport& worker : row.report_.workers_) {
      const bool released = worker.cordoned_ && worker.synchronized_ && worker.runs_ == 0 &&
                            closed_.contains(worker.id_);
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

bool
FleetManager::TakeOrderRight()
{
  const clock::Moment now = Now();
  const double passed = std::chrono::duration<double>(now - rightsAt_).count();
  rightsAt_ = now;
  orderRights_ =
    std::min(kMostRights, orderRights_ + passed * options_.ordersPerSecond_ * kOrderShare);
  if (orderRights_ < 1) {
    return false;
  }
  orderRights_ -= 1;
  return true;
}

void
FleetManager::Act()
{
  const clock::Moment now = Now();
  if (!MayOrder() || now - listAt_ > kListAge) {
    return;
  }
  fleet::PlannerOptions planner = options_.planner_;
  planner.mayReturnHosts_ = now - begun_ > kNoReturns;
  const fleet::FleetPlan plan = fleet::MakePlan(View(now), planner, now);
  closed_ = plan.cordoned_;
  vacate_ = plan.evict_;
  LogPlan(plan, now);
  for (const fleet::MaintenanceOrder& order : plan.maintenance_) {
    if (TakeOrderRight()) {
      Maintain(order);
    }
  }
  for (const fleet::MoveOrder& order : plan.moves_) {
    if (TakeOrderRight()) {
      Move(order);
    }
  }
}

void
FleetManager::LogPlan(const fleet::FleetPlan& aPlan, clock::Moment aNow)
{
  if (aNow - loggedAt_ < kPlanLogInterval) {
    return;
  }
  loggedAt_ = aNow;
  std::map<std::string, int> up;
  std::map<std::string, int> coming;
  for (const fleet::Host& machine : list_) {
    const bool isUp = machine.state_ == fleet::HostState::kUp;
    ++(isUp ? up : coming)[machine.pool_];
  }
  std::ostringstream text;
  for (const auto& [pool, count] : up) {
    const auto report = reports_.find(pool);
    const auto target = aPlan.targets_.find(pool);
    text << " pool=" << pool << " up=" << count << " coming=" << coming[pool]
         << " wanted=" << (target == aPlan.targets_.end() ? 0 : target->second);
    if (report != reports_.end()) {
      const cells::CellReport& row = report->second.report_;
      text << " lasting=" << row.longRunningCores_ << " urgent=" << row.urgentCores_
           << " forecast=" << row.forecastCores_ << " stuck=" << row.unschedulableTasks_;
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
FleetManager::Move(const fleet::MoveOrder& aOrder)
{
  if (!MayOrder(aOrder.host_)) {
    return;
  }
  orderMs_[aOrder.host_] = UnixMs();
  busy_.insert(aOrder.host_);
  log::Info("fleet", "event=move host=", aOrder.host_, " pool=", aOrder.pool_);
  metrics_.Add("quetzal_moves_total", { { "pool", aOrder.pool_ } });
  const QPointer<FleetManager> self(this);
  machines_.Move(
    aOrder.host_, aOrder.pool_, Authority(), [self, aOrder](fleet::HostOrderStatus aStatus) {
      if (!self) {
        return;
      }
      self->busy_.erase(aOrder.host_);
      // The list that was read before the order shows the host where it was.
      self->orderedAt_[aOrder.host_] =
        aStatus == fleet::HostOrderStatus::kNoAnswer ? Now() : Now() - kUnsureTime + 2 * kInterval;
      if (aStatus == fleet::HostOrderStatus::kAccepted) {
        for (fleet::Host& machine : self->list_) {
          if (machine.name_ == aOrder.host_) {
            machine.pool_ = aOrder.pool_;
            machine.state_ = fleet::HostState::kMoving;
          }
        }
        return;
      }
      log::Info(
        "fleet", "event=move-ended host=", aOrder.host_, " status=", fleet::ToString(aStatus));
    });
}

void
FleetManager::Maintain(const fleet::MaintenanceOrder& aOrder)
{
  if (!MayOrder(aOrder.host_)) {
    return;
  }
  orderMs_[aOrder.host_] = UnixMs();
  fleet::WaveProgress& wave = waves_.at(aOrder.wave_);
  fleet::MaintenanceState& state = wave.hosts_.at(aOrder.host_);
  state = {};
  state.phase_ = fleet::MaintenancePhase::kOrdered;
  state.orderedAt_ = Now();
  for (const fleet::Host& machine : list_) {
    if (machine.name_ == aOrder.host_) {
      state.previousWorker_ = machine.worker_;
    }
  }
  busy_.insert(aOrder.host_);
  log::Info("fleet", "event=maintain host=", aOrder.host_, " wave=", aOrder.wave_);
  const QPointer<FleetManager> self(this);
  machines_.Maintain(
    aOrder.host_, aOrder.wave_, Authority(), [self, aOrder](fleet::HostOrderStatus aStatus) {
      if (!self) {
        return;
      }
      self->busy_.erase(aOrder.host_);
      fleet::MaintenanceState& ordered = self->waves_.at(aOrder.wave_).hosts_.at(aOrder.host_);
      using fleet::HostOrderStatus;
      switch (aStatus) {
        case HostOrderStatus::kAccepted:
          ordered.accepted_ = true;
          self->StoreWave(self->waves_.at(aOrder.wave_));
          return;
        case HostOrderStatus::kNoAnswer:
          break; // The list tells whether it was carried out.
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
    if (state.phase_ == fleet::MaintenancePhase::kDone || state.accepted_) {
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
FleetManager::ShowWaveLater(std::int64_t aWave, bool aCompleted)
{
  QTimer::singleShot(kRetryPause, this, [this, aWave, aCompleted] {
    const auto wave = waves_.find(aWave);
    // An older state must not replace a newer one.
    if (wave != waves_.end() && wave->second.completed_ == aCompleted) {
      ShowWave(aWave, aCompleted);
    }
  });
}

void
FleetManager::ShowWave(std::int64_t aWave, bool aCompleted)
{
  const auto [key, value] = feed_.WaveStatus(aWave, aCompleted);
  store::Transaction change;
  change.puts_.push_back({ key, value, 0 });
  const QPointer<FleetManager> self(this);
  store_.Commit(change, [self, aWave, aCompleted](const store::CommitResult& aResult) {
    if (self && !self->stopped_ && aResult.status_ != store::Status::kSucceeded) {
      self->ShowWaveLater(aWave, aCompleted);
    }
  });
}

} // namespace quetzal::node
