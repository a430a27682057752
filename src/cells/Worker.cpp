#include "include/quetzal/cells/Worker.h"

#include "include/quetzal/log/Log.h"

#include <algorithm>

namespace quetzal::cells {
namespace {

/** A look waits this long for an end while something runs. */
constexpr clock::Milliseconds kLookWait{ 1'000 };
/** Ends are gathered for this long before the next look. */
constexpr clock::Milliseconds kLookPause{ 20 };
/** A look before the ends in hand are recorded would only list them again. */
constexpr clock::Milliseconds kRecordPause{ 150 };
/** Between looks at a worker on which nothing runs. */
constexpr clock::Milliseconds kIdlePause{ 3'000 };
/** Between looks at a worker that does not answer. */
constexpr clock::Milliseconds kSilentPause{ 250 };
constexpr clock::Milliseconds kBarPause{ 300 };
/** How long a worker that refused an order for its own reasons is left alone. */
constexpr clock::Milliseconds kUnhealthyPause{ 700 };

/** Where tasks that serve share a worker with tasks that fill, their figures are read this often.
 */
constexpr clock::Milliseconds kSharedLookWait{ 400 };

} // namespace

Worker::Worker(const workers::Registration& aRegistration,
               std::unique_ptr<workers::WorkerPort> aPort,
               std::int64_t aFence,
               const LeaseTimes& aTimes,
               TenureClock aTenure,
               QObject* aParent)
  : QObject(aParent)
  , registration_(aRegistration)
  , port_(std::move(aPort))
  , fence_(aFence)
  , times_(aTimes)
  , tenure_(std::move(aTenure))
{
  timer_.setSingleShot(true);
  connect(&timer_, &QTimer::timeout, this, &Worker::OnTimer);
}

void
Worker::Begin()
{
  Look();
}

void
Worker::Update(const workers::Registration& aRegistration)
{
  registered_ = true;
  registration_ = aRegistration;
}

bool
Worker::IsOpen() const
{
  return settled_ && registered_ && inRoster_ && !closed_ && !silent_ && !registration_.draining_ &&
         std::chrono::steady_clock::now() >= avoidedUntil_;
}

void
Worker::Avoid(clock::Milliseconds aTime)
{
  avoidedUntil_ = std::max(avoidedUntil_, std::chrono::steady_clock::now() + aTime);
}

void
Worker::Start(const workers::StartOrder& aOrder, const workers::Slot& aSlot)
{
  workers::AddSlot(book_, aOrder.task_, aSlot);
  workers::StartOrder order = aOrder;
  order.fence_ = fence_;
  order.deadlineMs_ = workers::ClockAt(book_, std::chrono::steady_clock::now()) +
                      static_cast<std::int64_t>(times_.startWindow_.count());
  book_.grantedMs_ = std::max(book_.grantedMs_, order.deadlineMs_);
  const jobs::TaskId task = aOrder.task_;
  const std::int64_t run = aOrder.run_;
  port_->Start(
    order, [this, task, run](const workers::OrderReply& aReply) { OnStart(task, run, aReply); });
  if (book_.slots_.size() == 1) {
    LookSoon();
  }
}

void
Worker::OnStart(const jobs::TaskId& aTask, std::int64_t aRun, const workers::OrderReply& aReply)
{
  using workers::OrderStatus;
  const auto slot = book_.slots_.find(aTask);
  if (slot == book_.slots_.end() || slot->second.run_ != aRun) {
    return;
  }
  slot->second.answeredAt_ = std::chrono::steady_clock::now();
  // Answers may overtake each other, so this is no proof; the next look tells.
  mayBeReborn_ = mayBeReborn_ ||
                 (aReply.clockMs_ != 0 && book_.clock_ && aReply.clockMs_ < book_.clock_->clockMs_);
  switch (aReply.status_) {
    case OrderStatus::kAccepted:
      if (slot->second.state_ == workers::SlotState::kOrdered) {
        slot->second.state_ = workers::SlotState::kRunning;
      }
      return;
    case OrderStatus::kFenced:
      Q_EMIT Fenced();
      return;
    case OrderStatus::kNoAnswer:
      if (slot->second.state_ == workers::SlotState::kOrdered) {
        slot->second.state_ = workers::SlotState::kUnsure;
      }
      LookSoon();
      return;
    case OrderStatus::kOtherLifetime:
      BeginLife(0);
      return;
    case OrderStatus::kUnhealthy:
    case OrderStatus::kInvalid:
      Avoid(kUnhealthyPause);
      break;
    default:
      break;
  }
  workers::RemoveSlot(book_, aTask, aRun);
  Q_EMIT StartEnded(aTask, aRun, aReply.status_);
}

void
Worker::Adopt(const jobs::TaskId& aTask, const workers::Slot& aSlot)
{
  workers::AddSlot(book_, aTask, aSlot);
}

void
Worker::StopStray(const jobs::TaskId& aTask, std::int64_t aRun)
{
  log::Info("worker",
            "event=stray-stopped worker=",
            registration_.id_,
            " task=",
            jobs::ToString(aTask),
            " run=",
            aRun);
  port_->Stop(aTask, aRun, fence_, [this](const workers::OrderReply& aReply) {
    if (aReply.status_ == workers::OrderStatus::kFenced) {
      Q_EMIT Fenced();
    } else if (aReply.status_ == workers::OrderStatus::kAccepted) {
      LookSoon();
    }
  });
}

void
Worker::Stop(const jobs::TaskId& aTask)
{
  const auto slot = book_.slots_.find(aTask);
  if (slot == book_.slots_.end()) {
    return;
  }
  slot->second.state_ = workers::SlotState::kStopping;
  Bar(aTask, slot->second.run_);
}

void
Worker::Bar(const jobs::TaskId& aTask, std::int64_t aRun)
{
  port_->Stop(aTask, aRun, fence_, [this, aTask, aRun](const workers::OrderReply& aReply) {
    const auto slot = book_.slots_.find(aTask);
    if (slot == book_.slots_.end() || slot->second.run_ != aRun) {
      return;
    }
    switch (aReply.status_) {
      case workers::OrderStatus::kAccepted:
        slot->second.barredAt_ = std::chrono::steady_clock::now();
        LookSoon();
        return;
      case workers::OrderStatus::kFenced:
        Q_EMIT Fenced();
        return;
      case workers::OrderStatus::kOtherLifetime:
        BeginLife(0);
        return;
      default:
        QTimer::singleShot(kBarPause, this, [this, aTask, aRun] {
          const auto again = book_.slots_.find(aTask);
          if (again != book_.slots_.end() && again->second.run_ == aRun) {
            Bar(aTask, aRun);
          }
        });
    }
  });
}

void
Worker::Pace(const jobs::TaskId& aTask, int aPercent)
{
  const auto slot = book_.slots_.find(aTask);
  if (slot != book_.slots_.end()) {
    const std::int64_t run = slot->second.run_;
    slot->second.pace_ = aPercent;
    port_->Pace(aTask, run, aPercent, fence_, [this, aTask, run](const auto& aReply) {
      const auto row = book_.slots_.find(aTask);
      if (aReply.status_ != workers::OrderStatus::kAccepted && row != book_.slots_.end() &&
          row->second.run_ == run) {
        row->second.pace_ = workers::kUnknownPace;
      }
    });
  }
}

void
Worker::MarkRecorded(int aLife, std::int64_t aNumber)
{
  if (aLife == life_) {
    book_.unrecorded_.erase(aNumber);
    if (book_.unrecorded_.empty()) {
      LookSoon();
    }
  }
}

void
Worker::LookSoon()
{
  if (looking_) {
    lookWanted_ = true;
    return;
  }
  Schedule(kLookPause);
}

void
Worker::Schedule(clock::Milliseconds aPause)
{
  if (!timer_.isActive() || timer_.remainingTimeAsDuration() > aPause) {
    timer_.start(aPause);
  }
}

void
Worker::OnTimer()
{
  const clock::Moment now = std::chrono::steady_clock::now();
  // Once the cell may have another owner, that one may have renewed the lease.
  const bool isOwner = tenure_() == clock::Milliseconds(0);
  if (silent_ && isOwner && !book_.slots_.empty() && workers::HasSurelyLapsed(book_, now)) {
    log::Warn("worker",
              "event=lease-lapsed worker=",
              registration_.id_,
              " runs=",
              book_.slots_.size(),
              " granted_ms=",
              book_.grantedMs_);
    EndAll(jobs::EndKind::kLapsed);
  }
  Look();
}

void
Worker::Look()
{
  if (looking_) {
    return;
  }
  looking_ = true;
  lookWanted_ = false;
  const clock::Moment now = std::chrono::steady_clock::now();
  workers::HoldOrder order;
  order.fence_ = fence_;
  // A worker may have begun another life, whose ends count anew: a number is told once only, and to
  // a worker that has answered since it listed that end.
  const std::int64_t recorded = workers::RecordedUpTo(book_);
  order.forgetUpTo_ = silent_ || mayBeReborn_ || recorded <= book_.forgotten_ ? 0 : recorded;
  const bool mayRenew = tenure_() < kTenureGrace;
  if (book_.clock_ && !book_.slots_.empty() && !silent_ && mayRenew) {
    order.deadlineMs_ =
      workers::ClockAt(book_, now) + static_cast<std::int64_t>(times_.lease_.count());
    book_.grantedMs_ = std::max(book_.grantedMs_, *order.deadlineMs_);
    order.wait_ = book_.unrecorded_.empty() ? kLookWait : kLookWait / 10;
    if (workers::IsShared(book_)) {
      order.wait_ = std::min(order.wait_, kSharedLookWait);
    }
  }
  port_->Hold(order, [this, now, told = order.forgetUpTo_](const workers::Look& aLook) {
    OnLook(aLook, told, now);
  });
}

void
Worker::OnLook(const workers::Look& aLook, std::int64_t aForgotten, clock::Moment aSentAt)
{
  looking_ = false;
  if (aLook.status_ == workers::OrderStatus::kFenced) {
    Q_EMIT Fenced();
    return;
  }
  if (aLook.status_ == workers::OrderStatus::kOtherLifetime) {
    BeginLife(0);
  }
  if (aLook.status_ != workers::OrderStatus::kAccepted) {
    OnSilence(aLook);
    return;
  }
  if (silent_) {
    log::Info("worker", "event=worker-back worker=", registration_.id_);
  }
  silent_ = false;
  mayBeReborn_ = false;
  const std::int64_t bornBefore = book_.bornMs_;
  if (aLook.bornMs_ != 0 && aLook.bornMs_ != book_.bornMs_) {
    BeginLife(aLook.bornMs_);
  }
  if (aLook.bornMs_ == bornBefore) {
    book_.forgotten_ = std::max(book_.forgotten_, aForgotten);
  }
  book_.clock_ = { aLook.clockMs_, std::chrono::steady_clock::now() };
  settled_ = true;
  ReadEnds(aLook.ended_);
  ReadRunning(aLook.running_, aSentAt);
  const bool idle = book_.slots_.empty() && aLook.ended_.empty();
  if (!book_.unrecorded_.empty()) {
    Schedule(kRecordPause);
  } else {
    Schedule(idle && !lookWanted_ ? kIdlePause : kLookPause);
  }
  Q_EMIT Looked();
}

void
Worker::OnSilence(const workers::Look& aLook)
{
  if (!silent_) {
    log::Warn("worker",
              "event=worker-silent worker=",
              registration_.id_,
              " status=",
              workers::ToString(aLook.status_),
              " runs=",
              book_.slots_.size());
  }
  silent_ = true;
  Schedule(kSilentPause);
  Q_EMIT Looked();
}

void
Worker::BeginLife(std::int64_t aBornMs)
{
  const bool isFirst = book_.bornMs_ == 0 && aBornMs != 0 && book_.slots_.empty();
  book_.bornMs_ = aBornMs;
  if (isFirst) {
    return;
  }
  log::Info("worker",
            "event=worker-reborn worker=",
            registration_.id_,
            " born=",
            aBornMs,
            " runs=",
            book_.slots_.size());
  ++life_;
  book_.processed_ = 0;
  book_.forgotten_ = 0;
  book_.unrecorded_.clear();
  book_.grantedMs_ = 0;
  EndAll(jobs::EndKind::kLapsed);
}

void
Worker::EndAll(jobs::EndKind aKind)
{
  std::map<jobs::TaskId, workers::Slot> slots;
  slots.swap(book_.slots_);
  book_.used_ = {};
  for (const auto& [task, slot] : slots) {
    Q_EMIT Ended(task, slot.run_, aKind, {}, 0);
  }
}

void
Worker::GiveUp()
{
  settled_ = true;
  EndAll(jobs::EndKind::kLapsed);
}

void
Worker::ReadEnds(const std::vector<workers::EndedTask>& aEnds)
{
  for (const workers::EndedTask& end : aEnds) {
    if (end.number_ <= book_.processed_) {
      continue;
    }
    book_.processed_ = end.number_;
    book_.unrecorded_.insert(end.number_);
    workers::RemoveSlot(book_, end.task_, end.run_);
    Q_EMIT Ended(end.task_, end.run_, end.kind_, end.checkpoint_, end.number_);
  }
}

void
Worker::ReadRunning(const std::vector<workers::RunningTask>& aRunning, clock::Moment aSentAt)
{
  std::set<jobs::TaskId> seen;
  for (const workers::RunningTask& running : aRunning) {
    const auto slot = book_.slots_.find(running.task_);
    if (slot == book_.slots_.end() || slot->second.run_ != running.run_) {
      Q_EMIT Found(running);
      continue;
    }
    seen.insert(running.task_);
    slot->second.figure_ = running.figure_;
    slot->second.progress_ = running.progress_;
    if (slot->second.state_ == workers::SlotState::kUnsure ||
        slot->second.state_ == workers::SlotState::kOrdered) {
      slot->second.state_ = workers::SlotState::kRunning;
      slot->second.answeredAt_ = std::chrono::steady_clock::now();
    }
  }
  CheckAbsent(seen, aSentAt);
}

void
Worker::CheckAbsent(const std::set<jobs::TaskId>& aSeen, clock::Moment aSentAt)
{
  std::vector<std::pair<jobs::TaskId, std::int64_t>> gone;
  std::vector<std::pair<jobs::TaskId, std::int64_t>> toBar;
  const clock::Moment never{};
  for (auto& [task, slot] : book_.slots_) {
    if (aSeen.contains(task) || slot.state_ == workers::SlotState::kOrdered) {
      continue;
    }
    const bool barred = slot.barredAt_ != never && slot.barredAt_ < aSentAt;
    const bool answered = slot.answeredAt_ != never && slot.answeredAt_ < aSentAt;
    if (barred || (slot.state_ == workers::SlotState::kRunning && answered)) {
      gone.emplace_back(task, slot.run_);
    } else if (slot.state_ == workers::SlotState::kUnsure && answered) {
      slot.state_ = workers::SlotState::kStopping;
      toBar.emplace_back(task, slot.run_);
    }
  }
  for (const auto& [task, run] : gone) {
    workers::RemoveSlot(book_, task, run);
    Q_EMIT StartEnded(task, run, workers::OrderStatus::kNoAnswer);
  }
  for (const auto& [task, run] : toBar) {
    Bar(task, run);
  }
}

} // namespace quetzal::cells
