#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/organisations/Resources.h"

#include <QtCore/QPointer>
#include <algorithm>

/** Ends of runs and jobs: their effects, what is stored of them, and when they are acknowledged to
 * workers. */

namespace quetzal::cells {
namespace {

using clock::Now;
using clock::UnixMs;

constexpr clock::Milliseconds kProgressDelay{ 80 };
/** No progress is given to the writer while more writes than this are pending. */
constexpr std::size_t kMaxBacklog = 10;
constexpr clock::Milliseconds kEndDelay{ 12 };
/** Time for which removals of ended jobs are batched. */
constexpr clock::Milliseconds kRemovalDelay{ 200 };
/** Time until a task is placed again after a failed start. */
constexpr clock::Milliseconds kFailedStartDelay{ 60 };
/** Weight of one task's duration in the moving average of estimateBias_. */
constexpr double kBiasWeight = 0.02;
constexpr double kMinBias = 0.4;
constexpr double kMaxBias = 2.5;
constexpr double kFailureScoreStep = 0.35;
constexpr double kFailureScoreDoneFactor = 0.5;
constexpr std::size_t kMaxExpiredAtOnce = 30;
/** More than any worker has: the demand of a run of a job that is not known. */
constexpr workers::Capacity kWholeWorker{ 1'000'000'000, 1'000'000'000, 1'000'000'000 };

/** Returns the most that one task of a job counts for its quota. */
workers::Capacity
LargestNeedOf(const jobs::Job& aJob)
{
  workers::Capacity largest;
  for (const jobs::StepSpec& step : aJob.spec_.steps_) {
    largest = organisations::Larger(largest, QuotaNeedOf(step));
  }
  return largest;
}

} // namespace

void
Cell::UpdateFailureScore(WorkerEntry& aEntry, jobs::EndKind aKind)
{
  if (aKind == jobs::EndKind::kFailed) {
    aEntry.failureScore_ += kFailureScoreStep * (1 - aEntry.failureScore_);
  } else if (aKind == jobs::EndKind::kDone) {
    aEntry.failureScore_ *= kFailureScoreDoneFactor;
  }
}

void
Cell::RecordDuration(jobs::Job& aJob,
                     const jobs::TaskId& aTask,
                     clock::Moment aPlacedAt,
                     const std::vector<std::string>& aLabels)
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
  const double estimateMs = static_cast<double>(spec.estimateMs_) * FarFactorOn(spec, aLabels);
  const double ratio = seconds * 1'000 / estimateMs;
  estimateBias_ += (std::clamp(ratio, 0.0, kMaxBias) - estimateBias_) * kBiasWeight;
  estimateBias_ = std::clamp(estimateBias_, kMinBias, kMaxBias);
}

void
Cell::OnRunEnded(WorkerEntry& aEntry,
                 const jobs::TaskId& aTask,
                 std::int64_t aRun,
                 jobs::EndKind aKind,
                 const std::string& aCheckpoint,
                 std::int64_t aNumber)
{
  const std::string id = aEntry.worker_->Registration().id_;
  const int incarnation = aEntry.worker_->Incarnation();
  // Not by its id: another incarnation may have it by then, and numbers its ends anew.
  const QPointer<Worker> worker(aEntry.worker_);
  const auto confirm = [worker, incarnation, aNumber] {
    if (aNumber != 0 && worker) {
      worker->MarkRecorded(incarnation, aNumber);
    }
  };
  UpdateFailureScore(aEntry, aKind);
  SchedulePlacement();
  jobs::Job* found = jobs_.Find(aTask.job_);
  log::Detail("cell",
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
  if (found == nullptr) {
    confirm();
    return;
  }
  if (found->ending_) {
    // Until the job's end is stored, a successor does not know it and needs the end of this run.
    endWaiters_[aTask.job_].push_back(confirm);
    return;
  }
  jobs::Job& job = *found;
  job.lastChangeAt_ = Now();
  if (const jobs::TaskState* task = jobs::FindTask(job, aTask);
      task != nullptr && aKind == jobs::EndKind::kDone) {
    if (task->run_ == aRun) {
      RecordDuration(job, aTask, task->placedAt_, aEntry.worker_->Registration().labels_);
    }
    StopOtherRuns(aTask, aRun, *task);
  }
  const jobs::EndEffect effect =
    jobs::ApplyEnd(job, aTask, aRun, aKind, aCheckpoint, job.terms_.maxAttempts_);
  jobs_.Update(job);
  if (effect.jobCompleted_) {
    pathFactor_ = placement::NextPathFactor(pathFactor_, job, Now());
    FinishJob(job, jobs::JobState::kCompleted, confirm);
  } else if (effect.jobFailed_) {
    StopTasks(job);
    FinishJob(job, jobs::JobState::kFailed, confirm);
  } else if (effect.changed_ || (aKind == jobs::EndKind::kDone && HasUnstoredProgress(job.id_))) {
    // An end that changes nothing repeats another run's end, which may not be stored yet.
    StoreProgress(job, confirm);
  } else {
    confirm();
  }
}

void
Cell::OnStartFailed(const jobs::TaskId& aTask, std::int64_t aRun, workers::OrderStatus aReason)
{
  log::Detail("cell",
              "event=start-ended cell=",
              service_,
              " task=",
              jobs::ToString(aTask),
              " run=",
              aRun,
              " why=",
              workers::ToString(aReason));
  context_.metrics_->Add("quetzal_starts_ended_total", { { "why", workers::ToString(aReason) } });
  if (aReason == workers::OrderStatus::kNoTicket) {
    tickets_.Expire(jobs::StepName(aTask.job_, aTask.occurrence_, aTask.step_));
  }
  if (jobs::Job* job = jobs_.Find(aTask.job_)) {
    jobs::ClearPlacement(*job, aTask, aRun, Now() + kFailedStartDelay);
    jobs_.Update(*job);
  }
  SchedulePlacement();
}

void
Cell::OnUnknownRun(WorkerEntry& aEntry, const workers::RunningTask& aTask)
{
  jobs::Job* job = jobs_.Find(aTask.task_.job_);
  jobs::TaskState* task = nullptr;
  if (job != nullptr && !job->ending_) {
    jobs::OpenOccurrencesThrough(*job, aTask.task_.occurrence_);
    task = jobs::FindTask(*job, aTask.task_);
  }
  if (task == nullptr) {
    workers::Run orphan;
    orphan.number_ = aTask.run_;
    orphan.need_ = kWholeWorker;
    if (const jobs::EndedJob* ended = jobs_.FindEnded(aTask.task_.job_)) {
      orphan.organisation_ = ended->organisation_;
      orphan.quotaUse_ =
        aEntry.worker_->Registration().capacity_; // At most; its step is not known.
    } else if (job != nullptr) {
      orphan.organisation_ = job->organisation_;
      orphan.quotaUse_ = LargestNeedOf(*job);
    }
    aEntry.worker_->StopOrphan(aTask.task_, orphan);
    return;
  }
  const jobs::StepSpec& step = job->spec_.steps_.at(static_cast<std::size_t>(aTask.task_.step_));
  workers::Run run = MakeCountedRun(*job, step, aTask.run_, workers::RunState::kRunning);
  if (task->phase_ != jobs::TaskPhase::kWaiting) {
    log::Warn("cell",
              "event=second-run-found cell=",
              service_,
              " task=",
              jobs::ToString(aTask.task_),
              " run=",
              aTask.run_,
              " worker=",
              aEntry.worker_->Registration().id_,
              " known_run=",
              task->run_,
              " known_worker=",
              task->worker_);
    aEntry.worker_->StopOrphan(aTask.task_, run);
    return;
  }
  run.answeredAt_ = Now();
  aEntry.worker_->Adopt(aTask.task_, run);
  jobs::Place(*job, aTask.task_, aEntry.worker_->Registration().id_, aTask.run_, Now());
  jobs_.Update(*job);
  log::Detail("cell",
              "event=task-adopted cell=",
              service_,
              " task=",
              jobs::ToString(aTask.task_),
              " run=",
              aTask.run_,
              " worker=",
              aEntry.worker_->Registration().id_);
}

void
Cell::StopTasks(const jobs::Job& aJob)
{
  for (auto& [id, entry] : workers_) {
    std::vector<jobs::TaskId> toStop;
    for (const auto& [task, run] : entry.worker_->State().runs_) {
      if (task.job_ == aJob.id_ && run.state_ != workers::RunState::kStopping) {
        toStop.push_back(task);
      }
    }
    for (const jobs::TaskId& task : toStop) {
      entry.worker_->Stop(task);
    }
  }
}

// --- Storing --------------------------------------------------------------------------------

void
Cell::StoreProgress(const jobs::Job& aJob, std::function<void()> aDone)
{
  progressWaiters_[aJob.id_].push_back(std::move(aDone));
  if (!progressTimer_.isActive()) {
    progressTimer_.start(handingOver_ ? clock::Milliseconds(0) : kProgressDelay);
  }
}

bool
Cell::HasUnstoredProgress(const std::string& aJob) const
{
  return progressWaiters_.contains(aJob) || writer_.HasUnfinished(aJob);
}

void
Cell::FlushProgress()
{
  if (!handingOver_ && writer_.Backlog() > kMaxBacklog) {
    // The store is slow: new jobs and ends of jobs go first, and progress is batched meanwhile.
    progressTimer_.start(kProgressDelay);
    return;
  }
  std::map<std::string, std::vector<std::function<void()>>> waiters;
  waiters.swap(progressWaiters_);
  for (auto& [id, done] : waiters) {
    jobs::Job* job = jobs_.Find(id);
    if (job == nullptr) {
      continue;
    }
    job->hasProgress_ = true;
    CellWrite write;
    write.puts_.push_back(
      { ProgressPrefix(service_) + id, jobs::Encode(jobs::ProgressOf(*job)), 0 });
    write.done_ = [done = std::move(done)](const WriteResult& aResult) {
      if (aResult.outcome_ == WriteOutcome::kStored) {
        for (const auto& callback : done) {
          callback();
        }
      }
    };
    writer_.Add(id, std::move(write), clock::Milliseconds(0));
  }
}

void
Cell::FinishJob(jobs::Job& aJob, jobs::JobState aState, std::function<void()> aDone)
{
  aJob.ending_ = true;
  tickets_.RemoveJob(aJob.id_);
  jobs::Recount(aJob);
  jobs_.Update(aJob);
  std::vector<std::function<void()>>& waiters = endWaiters_[aJob.id_];
  if (auto forProgress = progressWaiters_.extract(aJob.id_); !forProgress.empty()) {
    waiters = std::move(forProgress.mapped());
  }
  if (aDone) {
    waiters.push_back(std::move(aDone));
  }
  const std::int64_t endedMs = UnixMs();
  CellWrite write;
  write.puts_.push_back(
    { JobKey(aJob.id_),
      jobs::Encode(jobs::MakeEndRecord(service_, aJob.queue_, aState, endedMs, aJob.organisation_)),
      0 });
  if (aJob.hasProgress_) {
    write.removes_.push_back(ProgressPrefix(service_) + aJob.id_);
  }
  write.done_ = [this, id = aJob.id_, aState, endedMs](const WriteResult& aResult) {
    auto cancels = cancelling_.extract(id);
    const auto ended = endWaiters_.extract(id);
    const bool stored = aResult.outcome_ == WriteOutcome::kStored;
    const jobs::Job* job = jobs_.Find(id);
    if (stored && job != nullptr) {
      context_.metrics_->Add("quetzal_jobs_ended_total", { { "state", jobs::ToString(aState) } });
      context_.metrics_->Observe(
        "quetzal_job_seconds", { { "service", service_ } }, Now() - job->arrivedAt_);
      log::Info("cell",
                "event=job-ended cell=",
                service_,
                " job=",
                id,
                " queue=",
                job->queue_,
                " state=",
                jobs::ToString(aState),
                " after_ms=",
                std::chrono::duration_cast<clock::Milliseconds>(Now() - job->arrivedAt_).count());
      jobs_.End(id, { aState, endedMs, job->organisation_ });
      for (const auto& callback : ended.mapped()) {
        callback();
      }
    }
    if (!cancels.empty()) {
      for (const AnswerCallback& callback : cancels.mapped()) {
        callback({ stored ? AnswerStatus::kCancelled : AnswerStatus::kUnknownOutcome });
      }
    }
  };
  writer_.Add(aJob.id_, std::move(write), kEndDelay);
}

void
Cell::RemoveExpired()
{
  const std::int64_t oldest = UnixMs() - static_cast<std::int64_t>(context_.retention_.count());
  for (const std::string& id : jobs_.TakeExpired(oldest, kMaxExpiredAtOnce)) {
    CellWrite write;
    write.removes_.push_back(JobKey(id));
    writer_.Add(id, std::move(write), kRemovalDelay);
  }
}

} // namespace quetzal::cells
