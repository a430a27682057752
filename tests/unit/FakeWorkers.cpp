#include "tests/unit/FakeWorkers.h"

#include <QtCore/QTimer>

namespace quetzal::test {
namespace {

/** Time after which an unanswered call fails. */
constexpr std::chrono::milliseconds kCallTimeout{ 60 };
constexpr std::chrono::milliseconds kRestartTime{ 150 };

class FakePort
  : public QObject
  , public workers::WorkerPort
{
public:
  explicit FakePort(FakeWorker& aWorker)
    : worker_(aWorker)
  {
  }

  void Start(const workers::StartOrder& aOrder,
             std::function<void(const workers::OrderReply&)> aDone) override
  {
    OrderFate fate = OrderFate::kAnswered;
    if (!worker_.startFates_.empty()) {
      fate = worker_.startFates_.front();
      worker_.startFates_.pop_front();
    }
    if (!worker_.IsReachable()) {
      fate = OrderFate::kLost;
    }
    switch (fate) {
      case OrderFate::kAnswered:
        Answer(worker_.Start(aOrder), aDone);
        return;
      case OrderFate::kDoneUnanswered:
        worker_.Start(aOrder);
        break;
      case OrderFate::kLate:
        worker_.late_.push_back(aOrder);
        break;
      case OrderFate::kLost:
        break;
    }
    QTimer::singleShot(kCallTimeout, this, [aDone] { aDone({}); });
  }

  void Stop(const jobs::TaskId& aTask,
            std::int64_t aRun,
            std::int64_t aFence,
            std::function<void(const workers::OrderReply&)> aDone) override
  {
    if (!worker_.IsReachable()) {
      QTimer::singleShot(kCallTimeout, this, [aDone] { aDone({}); });
      return;
    }
    Answer(worker_.Stop(aTask, aRun, aFence), aDone);
  }

  void Poll(const workers::PollOrder& aOrder,
            std::function<void(const workers::WorkerStatus&)> aDone) override
  {
    if (!worker_.IsReachable() || !worker_.answersPolls_) {
      ++worker_.unansweredPolls_;
      QTimer::singleShot(worker_.pollTimeout_, this, [aDone] { aDone({}); });
      return;
    }
    const workers::WorkerStatus status = worker_.Poll(aOrder);
    QTimer::singleShot(0, this, [aDone, status] { aDone(status); });
  }

  void SetSpeed(const jobs::TaskId& aTask,
                std::int64_t /*aRun*/,
                int aPercent,
                std::int64_t /*aFence*/,
                std::function<void(const workers::OrderReply&)> aDone) override
  {
    if (!worker_.IsReachable() || worker_.lostSpeedOrders_ > 0) {
      worker_.lostSpeedOrders_ = std::max(0, worker_.lostSpeedOrders_ - 1);
      QTimer::singleShot(kCallTimeout, this, [aDone] { aDone({}); });
      return;
    }
    worker_.speeds_[aTask] = aPercent;
    Answer({ workers::OrderStatus::kAccepted, worker_.ClockMs() }, aDone);
  }

private:
  void Answer(const workers::OrderReply& aReply,
              const std::function<void(const workers::OrderReply&)>& aDone)
  {
    QTimer::singleShot(0, this, [aDone, aReply] { aDone(aReply); });
  }

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
FakeWorker::IsReachable() const
{
  return reachable_ && std::chrono::steady_clock::now() >= downUntil_;
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
  const auto ended = highestEndedRuns_.find(aOrder.task_);
  if (ended != highestEndedRuns_.end() && aOrder.run_ <= ended->second) {
    return { workers::OrderStatus::kSuperseded, clock };
  }
  leaseEndMs_ = std::max(leaseEndMs_, aOrder.deadlineMs_);
  if (running_.emplace(aOrder.task_, Run{ aOrder.run_ }).second) {
    starts_.emplace_back(aOrder.task_, aOrder.run_);
    if (onStart_) {
      onStart_(aOrder.task_);
    }
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
  const auto entry = running_.find(aTask);
  if (entry != running_.end() && entry->second.run_ == aRun && endsAtStop_) {
    End(aTask, jobs::EndKind::kStopped);
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
  acknowledged_ = std::max(acknowledged_, aOrder.acknowledgeUpTo_);
  for (const workers::EndedTask& end : ended_) {
    if (end.number_ <= acknowledged_ && onAcknowledged_) {
      onAcknowledged_(end);
    }
  }
  std::erase_if(ended_, [this](const auto& aEnd) { return aEnd.number_ <= acknowledged_; });
  status.status_ = workers::OrderStatus::kAccepted;
  leaseEndMs_ = std::max(leaseEndMs_, aOrder.leaseEndMs_.value_or(0));
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

void
FakeWorker::End(const jobs::TaskId& aTask, jobs::EndKind aKind, const std::string& aCheckpoint)
{
  const auto entry = running_.extract(aTask);
  if (!entry.empty()) {
    highestEndedRuns_[aTask] = std::max(highestEndedRuns_[aTask], entry.mapped().run_);
    ended_.push_back({ nextEnd_++, aTask, entry.mapped().run_, aKind, aCheckpoint });
  }
}

void
FakeWorker::Reboot()
{
  ++startedMs_;
  clockStartedAt_ = std::chrono::steady_clock::now();
  downUntil_ = clockStartedAt_ + kRestartTime;
  fence_ = 0;
  leaseEndMs_ = 0;
  running_.clear();
  ended_.clear();
  nextEnd_ = 1;
  acknowledged_ = 0;
  listed_ = 0;
  highestEndedRuns_.clear();
  late_.clear(); // An order names the incarnation that it is for; any other one rejects it.
}

void
FakeWorker::Expire()
{
  while (leaseEndMs_ < ClockMs() && !running_.empty()) {
    End(jobs::TaskId(running_.begin()->first), jobs::EndKind::kLapsed);
  }
}

void
FakeWorker::RunLate()
{
  std::vector<workers::StartOrder> late;
  late.swap(late_);
  for (const workers::StartOrder& order : late) {
    Start(order);
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
    return std::make_unique<FakePort>(*workers_.at(aId));
  };
}

int
FakeFleet::RunsOf(const jobs::TaskId& aTask) const
{
  int runs = 0;
  for (const auto& [id, worker] : workers_) {
    runs += worker->running_.contains(aTask) ? 1 : 0;
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
