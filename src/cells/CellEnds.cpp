#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <algorithm>

/** Ends of runs and jobs: what they change, what is stored of them, and when workers may forget. */

namespace quetzal::cells {
namespace {

using clock::Now;
using clock::UnixMs;

constexpr clock::Milliseconds kProgressDelay{ 80 };
/** Writes that wait while progress is still handed to the writer. */
constexpr std::size_t kMostBacklog = 10;
constexpr clock::Milliseconds kEndDelay{ 12 };
/** How long removals of ended jobs are gathered. */
constexpr clock::Milliseconds kRemovalDelay{ 200 };
/** How long a task waits after a worker refused its start. */
constexpr clock::Milliseconds kRefusedPause{ 60 };
/** Weight of one task's duration in what is learned of estimates. */
constexpr double kBiasWeight = 0.02;
constexpr double kLeastBias = 0.4;
constexpr double kMostBias = 2.5;
constexpr double kSuspicionStep = 0.35;
constexpr double kSuspicionAfterDone = 0.5;
constexpr std::size_t kMostExpiredAtOnce = 30;

} // namespace

int
Cell::MostAttempts(const jobs::Job& aJob) const
{
  const jobs::Queue* queue = jobs::FindQueueByName(context_.feed_->Configuration(), aJob.queue_);
  return queue == nullptr ? 0 : queue->maxAttempts_;
}

void
Cell::Judge(Row& aRow, jobs::EndKind aKind)
{
  if (aKind == jobs::EndKind::kFailed) {
    aRow.suspicion_ += kSuspicionStep * (1 - aRow.suspicion_);
  } else if (aKind == jobs::EndKind::kDone) {
    aRow.suspicion_ *= kSuspicionAfterDone;
  }
}

void
Cell::LearnDuration(jobs::Job& aJob, const jobs::TaskId& aTask, clock::Moment aPlacedAt)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aTask.step_));
  if (spec.longRunning_) {
    return;
  }
  const double seconds = std::chrono::duration<double>(Now() - aPlacedAt).count();
  jobs::StepState& step =
    aJob.liveOccurrences_.at(aTask.occurrence_).steps_.at(static_cast<std::size_t>(aTask.step_));
  ++step.timedTasks_;
  step.timedTotal_ += std::chrono::duration_cast<clock::Milliseconds>(Now() - aPlacedAt);
  if (spec.estimateMs_ <= 0) {
    return;
  }
  const double ratio = seconds * 1'000 / static_cast<double>(spec.estimateMs_);
  estimateBias_ += (std::clamp(ratio, 0.0, kMostBias) - estimateBias_) * kBiasWeight;
  estimateBias_ = std::clamp(estimateBias_, kLeastBias, kMostBias);
}

void
Cell::OnEnded(Row& aRow,
              const jobs::TaskId& aTask,
              std::int64_t aRun,
              jobs::EndKind aKind,
              const std::string& aCheckpoint,
              std::int64_t aNumber)
{
  const std::string id = aRow.worker_->Registration().id_;
  const int life = aRow.worker_->Life();
  const auto confirm = [this, id, life, aNumber] {
    const auto row = workers_.find(id);
    if (aNumber != 0 && row != workers_.end()) {
      row->second.worker_->MarkRecorded(life, aNumber);
    }
  };
  Judge(aRow, aKind);
  KickPlacing();
  const auto found = jobs_.find(aTask.job_);
  log::Info("cell",
            "event=task-ended cell=",
            service_,
            " task=",
            jobs::ToString(aTask),
            " run=",
            aRun,
            " how=",
            jobs::ToString(aKind),
            " worker=",
            id,
            " number=",
            aNumber);
  if (found == jobs_.end() || found->second.ending_ || jobs::IsFinal(found->second.state_)) {
    confirm();
    return;
  }
  jobs::Job& job = found->second;
  if (const jobs::TaskState* task = jobs::FindTask(job, aTask);
      task != nullptr && aKind == jobs::EndKind::kDone) {
    if (task->run_ == aRun) {
      LearnDuration(job, aTask, task->placedAt_);
    }
    StopOtherRuns(aTask, aRun, *task);
  }
  const jobs::EndEffect effect =
    jobs::ApplyEnd(job, aTask, aRun, aKind, aCheckpoint, MostAttempts(job));
  if (effect.jobCompleted_) {
    FinishJob(job, jobs::JobState::kCompleted, confirm);
  } else if (effect.jobFailed_) {
    StopTasks(job);
    FinishJob(job, jobs::JobState::kFailed, confirm);
  } else if (effect.changed_) {
    StoreProgress(job, confirm);
  } else {
    confirm();
  }
}

void
Cell::OnStartEnded(const jobs::TaskId& aTask, std::int64_t aRun, workers::OrderStatus aWhy)
{
  log::Info("cell",
            "event=start-ended cell=",
            service_,
            " task=",
            jobs::ToString(aTask),
            " run=",
            aRun,
            " why=",
            workers::ToString(aWhy));
  context_.metrics_->Add("quetzal_starts_ended_total", { { "why", workers::ToString(aWhy) } });
  if (aWhy == workers::OrderStatus::kNoTicket) {
    tickets_.Expire(jobs::StepName(aTask.job_, aTask.occurrence_, aTask.step_));
  }
  const auto job = jobs_.find(aTask.job_);
  if (job != jobs_.end()) {
    jobs::ClearPlacement(job->second, aTask, aRun, Now() + kRefusedPause);
  }
  KickPlacing();
}

