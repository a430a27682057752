#include "include/quetzal/cells/Worker.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/workers/Evidence.h"
#include "include/quetzal/workers/RunBounds.h"

#include <algorithm>
#include <utility>

/** Orders to a worker and their answers: starts, stops and speed limits. */

namespace quetzal::cells {
namespace {

constexpr clock::Milliseconds kStopRetryDelay{ 300 };
/** Time for which nothing is started on a worker that found an order invalid or is unhealthy, and
 * after which a refused order is repeated. */
constexpr clock::Milliseconds kStartPause{ 700 };
/** A worker that leaves an order unanswered this often is asked no more; each repetition adds to
 * the time for which the order may still arrive. */
constexpr int kMaxRepeats = 8;

} // namespace

void
Worker::Start(const workers::StartOrder& aOrder, const workers::Run& aRun)
{
  workers::Run ordered = aRun;
  ordered.fence_ = fence_;
  workers::AddRun(state_, aOrder.task_, ordered);
  SendStart(std::make_shared<const workers::StartOrder>(aOrder));
  if (state_.runs_.size() == 1) {
    PollSoon();
  }
}

void
Worker::SendStart(const std::shared_ptr<const workers::StartOrder>& aOrder)
{
  const clock::Moment now = clock::Now();
  workers::StartOrder order = *aOrder;
  order.fence_ = fence_;
  order.deadlineMs_ =
    workers::ClockAt(state_, now) + static_cast<std::int64_t>(times_.startWindow_.count());
  state_.leaseEndMs_ = std::max(state_.leaseEndMs_, order.deadlineMs_);
  state_.leaseSentAt_ = now;
  workers::Run& run = state_.runs_.at(order.task_);
  run.fence_ = fence_;
  run.order_ = aOrder;
  run.inFlightSince_ = now;
  const SentStart sent{ aOrder, fence_, incarnation_, now };
  port_->Start(order, [this, sent](const auto& aReply) {
    Q_EMIT StartAnswered(sent.order_->run_);
    OnStartReply(sent, aReply);
  });
}

void
Worker::OnStartReply(const SentStart& aSent, const workers::OrderReply& aReply)
{
  using workers::OrderStatus;
  const workers::RunKey key{ aSent.order_->task_, aSent.order_->run_ };
  CheckIncarnation(aSent.sentAt_, aReply.clockMs_);
  const auto entry = state_.runs_.find(key.task_);
  if (entry == state_.runs_.end() || entry->second.number_ != key.number_) {
    return;
  }
  workers::Run& run = entry->second;
  const clock::Moment now = clock::Now();
  run.answeredAt_ = now;
  run.inFlightSince_ = {};
  switch (aReply.status_) {
    case OrderStatus::kAccepted:
      run.confirmed_ = run.confirmed_ || workers::ProvesPresentIncarnation(
                                           state_, aSent.sentAt_, now, aReply.clockMs_);
      if (run.state_ != workers::RunState::kStopping) {
        run.state_ = workers::RunState::kRunning;
      }
      if (run.unansweredAt_ == clock::Moment{}) {
        run.order_.reset();
      }
      return;
    case OrderStatus::kNoAnswer:
      run.unansweredAt_ = now;
      if (run.state_ == workers::RunState::kOrdered) {
        run.state_ = workers::RunState::kUnconfirmed;
      }
      PollSoon();
      return;
    case OrderStatus::kFenced:
      if (aSent.fence_ == fence_) {
        Q_EMIT Fenced();
        return;
      }
      break; // The worker started again before the order arrived.
    case OrderStatus::kOtherIncarnation:
      if (aSent.incarnation_ == incarnation_) {
        EndIncarnation();
        PollSoon();
        return;
      }
      break; // The worker has answered under its id since.
    case OrderStatus::kUnhealthy:
    case OrderStatus::kInvalid:
      PauseStarts(kStartPause);
      break;
    default:
      break;
  }
  OnStartRefused(key, aReply.status_);
}

void
Worker::OnStartRefused(const workers::RunKey& aKey, workers::OrderStatus aWhy)
{
  workers::Run& run = state_.runs_.at(aKey.task_);
  const clock::Moment now = clock::Now();
  // Another sending of the order is not refused with this one.
  if (run.confirmed_ || workers::MayStillBegin(run, now, times_)) {
    if (run.state_ == workers::RunState::kOrdered) {
      run.state_ = workers::RunState::kUnconfirmed;
    }
    run.repeatAfter_ = now + kStartPause;
    PollSoon();
    return;
  }
  workers::RemoveRun(state_, aKey.task_, aKey.number_);
  Q_EMIT StartFailed(aKey.task_, aKey.number_, aWhy);
}

void
Worker::RepeatStart(const workers::RunKey& aKey)
{
  const auto entry = state_.runs_.find(aKey.task_);
  if (entry == state_.runs_.end() || entry->second.number_ != aKey.number_ || !IsSchedulable() ||
      sinceLeaseLapse_() >= kLeaseLapseGrace) {
    return;
  }
  workers::Run& run = entry->second;
  if (!mayRepeat_ || !mayRepeat_(aKey)) {
    Stop(aKey.task_); // The cell no longer wants the run.
    return;
  }
  if (!run.order_ || run.repeats_ >= kMaxRepeats || clock::Now() < run.repeatAfter_) {
    return;
  }
  ++run.repeats_;
  Count("quetzal_starts_repeated_total");
  log::Detail("worker",
              "event=start-repeated worker=",
              registration_.id_,
              " task=",
              jobs::ToString(aKey.task_),
              " run=",
              aKey.number_,
              " repeats=",
              run.repeats_,
              workers::KnownIncarnationOf(state_, clock::Now()),
              workers::RunsThereOf(state_));
  SendStart(run.order_);
}

void
Worker::CheckIncarnation(clock::Moment aSentAt, std::int64_t aClockMs)
{
  if (aClockMs != 0 && state_.clock_ && !MayHaveRestarted() &&
      !workers::IsOfPresentIncarnation(state_, aSentAt, clock::Now(), aClockMs)) {
    NoteRestartSign("clock", aClockMs);
    restartNoticedAt_ = clock::Now();
    PollSoon();
  }
}

void
Worker::Adopt(const jobs::TaskId& aTask, const workers::Run& aRun)
{
  workers::Run adopted = aRun;
  adopted.confirmed_ = true;
  workers::AddRun(state_, aTask, adopted);
}

void
Worker::StopOrphan(const jobs::TaskId& aTask, const workers::Run& aRun)
{
  log::Detail("worker",
              "event=stray-stopped worker=",
              registration_.id_,
              " task=",
              jobs::ToString(aTask),
              " run=",
              aRun.number_);
  workers::Run stopping = aRun;
  stopping.state_ = workers::RunState::kStopping;
  stopping.confirmed_ = true;
  if (workers::AddOrphan(state_, aTask, stopping)) {
    SendStop(aTask, aRun.number_);
  }
}

void
Worker::Stop(const jobs::TaskId& aTask)
{
  const auto entry = state_.runs_.find(aTask);
  if (entry == state_.runs_.end()) {
    return;
  }
  entry->second.state_ = workers::RunState::kStopping;
  SendStop(aTask, entry->second.number_);
}

void
Worker::SendStop(const jobs::TaskId& aTask, std::int64_t aRun)
{
  const auto onReply =
    [this, aTask, aRun, fence = fence_, incarnation = incarnation_, sentAt = clock::Now()](
      const workers::OrderReply& aReply) {
      workers::Run* const run = workers::FindRun(state_, { aTask, aRun });
      if (run == nullptr) {
        return;
      }
      CheckIncarnation(sentAt, aReply.clockMs_);
      // An answer that arrives after a restart may be of the earlier incarnation.
      const bool isCurrent = incarnation == incarnation_;
      if (aReply.status_ == workers::OrderStatus::kFenced && fence == fence_) {
        Q_EMIT Fenced();
      } else if (isCurrent && aReply.status_ == workers::OrderStatus::kOtherIncarnation) {
        EndIncarnation();
        PollSoon();
      } else if (isCurrent && aReply.status_ == workers::OrderStatus::kAccepted) {
        run->stopConfirmedAt_ = clock::Now();
        PollSoon();
      } else {
        RetryStop(aTask, aRun);
      }
    };
  port_->Stop(aTask, aRun, fence_, onReply);
}

void
Worker::RetryStop(const jobs::TaskId& aTask, std::int64_t aRun)
{
  QTimer::singleShot(kStopRetryDelay, this, [this, aTask, aRun] {
    if (workers::FindRun(state_, { aTask, aRun }) != nullptr) {
      SendStop(aTask, aRun);
    }
  });
}

void
Worker::SetSpeed(const jobs::TaskId& aTask, int aPercent)
{
  const auto entry = state_.runs_.find(aTask);
  if (entry != state_.runs_.end()) {
    const std::int64_t run = entry->second.number_;
    entry->second.speedPercent_ = aPercent;
    port_->SetSpeed(aTask, run, aPercent, fence_, [this, aTask, run](const auto& aReply) {
      const auto current = state_.runs_.find(aTask);
      if (aReply.status_ != workers::OrderStatus::kAccepted && current != state_.runs_.end() &&
          current->second.number_ == run) {
        current->second.speedPercent_ = workers::kUnknownSpeed;
      }
    });
  }
}

} // namespace quetzal::cells
