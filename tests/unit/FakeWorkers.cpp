#include "tests/unit/FakeWorkers.h"

#include "include/quetzal/clock/Now.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>

#include <algorithm>
#include <utility>

namespace quetzal::test {
namespace {

/** Time after which an unanswered call fails. */
constexpr std::chrono::milliseconds kCallTimeout{ 60 };

class FakePort
  : public QObject
  , public workers::WorkerPort
{
public:
  FakePort(std::string aId, FakeWorker& aWorker)
    : id_(std::move(aId))
    , worker_(aWorker)
  {
  }

  void Start(const workers::StartOrder& aOrder,
             std::function<void(const workers::OrderReply&)> aDone) override
  {
    ++worker_.sentStarts_;
    Call<workers::OrderReply>(
      CallKind::kStart,
      kCallTimeout,
      [worker = &worker_, aOrder] { return worker->Start(aOrder); },
      std::move(aDone));
  }

  void Stop(const jobs::TaskId& aTask,
            std::int64_t aRun,
            std::int64_t aFence,
            std::function<void(const workers::OrderReply&)> aDone) override
  {
    Call<workers::OrderReply>(
      CallKind::kStop,
      kCallTimeout,
      [worker = &worker_, aTask, aRun, aFence] { return worker->Stop(aTask, aRun, aFence); },
      std::move(aDone));
  }

  void Poll(const workers::PollOrder& aOrder,
            std::function<void(const workers::WorkerStatus&)> aDone) override
  {
    Call<workers::WorkerStatus>(
      CallKind::kPoll,
      worker_.pollTimeout_,
      [worker = &worker_, aOrder] { return worker->Poll(aOrder); },
      std::move(aDone));
  }

  void SetSpeed(const jobs::TaskId& aTask,
                std::int64_t aRun,
                int aPercent,
                std::int64_t aFence,
                std::function<void(const workers::OrderReply&)> aDone) override
  {
    Call<workers::OrderReply>(
      CallKind::kSpeed,
      kCallTimeout,
      [worker = &worker_, aTask, aRun, aPercent, aFence] {
        return worker->SetSpeed(aTask, aRun, aPercent, aFence);
      },
      std::move(aDone));
  }

private:
  /** Calls back once: with an answer, or with none after the timeout. */
  template<typename Reply>
  using Done = std::shared_ptr<std::function<void(const Reply&)>>;

  template<typename Reply>
  static void Finish(const Done<Reply>& aDone, const Reply& aReply)
  {
    if (*aDone) {
      std::exchange(*aDone, nullptr)(aReply);
    }
  }

  std::deque<OrderFate>& Fates(CallKind aKind)
  {
    switch (aKind) {
      case CallKind::kStart:
        return worker_.startFates_;
      case CallKind::kStop:
        return worker_.stopFates_;
      case CallKind::kPoll:
        return worker_.pollFates_;
      case CallKind::kSpeed:
        break;
    }
    return worker_.speedFates_;
  }

  OrderFate TakeFate(CallKind aKind)
  {
    std::deque<OrderFate>& fates = Fates(aKind);
    if (fates.empty()) {
      return OrderFate::kAnswered;
    }
    const OrderFate fate = fates.front();
    fates.pop_front();
    return fate;
  }

  template<typename Reply>
  void Call(CallKind aKind,
            std::chrono::milliseconds aTimeout,
            const std::function<Reply()>& aCarryOut,
            std::function<void(const Reply&)> aDone)
  {
    const auto done = std::make_shared<std::function<void(const Reply&)>>(std::move(aDone));
    QTimer::singleShot(aTimeout, Qt::PreciseTimer, this, [done] { Finish(done, Reply{}); });
    const OrderFate fate = TakeFate(aKind);
    if (fate == OrderFate::kLost) {
      return;
    }
    const auto carryOut = [worker = &worker_, id = id_, aCarryOut] {
      if (worker->answersAs_ != id) {
        Reply reply;
        reply.status_ = workers::OrderStatus::kOtherIncarnation;
        return reply;
      }
      return aCarryOut();
    };
    if (fate == OrderFate::kLate) {
      SendLate([carryOut] { carryOut(); });
      return;
    }
    const Transit transit = worker_.transit_ ? worker_.transit_(aKind) : Transit{};
    const auto arrive = [worker = &worker_,
                         port = QPointer<FakePort>(this),
                         aKind,
                         carryOut,
                         done,
                         back = transit.back_,
                         answers = fate == OrderFate::kAnswered] {
      const bool isPoll = aKind == CallKind::kPoll;
      if (!worker->IsReachable() || (isPoll && !worker->answersPolls_)) {
        worker->unansweredPolls_ += isPoll ? 1 : 0;
        return;
      }
      const Reply reply = carryOut();
      if (answers && port) {
        worker->answeredPolls_ += isPoll ? 1 : 0;
        QTimer::singleShot(back, Qt::PreciseTimer, port, [done, reply] { Finish(done, reply); });
      }
    };
    if (transit.there_.count() == 0) {
      arrive();
    } else {
      QTimer::singleShot(transit.there_, Qt::PreciseTimer, &worker_.context_, arrive);
    }
  }

  void SendLate(std::function<void()> aCarryOut)
  {
    if (!worker_.lateness_) {
      worker_.late_.push_back({ worker_.restarts_, std::move(aCarryOut) });
      return;
    }
    QTimer::singleShot(worker_.lateness_(),
                       Qt::PreciseTimer,
                       &worker_.context_,
                       [worker = &worker_, carryOut = std::move(aCarryOut)] {
                         if (!worker->IsRestarting()) {
                           carryOut();
                         }
                       });
  }

  const std::string id_; ///< Named as the target of each call.
  FakeWorker& worker_;
};

} // namespace

std::int64_t
FakeWorker::ClockMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               clockStartedAt_)
           .count() +
         1;
}