void
Cell::OnFound(Row& aRow, const workers::RunningTask& aTask)
{
  const auto found = jobs_.find(aTask.task_.job_);
  jobs::TaskState* task = nullptr;
  if (found != jobs_.end() && !found->second.ending_ && !jobs::IsFinal(found->second.state_)) {
    task = jobs::FindTask(found->second, aTask.task_);
  }
  if (task == nullptr || task->phase_ != jobs::TaskPhase::kWaiting) {
    aRow.worker_->StopStray(aTask.task_, aTask.run_);
    return;
  }
  const jobs::StepSpec& step =
    found->second.spec_.steps_.at(static_cast<std::size_t>(aTask.task_.step_));
  workers::Slot slot = placement::MakeSlot(step, aTask.run_, workers::SlotState::kRunning, Now());
  slot.answeredAt_ = Now();
  aRow.worker_->Adopt(aTask.task_, slot);
  jobs::Place(found->second, aTask.task_, aRow.worker_->Registration().id_, aTask.run_, Now());
  log::Info("cell",
            "event=task-adopted cell=",
            service_,
            " task=",
            jobs::ToString(aTask.task_),
            " run=",
            aTask.run_,
            " worker=",
            aRow.worker_->Registration().id_);
}

void
Cell::StopTasks(const jobs::Job& aJob)
{
  for (auto& [id, row] : workers_) {
    std::vector<jobs::TaskId> toStop;
    for (const auto& [task, slot] : row.worker_->Book().slots_) {
      if (task.job_ == aJob.id_ && slot.state_ != workers::SlotState::kStopping) {
        toStop.push_back(task);
      }
    }
    for (const jobs::TaskId& task : toStop) {
      row.worker_->Stop(task);
    }
  }
}

// --- Storing --------------------------------------------------------------------------------

void
Cell::StoreProgress(const jobs::Job& aJob, std::function<void()> aDone)
{
  progressWaiters_[aJob.id_].push_back(std::move(aDone));
  if (!progressTimer_.isActive()) {
    progressTimer_.start(kProgressDelay);
  }
}

void
Cell::FlushProgress()
{
  if (writer_.Backlog() > kMostBacklog) {
    // The store is slow: callers' jobs and their ends go first, and progress is gathered meanwhile.
    progressTimer_.start(kProgressDelay);
    return;
  }
  std::map<std::string, std::vector<std::function<void()>>> waiters;
  waiters.swap(progressWaiters_);
  for (auto& [id, done] : waiters) {
    const auto row = jobs_.find(id);
    if (row == jobs_.end()) {
      continue;
    }
    row->second.hasProgress_ = true;
    CellWrite write;
    write.puts_.push_back(
      { ProgressPrefix(service_) + id, jobs::Encode(jobs::ProgressOf(row->second)), 0 });
    write.done_ = [done = std::move(done)](const WriteResult& aResult) {
      if (aResult.outcome_ == WriteOutcome::kStored) {
        for (const auto& callback : done) {
          callback();
        }
      }
    };
    writer_.Add(std::move(write), clock::Milliseconds(0));
  }
}

void
Cell::FinishJob(jobs::Job& aJob, jobs::JobState aState, std::function<void()> aDone)
{
  aJob.ending_ = true;
  tickets_.ForgetJob(aJob.id_);
  jobs::CountWaiting(aJob);
  std::vector<std::function<void()>> done;
  if (auto waiters = progressWaiters_.extract(aJob.id_); !waiters.empty()) {
    done = std::move(waiters.mapped());
  }
  if (aDone) {
    done.push_back(std::move(aDone));
  }
  const std::int64_t endedMs = UnixMs();
  CellWrite write;
  write.puts_.push_back({ JobKey(aJob.id_),
                          jobs::Encode(jobs::MakeEndRecord(service_, aJob.queue_, aState, endedMs)),
                          0 });
  if (aJob.hasProgress_) {
    write.removes_.push_back(ProgressPrefix(service_) + aJob.id_);
  }
  write.done_ =
    [this, id = aJob.id_, aState, endedMs, done = std::move(done)](const WriteResult& aResult) {
      auto cancels = cancelling_.extract(id);
      const bool stored = aResult.outcome_ == WriteOutcome::kStored;
      const auto row = jobs_.find(id);
      if (stored && row != jobs_.end()) {
        jobs::Job& job = row->second;
        job.state_ = aState;
        job.endedMs_ = endedMs;
        job.liveOccurrences_.clear();
        job.spec_ = {};
        context_.metrics_->Add("quetzal_jobs_ended_total", { { "state", jobs::ToString(aState) } });
        context_.metrics_->Observe(
          "quetzal_job_seconds", { { "service", service_ } }, Now() - job.arrivedAt_);
        log::Info("cell",
                  "event=job-ended cell=",
                  service_,
                  " job=",
                  id,
                  " queue=",
                  job.queue_,
                  " state=",
                  jobs::ToString(aState),
                  " after_ms=",
                  std::chrono::duration_cast<clock::Milliseconds>(Now() - job.arrivedAt_).count());
        for (const auto& callback : done) {
          callback();
        }
      }
      if (!cancels.empty()) {
        for (const AnswerCallback& callback : cancels.mapped()) {
          callback({ stored ? Verdict::kCancelled : Verdict::kUndecided });
        }
      }
    };
  writer_.Add(std::move(write), kEndDelay);
}

void
Cell::RemoveExpired()
{
  const std::int64_t oldest = UnixMs() - static_cast<std::int64_t>(context_.retention_.count());
  std::size_t removed = 0;
  for (auto row = jobs_.begin(); row != jobs_.end() && removed < kMostExpiredAtOnce;) {
    if (row->second.endedMs_ == 0 || row->second.endedMs_ > oldest) {
      ++row;
      continue;
    }
    CellWrite write;
    write.removes_.push_back(JobKey(row->first));
    writer_.Add(std::move(write), kRemovalDelay);
    row = jobs_.erase(row);
    ++removed;
  }
}

} // namespace quetzal::cells
