#include "include/quetzal/cells/Worker.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/workers/Evidence.h"
#include "include/quetzal/workers/RunBounds.h"

#include <algorithm>
#include <utility>

namespace quetzal::cells {
namespace {

using namespace std::chrono_literals;

/** A worker with runs delays its answer to a poll until a run ends, at most for this time. */
constexpr clock::Milliseconds kPollWait{ 1'000 };
/** Delay of a poll, so that ends which follow each other closely are reported together. */
constexpr clock::Milliseconds kPollDelay{ 20 };
/** Delay of a poll while ends are being stored: an earlier poll would only report them again. */
constexpr clock::Milliseconds kRecordDelay{ 150 };
/** Interval between polls of a worker on which nothing runs. */
constexpr clock::Milliseconds kIdleInterval{ 3'000 };
/** Interval between polls of a worker that does not answer. */
constexpr clock::Milliseconds kUnresponsiveInterval{ 250 };

/** Longest wait of a poll where latency-sensitive and best-effort tasks share the worker, so that
 * latencies are read at least this often. */
constexpr clock::Milliseconds kMixedLoadPollWait{ 400 };

} // namespace

Worker::Worker(const workers::Registration& aRegistration,
               std::unique_ptr<workers::WorkerPort> aPort,
               std::int64_t aFence,
               const workers::LeaseTimes& aTimes,
               LeaseLapseClock aSinceLeaseLapse,
               QObject* aParent)
  : QObject(aParent)
  , registration_(aRegistration)
  , port_(std::move(aPort))
  , fence_(aFence)
  , times_(aTimes)
  , sinceLeaseLapse_(std::move(aSinceLeaseLapse))
{
  timer_.setSingleShot(true);
  connect(&timer_, &QTimer::timeout, this, &Worker::OnTimer);
}

void
Worker::BeginPolling()
{
  Poll();
}

void
Worker::Update(const workers::Registration& aRegistration)
{
  registered_ = true;
  registration_ = aRegistration;
  if (state_.startedMs_ != 0 && aRegistration.startedMs_ > state_.startedMs_) {
    NoteRestartSign("registration", aRegistration.startedMs_);
    restartNoticedAt_ = clock::Now();
    PollSoon();
  }
}

void
Worker::Move(const workers::Registration& aRegistration, std::unique_ptr<workers::WorkerPort> aPort)
{
  port_ = std::move(aPort); // The calls in flight get no answers any more.
  polling_ = false;
  unresponsive_ = true;
  const clock::Moment now = std::chrono::steady_clock::now();
  for (auto& [task, run] : state_.runs_) {
    run.speedPercent_ = workers::kUnknownSpeed;
    if (run.inFlightSince_ != clock::Moment{}) {
      run.inFlightSince_ = {};
      run.unansweredAt_ = now;
      run.answeredAt_ = now;
      Q_EMIT StartAnswered(run.number_);
    }
    if (run.state_ == workers::RunState::kOrdered) {
      run.state_ = workers::RunState::kUnconfirmed;
    } else if (run.state_ == workers::RunState::kStopping) {
      SendStop(task, run.number_);
    }
  }
  for (const auto& [key, orphan] : state_.orphans_) {
    SendStop(key.task_, key.number_);
  }
  Update(aRegistration);
  if (!pollingStopped_) {
    Poll();
  }
}

void
Worker::RaiseFence(std::int64_t aFence)
{
  if (aFence > fence_) {
    fence_ = aFence;
    PollSoon();
  }
}

bool
Worker::IsSchedulable() const
{
  return synchronized_ && state_.clock_ && registered_ && inRoster_ && !cordoned_ &&
         !unresponsive_ && !MayHaveRestarted() && !mayObeyStaleCalls_ && !registration_.draining_ &&
         std::chrono::steady_clock::now() >= startsPausedUntil_;
}

int
Worker::UnfinishedRuns() const
{
  return static_cast<int>(state_.runs_.size() + state_.orphans_.size() +
                          state_.unrecordedEnds_.size());
}

void
Worker::PauseStarts(clock::Milliseconds aTime)
{
  startsPausedUntil_ = std::max(startsPausedUntil_, std::chrono::steady_clock::now() + aTime);
}

void
Worker::MarkRecorded(int aIncarnation, std::int64_t aNumber)
{
  if (aIncarnation == incarnation_) {
    state_.unrecordedEnds_.erase(aNumber);
    if (state_.unrecordedEnds_.empty()) {
      PollSoon();
    }
  }
}

void
Worker::PollSoon()
{
  if (polling_) {
    pollRequested_ = true;
    return;
  }
  SchedulePoll(kPollDelay);
}

void
Worker::StopPolling()
{
  pollingStopped_ = true;
  timer_.stop();
}

void
Worker::SchedulePoll(clock::Milliseconds aDelay)
{
  if (pollingStopped_) {
    return;
  }
  if (!timer_.isActive() || timer_.remainingTimeAsDuration() > aDelay) {
    timer_.start(aDelay);
  }
}

void
Worker::OnTimer()
{
  const clock::Moment now = std::chrono::steady_clock::now();
  // If the cell may have another owner, that owner may have renewed the lease.
  const bool isOwner = sinceLeaseLapse_() == clock::Milliseconds(0);
  if (unresponsive_ && isOwner && workers::HasRuns(state_)) {
    EndLapsedRuns(now);
  }
  Poll();
}

void
Worker::EndLapsedRuns(clock::Moment aNow)
{
  const workers::RunsThere there = workers::RunsThereOf(state_);
  const std::map<jobs::TaskId, workers::Run> lapsed = workers::TakeLapsedRuns(state_, aNow, times_);
  if (lapsed.empty()) {
    return;
  }
  log::Warn("worker",
            "event=lease-lapsed worker=",
            registration_.id_,
            workers::KnownIncarnationOf(state_, aNow),
            there,
            " ended=",
            lapsed.size(),
            " granted_ms=",
            state_.leaseEndMs_);
  EndRuns(lapsed, jobs::EndKind::kLapsed);
}

void
Worker::Poll()
{
  if (polling_) {
    return;
  }
  workers::ExpireOrders(state_, clock::Now(), times_);
  polling_ = true;
  pollRequested_ = false;
  const clock::Moment now = std::chrono::steady_clock::now();
  workers::PollOrder order;
  order.fence_ = fence_;
  // Ends of a new incarnation are numbered from 1 again. A number is therefore acknowledged only
  // once, and only to a worker that has answered since it reported that end.
  const std::int64_t recorded = workers::RecordedUpTo(state_);
  const bool isKnown = !unresponsive_ && !MayHaveRestarted();
  order.acknowledgeUpTo_ = isKnown && recorded > state_.lastAcknowledgedEnd_ ? recorded : 0;
  const bool mayRenew = sinceLeaseLapse_() < kLeaseLapseGrace;
  if (state_.clock_ && workers::HasRuns(state_) && isKnown && mayRenew) {
    order.leaseEndMs_ =
      workers::ClockAt(state_, now) + static_cast<std::int64_t>(times_.lease_.count());
    state_.leaseEndMs_ = std::max(state_.leaseEndMs_, *order.leaseEndMs_);
    state_.leaseSentAt_ = now;
    order.wait_ = state_.unrecordedEnds_.empty() ? kPollWait : kPollWait / 10;
    if (mayObeyStaleCalls_) {
      order.wait_ = 0ms;
    }
    if (workers::HasMixedLoad(state_)) {
      order.wait_ = std::min(order.wait_, kMixedLoadPollWait);
    }
  }
  const SentPoll poll{ fence_, order.acknowledgeUpTo_, now };
  port_->Poll(order,
              [this, poll](const workers::WorkerStatus& aStatus) { OnStatus(aStatus, poll); });
}

void
Worker::OnStatus(const workers::WorkerStatus& aStatus, const SentPoll& aPoll)
{
  polling_ = false;
  if (aStatus.status_ == workers::OrderStatus::kFenced) {
    if (aPoll.fence_ == fence_) {
      Q_EMIT Fenced();
    } else {
      SchedulePoll(kPollDelay);
    }
    return;
  }
  if (pollingStopped_) {
    return;
  }
  if (aStatus.status_ == workers::OrderStatus::kOtherIncarnation) {
    EndIncarnation();
  }
  if (aStatus.status_ != workers::OrderStatus::kAccepted) {
    OnPollFailed(aStatus);
    return;
  }
  if (unresponsive_) {
    LogChange("worker-back");
  }
  unresponsive_ = false;
  if (aPoll.sentAt_ > restartNoticedAt_) {
    restartNoticedAt_ = {};
  }
  const std::int64_t startedBefore = state_.startedMs_;
  if (aStatus.startedMs_ != 0 && aStatus.startedMs_ != state_.startedMs_) {
    BeginIncarnation(aStatus.startedMs_, aPoll.sentAt_);
  }
  if (aStatus.startedMs_ == startedBefore) {
    state_.lastAcknowledgedEnd_ = std::max(state_.lastAcknowledgedEnd_, aPoll.acknowledgedEnd_);
  }
  ReadClock(aStatus.clockMs_, aPoll.fence_);
  // A run that is in neither list may be among the ends that are not listed yet.
  synchronized_ = synchronized_ || !aStatus.mayHaveMoreEnds_;
  ReadEnds(aStatus.ended_);
  const std::set<workers::RunKey> running = ReadRunning(aStatus.running_);
  if (!aStatus.mayHaveMoreEnds_) {
    CheckMissingRuns(running, aPoll);
    workers::SettleOrders(state_, aPoll.sentAt_, times_);
  }
  const bool idle = !workers::HasRuns(state_) && aStatus.ended_.empty();
  if (!state_.unrecordedEnds_.empty()) {
    SchedulePoll(kRecordDelay);
  } else {
    SchedulePoll(idle && !pollRequested_ ? kIdleInterval : kPollDelay);
  }
  Q_EMIT PollFinished();
}

void
Worker::OnPollFailed(const workers::WorkerStatus& aStatus)
{
  if (!unresponsive_) {
    log::Warn("worker",
              "event=worker-silent worker=",
              registration_.id_,
              " status=",
              workers::ToString(aStatus.status_),
              workers::KnownIncarnationOf(state_, clock::Now()),
              workers::RunsThereOf(state_));
  }
  if (!unresponsive_) {
    state_.leaseSentAt_ = clock::Now(); // The failed poll may still grant its lease.
  }
  unresponsive_ = true;
  SchedulePoll(kUnresponsiveInterval);
  Q_EMIT PollFinished();
}

void
Worker::ReadClock(std::int64_t aClockMs, std::int64_t aFence)
{
  const workers::ClockReading reading{ aClockMs, std::chrono::steady_clock::now() };
  if (mayObeyStaleCalls_) {
    // Calls for the earlier incarnation carry lease ends of its clock, which may be far ahead.
    mayObeyStaleCalls_ = aFence <= staleFence_;
    workers::BeginClock(
      state_, reading, times_.longest_ + (mayObeyStaleCalls_ ? times_.maxCallDelay_ : 0ms));
  } else if (state_.clock_) {
    state_.clock_ = reading;
  } else {
    workers::BeginClock(state_, reading, workers::LeaseAtFirstAnswer(Age(), times_));
  }
}

void
Worker::BeginIncarnation(std::int64_t aStartedMs, clock::Moment aPolledAt)
{
  const bool isFirst = incarnation_ == 0 && state_.startedMs_ == 0 && !workers::HasRuns(state_);
  if (isFirst) {
    state_.startedMs_ = aStartedMs;
    return;
  }
  const workers::KnownIncarnation former = workers::KnownIncarnationOf(state_, clock::Now());
  ForgetIncarnation(aStartedMs);
  CountRestartSign("poll");
  staleFence_ = fence_;
  mayObeyStaleCalls_ = true;
  EndRuns(workers::TakeConfirmedRuns(state_, aPolledAt, times_), jobs::EndKind::kLapsed);
  std::vector<workers::RunKey> toStop;
  for (const auto& [task, run] : state_.runs_) {
    log::Warn("worker",
              "event=order-in-doubt worker=",
              registration_.id_,
              " task=",
              jobs::ToString(task),
              " run=",
              run.number_,
              former,
              " next_born=",
              aStartedMs);
    if (run.state_ == workers::RunState::kStopping) {
      toStop.push_back({ task, run.number_ });
    }
  }
  for (const workers::RunKey& key : toStop) {
    SendStop(key.task_, key.number_); // A stop binds only the incarnation that has confirmed it.
  }
  Q_EMIT Restarted();
}

void
Worker::EndIncarnation()
{
  ForgetIncarnation(0);
  // What answers at the address has another id, and rejects all orders for this one.
  state_.openOrders_.clear();
  EndRuns(workers::TakeRuns(state_), jobs::EndKind::kLapsed);
}

void
Worker::ForgetIncarnation(std::int64_t aStartedMs)
{
  // While another id answers at the address, each poll tells so.
  if (aStartedMs != 0 || state_.startedMs_ != 0 || workers::HasRuns(state_)) {
    LogChange("worker-reborn", " next_born=" + std::to_string(aStartedMs));
  }
  ++incarnation_;
  state_.startedMs_ = aStartedMs;
  state_.lastReportedEnd_ = 0;
  state_.lastAcknowledgedEnd_ = 0;
  state_.unrecordedEnds_.clear();
  state_.clock_.reset();
}

void
Worker::EndRuns(const std::map<jobs::TaskId, workers::Run>& aRuns, jobs::EndKind aKind)
{
  Count("quetzal_runs_ended_in_doubt_total", workers::CountInDoubt(aRuns));
  for (const auto& [task, run] : aRuns) {
    Q_EMIT RunEnded(task, run.number_, aKind, {}, 0);
  }
}

void
Worker::GiveUp()
{
  synchronized_ = true;
  unresponsive_ = true;
  EndRuns(workers::TakeRuns(state_), jobs::EndKind::kLapsed);
}

void
Worker::EndTerminatedRuns(clock::Moment aSeenGoneAt)
{
  synchronized_ = true;
  unresponsive_ = true;
  const workers::RunsThere there = workers::RunsThereOf(state_);
  const auto terminated = workers::TakeTerminatedRuns(state_, aSeenGoneAt, times_);
  if (!terminated.empty()) {
    log::Warn("worker",
              "event=runs-terminated worker=",
              registration_.id_,
              workers::KnownIncarnationOf(state_, clock::Now()),
              there,
              " ended=",
              terminated.size());
  }
  EndRuns(terminated, jobs::EndKind::kLapsed);
}

std::optional<clock::Milliseconds>
Worker::Age() const
{
  const std::int64_t startedMs = std::max(state_.startedMs_, registration_.startedMs_);
  if (startedMs == 0) {
    return std::nullopt;
  }
  return clock::Milliseconds(clock::UnixMs() - startedMs);
}

void
Worker::ReadEnds(const std::vector<workers::EndedTask>& aEnds)
{
  for (const workers::EndedTask& end : aEnds) {
    if (end.number_ <= state_.lastReportedEnd_) {
      continue;
    }
    state_.lastReportedEnd_ = end.number_;
    state_.unrecordedEnds_.insert(end.number_);
    workers::RemoveEndedRun(state_, { end.task_, end.run_ }, end.kind_);
    Q_EMIT RunEnded(end.task_, end.run_, end.kind_, end.checkpoint_, end.number_);
  }
}

std::set<workers::RunKey>
Worker::ReadRunning(const std::vector<workers::RunningTask>& aRunning)
{
  std::set<workers::RunKey> seen;
  for (const workers::RunningTask& running : aRunning) {
    const workers::RunKey key{ running.task_, running.run_ };
    workers::Run* const run = workers::FindRun(state_, key);
    if (run == nullptr) {
      Q_EMIT UnknownRunFound(running);
      continue;
    }
    seen.insert(key);
    run->confirmed_ = true;
    run->measurement_ = running.measurement_;
    run->progressPercent_ = running.progressPercent_;
    if (run->state_ == workers::RunState::kUnconfirmed ||
        run->state_ == workers::RunState::kOrdered) {
      run->state_ = workers::RunState::kRunning;
      run->answeredAt_ = std::chrono::steady_clock::now();
    }
  }
  return seen;
}

void
Worker::CheckMissingRuns(const std::set<workers::RunKey>& aSeen, const SentPoll& aPoll)
{
  std::vector<workers::RunKey> missing;
  std::vector<workers::RunKey> toRepeat;
  for (auto& [task, run] : state_.runs_) {
    const clock::Moment never{};
    const bool isInFlight = run.inFlightSince_ != never;
    if (aSeen.contains({ task, run.number_ }) || isInFlight) {
      continue;
    }
    const bool stopConfirmed = workers::IsStopConfirmed(run, aPoll.sentAt_);
    const bool answered = run.answeredAt_ != never && run.answeredAt_ < aPoll.sentAt_;
    const bool isStopping = run.state_ == workers::RunState::kStopping;
    if (!workers::IsRejectedBy(run, aPoll.fence_) && !stopConfirmed && (isStopping || !answered)) {
      continue;
    }
    if (stopConfirmed || !workers::MayStillBegin(run, aPoll.sentAt_, times_)) {
      missing.push_back({ task, run.number_ });
    } else if (!isStopping) {
      run.state_ = workers::RunState::kUnconfirmed;
      toRepeat.push_back({ task, run.number_ });
    }
  }
  RemoveMissingOrphans(aSeen, aPoll.sentAt_);
  for (const workers::RunKey& key : missing) {
    workers::RemoveEndedRun(state_, key, jobs::EndKind::kStopped);
    Q_EMIT StartFailed(key.task_, key.number_, workers::OrderStatus::kNoAnswer);
  }
  // A call may report that another one has failed, which removes that one's run.
  for (const workers::RunKey& key : toRepeat) {
    RepeatStart(key);
  }
}

void
Worker::RemoveMissingOrphans(const std::set<workers::RunKey>& aSeen, clock::Moment aPolledAt)
{
  std::vector<workers::RunKey> missing;
  for (const auto& [key, orphan] : state_.orphans_) {
    if (!aSeen.contains(key) && workers::IsStopConfirmed(orphan, aPolledAt)) {
      missing.push_back(key);
    }
  }
  for (const workers::RunKey& key : missing) {
    workers::RemoveRun(state_, key.task_, key.number_);
  }
}

} // namespace quetzal::cells