bool
FakeWorker::IsRestarting() const
{
  return std::chrono::steady_clock::now() < downUntil_;
}

bool
FakeWorker::IsReachable() const
{
  return reachable_ && !IsRestarting();
}

workers::OrderReply
FakeWorker::Start(const workers::StartOrder& aOrder)
{
  const std::int64_t clock = ClockMs();
  if (aOrder.fence_ < fence_) {
    return { workers::OrderStatus::kFenced, clock };
  }
  fence_ = aOrder.fence_;
  if (aOrder.deadlineMs_ < clock) {
    return { workers::OrderStatus::kLate, clock };
  }
  if (wantsTicket_ && aOrder.ticket_ != "ticket-" + id_) {
    return { workers::OrderStatus::kNoTicket, clock };
  }
  leaseEndMs_ = std::max(leaseEndMs_, std::min(aOrder.deadlineMs_, clock + longestLease_.count()));
  if (IsRunning(aOrder.task_, aOrder.run_)) {
    return { workers::OrderStatus::kAccepted, clock };
  }
  const auto ended = highestEndedRuns_.find(aOrder.task_);
  if (ended != highestEndedRuns_.end() && aOrder.run_ <= ended->second) {
    return { workers::OrderStatus::kSuperseded, clock };
  }
  concurrentStarts_ += running_.contains(aOrder.task_) ? 1 : 0;
  BeginRun(aOrder.task_, aOrder.run_);
  starts_.emplace_back(aOrder.task_, aOrder.run_);
  if (onStart_) {
    onStart_(aOrder.task_);
  }
  return { workers::OrderStatus::kAccepted, clock };
}

workers::OrderReply
FakeWorker::Stop(const jobs::TaskId& aTask, std::int64_t aRun, std::int64_t aFence)
{
  if (aFence < fence_) {
    return { workers::OrderStatus::kFenced, ClockMs() };
  }
  fence_ = aFence;
  highestEndedRuns_[aTask] = std::max(highestEndedRuns_[aTask], aRun);
  if (endsAtStop_) {
    EndRun(aTask, aRun, jobs::EndKind::kStopped, {});
  }
  return { workers::OrderStatus::kAccepted, ClockMs() };
}

workers::WorkerStatus
FakeWorker::Poll(const workers::PollOrder& aOrder)
{
  workers::WorkerStatus status;
  status.clockMs_ = ClockMs();
  status.startedMs_ = startedMs_;
  if (aOrder.fence_ < fence_) {
    status.status_ = workers::OrderStatus::kFenced;
    return status;
  }
  fence_ = aOrder.fence_;
  for (const workers::EndedTask& end : ended_) {
    if (end.number_ <= aOrder.acknowledgeUpTo_ && onAcknowledged_) {
      onAcknowledged_(end);
    }
  }
  std::erase_if(ended_, [&](const auto& aEnd) { return aEnd.number_ <= aOrder.acknowledgeUpTo_; });
  status.status_ = workers::OrderStatus::kAccepted;
  leaseEndMs_ = std::max(
    leaseEndMs_, std::min(aOrder.leaseEndMs_.value_or(0), status.clockMs_ + longestLease_.count()));
  for (const auto& [task, run] : running_) {
    const auto measurement = measurements_.find(task);
    status.running_.push_back(
      { task, run.run_, {}, 100, measurement == measurements_.end() ? 0 : measurement->second });
  }
  const std::size_t listed = std::min(ended_.size(), maxListedEnds_);
  status.ended_.assign(ended_.begin(), ended_.begin() + static_cast<std::ptrdiff_t>(listed));
  status.mayHaveMoreEnds_ = listed == maxListedEnds_;
  listed_ = status.ended_.empty() ? listed_ : status.ended_.back().number_;
  return status;
}

workers::OrderReply
FakeWorker::SetSpeed(const jobs::TaskId& aTask,
                     std::int64_t aRun,
                     int aPercent,
                     std::int64_t aFence)
{
  if (aFence < fence_) {
    return { workers::OrderStatus::kFenced, ClockMs() };
  }
  fence_ = aFence;
  if (IsRunning(aTask, aRun)) {
    speeds_[aTask] = aPercent;
  }
  return { workers::OrderStatus::kAccepted, ClockMs() };
}

bool
FakeWorker::IsRunning(const jobs::TaskId& aTask, std::int64_t aRun) const
{
  const auto [begin, end] = running_.equal_range(aTask);
  return std::any_of(begin, end, [aRun](const auto& aEntry) { return aEntry.second.run_ == aRun; });
}

std::int64_t
FakeWorker::RunOf(const jobs::TaskId& aTask) const
{
  const auto entry = running_.lower_bound(aTask);
  return entry == running_.end() || entry->first != aTask ? 0 : entry->second.run_;
}

void
FakeWorker::BeginRun(const jobs::TaskId& aTask, std::int64_t aRun)
{
  running_.emplace(aTask, Run{ aRun });
}

void
FakeWorker::End(const jobs::TaskId& aTask, jobs::EndKind aKind, const std::string& aCheckpoint)
{
  EndRun(aTask, RunOf(aTask), aKind, aCheckpoint);
}

void
FakeWorker::EndRun(const jobs::TaskId& aTask,
                   std::int64_t aRun,
                   jobs::EndKind aKind,
                   const std::string& aCheckpoint)
{
  const auto [begin, end] = running_.equal_range(aTask);
  const auto entry =
    std::find_if(begin, end, [aRun](const auto& aEntry) { return aEntry.second.run_ == aRun; });
  if (entry != end) {
    highestEndedRuns_[aTask] = std::max(highestEndedRuns_[aTask], aRun);
    ended_.push_back({ nextEnd_++, aTask, aRun, aKind, aCheckpoint });
    running_.erase(entry);
    if (onEnded_) {
      onEnded_(ended_.back());
    }
  }
}

void
FakeWorker::Reboot()
{
  std::erase_if(late_, [this](const LateCall& aCall) { return aCall.restarts_ < restarts_; });
  ++restarts_;
  startedMs_ = std::max(startedMs_ + 1, clock::UnixMs());
  const auto now = std::chrono::steady_clock::now();
  clockStartedAt_ = now - nextClock_;
  downUntil_ = now + restartTime_;
  fence_ = 0;
  leaseEndMs_ = 0;
  running_.clear();
  ended_.clear();
  nextEnd_ = 1;
  lapsedEnds_ = 0;
  listed_ = 0;
  answeredPolls_ = 0;
  highestEndedRuns_.clear();
  speeds_.clear();
}

void
FakeWorker::RebootAs(const std::string& aId)
{
  Reboot();
  answersAs_ = aId;
}

void
FakeWorker::Expire()
{
  if (leaseEndMs_ >= ClockMs()) {
    return;
  }
  lapsedEnds_ = nextEnd_ - 1;
  while (!running_.empty()) {
    End(jobs::TaskId(running_.begin()->first), jobs::EndKind::kLapsed);
  }
}

void
FakeWorker::RunLate()
{
  if (IsRestarting()) {
    return;
  }
  std::vector<LateCall> late;
  late.swap(late_);
  for (const LateCall& call : late) {
    call.carryOut_();
  }
}

FakeWorker&
FakeFleet::Add(const std::string& aId)
{
  return *(workers_[aId] = std::make_unique<FakeWorker>(aId));
}

workers::WorkerPortFactory
FakeFleet::Factory()
{
  return [this](const std::string& aId, const settings::Endpoint& /*aEndpoint*/) {
    return std::make_unique<FakePort>(aId, *workers_.at(aId));
  };
}

int
FakeFleet::RunsOf(const jobs::TaskId& aTask) const
{
  int runs = 0;
  for (const auto& [id, worker] : workers_) {
    runs += static_cast<int>(worker->running_.count(aTask));
  }
  return runs;
}

void
FakeAdvice::Request(const std::string& aStep,
                    const std::vector<std::string>& aWorkers,
                    std::function<void(const workers::PlacementAdvice&)> aDone)
{
  requests_.emplace_back(aStep, aWorkers);
  workers::PlacementAdvice advice;
  advice.answered_ = answers_;
  advice.validity_ = validity_;
  for (const std::string& worker : aWorkers) {
    if (permitted_.contains(worker)) {
      advice.tickets_.push_back({ worker, "ticket-" + worker });
    }
  }
  QTimer::singleShot(0, [aDone, advice] { aDone(advice); });
}

void
FakePlatformState::Register(const std::string& aId, const std::string& aService, std::int64_t aCpu)
{
  workers::Registration& registration = registrations_[aId];
  registration.id_ = aId;
  registration.service_ = aService;
  registration.endpoint_ = { "127.0.0.1", 80 };
  registration.capacity_ = { aCpu, 64'000, 0 };
  registration.labels_ = { "kind", "r1" };
  Q_EMIT WorkersChanged();
}

void
FakePlatformState::Unregister(const std::string& aId)
{
  registrations_.erase(aId);
  Q_EMIT WorkersChanged();
}

} // namespace quetzal::test
