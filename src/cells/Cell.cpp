#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/log/Log.h"
#include "include/quetzal/placement/Speculation.h"
#include "include/quetzal/sharing/Pace.h"

#include <QtCore/QPointer>
#include <algorithm>
#include <array>
#include <tuple>

namespace quetzal::cells {
namespace {

constexpr clock::Milliseconds kAcceptDelay{ 12 };
constexpr clock::Milliseconds kProgressDelay{ 80 };
/** Writes that wait while progress is still handed to the writer. */
constexpr std::size_t kMostBacklog = 10;
constexpr clock::Milliseconds kEndDelay{ 12 };
constexpr clock::Milliseconds kPlaceDelay{ 8 };
constexpr clock::Milliseconds kHouseInterval{ 200 };
constexpr clock::Milliseconds kBlindSlack{ 300 };
/** Between two changes of a worker's pace; figures are means of half a second. */
constexpr clock::Milliseconds kPaceInterval{ 400 };
/** In which the roster is written without workers that have left. */
constexpr clock::Milliseconds kRosterDelay{ 150 };
/** How long a task waits after a worker refused its start. */
constexpr clock::Milliseconds kRefusedPause{ 60 };
/** Told to callers whose job cannot be stored now. */
constexpr clock::Milliseconds kRetryAfter{ 1'000 };
constexpr clock::Milliseconds kArrivalHistory{ 4'000 };
/** Over which rates of arrival are taken: half of the longest job's chain, within these. */
constexpr clock::Milliseconds kLeastWindow{ 600 };
constexpr clock::Milliseconds kMostWindow{ 1'600 };
/** Beside a host's move: until it is ordered, and until its worker is known and looked at. */
constexpr clock::Milliseconds kDrawDelay{ 500 };
/** Weight of one task's duration in what is learned of estimates. */
constexpr double kBiasWeight = 0.02;
constexpr double kLeastBias = 0.4;
constexpr double kMostBias = 2.5;
/** Runs of one owner; its fence number goes before it. */
constexpr std::int64_t kRunsPerOwner = 10'000'000;
/** Jobs in a row that could not be placed after which the rest is left for the next time. */
constexpr int kMostFutileJobs = 24;
constexpr double kSuspicionStep = 0.35;
constexpr double kSuspicionAfterDone = 0.5;
constexpr double kSuspicionDecay = 0.985; ///< For each housekeeping round.
constexpr double kSuspicious = 0.65;
constexpr std::size_t kMostExpiredAtOnce = 30;
/** A lasting task that has waited for this long finds no room. */
constexpr clock::Milliseconds kStuckTime{ 400 };
/** Progress, in per cent, at which a lasting task is at work. */
constexpr int kAtWork = 100;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<clock::Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

clock::Moment
Now()
{
  return std::chrono::steady_clock::now();
}

std::string
StepName(const std::string& aJob, int aOccurrence, int aStep)
{
  return aJob + "." + std::to_string(aOccurrence) + "." + std::to_string(aStep);
}

std::string
RackOf(const std::vector<std::string>& aLabels)
{
  // Labels are the worker's kind and its rack, in this order.
  return aLabels.empty() ? std::string() : aLabels.back();
}

workers::Slot
MakeSlot(const jobs::StepSpec& aStep, std::int64_t aRun, workers::SlotState aState)
{
  workers::Slot slot;
  slot.run_ = aRun;
  slot.state_ = aState;
  slot.need_ = placement::NeedOf(aStep);
  slot.lasting_ = aStep.lasting_;
  slot.fills_ = aStep.fills_;
  slot.targetMs_ = aStep.targetMs_;
  slot.orderedAt_ = Now();
  return slot;
}

bool
RunsStep(const workers::Book& aBook, bool (*aTest)(const workers::Slot&))
{
  return std::any_of(aBook.slots_.begin(), aBook.slots_.end(), [aTest](const auto& aRow) {
    return aTest(aRow.second);
  });
}

} // namespace

const char*
ToString(Verdict aVerdict)
{
  static constexpr std::array kNames{ "accepted",    "refused",   "shown",  "cancelled",
                                      "unknown-job", "undecided", "counted" };
  return kNames.at(static_cast<std::size_t>(aVerdict));
}

std::string
JobKey(const std::string& aId)
{
  return kJobPrefix + aId;
}

std::string
ProgressPrefix(const std::string& aService)
{
  return "quetzal/progress/" + aService + "/";
}

std::string
ChainKey(const std::string& aService)
{
  return "quetzal/chain/" + aService;
}

Cell::Cell(std::string aService,
           CellContext aContext,
           const jobs::OwnerRecord& aSelf,
           std::int64_t aFence,
           const Inheritance& aInheritance,
           QObject* aParent)
  : QObject(aParent)
  , service_(std::move(aService))
  , context_(std::move(aContext))
  , fence_(aFence)
  , nextRun_(aFence * kRunsPerOwner + 1)
  , writer_(*context_.store_, ChainKey(service_), aSelf, aFence, this)
  , tickets_(context_.advice_, this)
  , begun_(Now())
{
  placeTimer_.setSingleShot(true);
  progressTimer_.setSingleShot(true);
  connect(&placeTimer_, &QTimer::timeout, this, &Cell::PlaceAll);
  connect(&progressTimer_, &QTimer::timeout, this, &Cell::FlushProgress);
  connect(&houseTimer_, &QTimer::timeout, this, &Cell::Housekeep);
  connect(this, &Cell::Lost, this, [this] { lost_ = true; });
  connect(&writer_, &CellWriter::Lost, this, &Cell::Lost);
  connect(&tickets_, &Tickets::Answered, this, &Cell::KickPlacing);
  connect(context_.feed_, &node::Feed::WorkersChanged, this, &Cell::SyncWorkers);
  connect(context_.feed_, &node::Feed::ConfigurationChanged, this, &Cell::KickPlacing);
  Inherit(aInheritance);
  SyncWorkers();
  houseTimer_.start(kHouseInterval);
}

void
Cell::Inherit(const Inheritance& aInheritance)
{
  for (const store::KeyValue& item : aInheritance.jobs_) {
    InheritJob(item);
  }
  const std::size_t prefix = ProgressPrefix(service_).size();
  for (const store::KeyValue& item : aInheritance.progress_) {
    jobs::ProgressRecord record;
    const auto job = jobs_.find(item.key_.substr(prefix));
    if (job == jobs_.end() || !jobs::Decode(item.value_, record)) {
      log::Warn("cell", "event=progress-ignored cell=", service_, " key=", item.key_);
      continue;
    }
    jobs::ApplyProgress(job->second, record);
    job->second.hasProgress_ = true;
  }
  for (const jobs::RosterEntry& entry : aInheritance.roster_) {
    workers::Registration registration;
    registration.id_ = entry.id_;
    registration.endpoint_ = { entry.address_, static_cast<std::uint16_t>(entry.port_) };
    registration.service_ = service_;
    AddWorker(registration);
    workers_.at(entry.id_).worker_->MarkUnregistered();
  }
  log::Info("cell",
            "event=cell-begun cell=",
            service_,
            " fence=",
            fence_,
            " jobs=",
            jobs_.size(),
            " roster=",
            aInheritance.roster_.size());
}

void
Cell::InheritJob(const store::KeyValue& aItem)
{
  jobs::JobRecord record;
  if (!jobs::Decode(aItem.value_, record)) {
    log::Warn("cell", "event=job-ignored cell=", service_, " key=", aItem.key_);
    return;
  }
  if (record.cell_ != service_) {
    return;
  }
  const std::string id = aItem.key_.substr(kJobPrefix.size());
  jobs::Job job = jobs::MakeJob(id, record.queue_, jobs::SpecOf(record));
  job.state_ = static_cast<jobs::JobState>(record.state_);
  job.stored_ = true;
  job.inherited_ = true;
  if (jobs::IsFinal(job.state_)) {
    job.endedMs_ = record.stampMs_;
  } else {
    job.acceptedMs_ = record.stampMs_;
    const std::int64_t age = std::clamp<std::int64_t>(UnixMs() - record.stampMs_, 0, 600'000);
    job.arrived_ = begun_ - clock::Milliseconds(age);
    jobs::OpenDueOccurrences(job, UnixMs());
  }
  jobs_.emplace(id, std::move(job));
}

void
Cell::SyncWorkers()
{
  if (!context_.feed_->HasWorkers()) {
    return;
  }
  const node::Registrations& registrations = context_.feed_->Workers();
  for (const auto& [id, registration] : registrations) {
    if (registration.service_ != service_) {
      continue;
    }
    const auto row = workers_.find(id);
    if (row == workers_.end()) {
      AddWorker(registration);
      continue;
    }
    if (row->second.worker_->Registration().endpoint_ != registration.endpoint_) {
      row->second.worker_->GiveUp();
      RemoveWorker(id);
      AddWorker(registration);
      continue;
    }
    row->second.worker_->Update(registration);
  }
  for (auto& [id, row] : workers_) {
    const auto registration = registrations.find(id);
    if (registration == registrations.end() || registration->second.service_ != service_) {
      row.worker_->MarkUnregistered();
    }
  }
  AskRoster();
  KickPlacing();
}

void
Cell::AddWorker(const workers::Registration& aRegistration)
{
  auto* worker = new Worker(aRegistration,
                            context_.makeWorker_(aRegistration.id_, aRegistration.endpoint_),
                            fence_,
                            context_.times_,
                            context_.tenure_,
                            this);
  const std::string id = aRegistration.id_;
  workers_[id].worker_ = worker;
  worker->SetClosed(closed_.contains(id));
  connect(worker, &Worker::Looked, this, [this, id] {
    if (const auto row = workers_.find(id); row != workers_.end()) {
      PaceFilling(row->second);
    }
    AskRoster();
    KickPlacing();
  });
  connect(worker,
          &Worker::Ended,
          this,
          [this, id](
            const auto& aTask, qint64 aRun, auto aKind, const auto& aCheckpoint, qint64 aNumber) {
            if (const auto row = workers_.find(id); row != workers_.end()) {
              OnEnded(row->second, aTask, aRun, aKind, aCheckpoint, aNumber);
            }
          });
  connect(worker, &Worker::StartEnded, this, &Cell::OnStartEnded);
  connect(worker, &Worker::Found, this, [this, id](const workers::RunningTask& aTask) {
    if (const auto row = workers_.find(id); row != workers_.end()) {
      OnFound(row->second, aTask);
    }
  });
  connect(worker, &Worker::Fenced, this, [this, id] {
    log::Warn("cell", "event=fenced cell=", service_, " worker=", id, " fence=", fence_);
    Q_EMIT Lost();
  });
  worker->Begin();
}

void
Cell::RemoveWorker(const std::string& aId)
{
  const auto row = workers_.find(aId);
  if (row != workers_.end()) {
    row->second.worker_->disconnect(this);
    row->second.worker_->deleteLater();
    workers_.erase(row);
  }
}

std::vector<jobs::RosterEntry>
Cell::Roster() const
{
  std::vector<jobs::RosterEntry> roster;
  for (const auto& [id, row] : workers_) {
    const settings::Endpoint& endpoint = row.worker_->Registration().endpoint_;
    if (!row.gone_) {
      roster.push_back({ id, endpoint.address_, endpoint.port_ });
    }
  }
  return roster;
}

void
Cell::AskRoster()
{
  std::vector<std::string> added;
  for (auto& [id, row] : workers_) {
    if (!row.worker_->IsInRoster() && !row.rosterAsked_) {
      row.rosterAsked_ = true;
      added.push_back(id);
    }
  }
  if (added.empty()) {
    return;
  }
  writer_.SetRoster(Roster(), clock::Milliseconds(0), [this, added] {
    for (const std::string& id : added) {
      if (const auto row = workers_.find(id); row != workers_.end()) {
        row->second.worker_->MarkInRoster();
      }
    }
    KickPlacing();
  });
}

bool
Cell::IsSettled() const
{
  return context_.feed_->HasWorkers() &&
         std::all_of(workers_.begin(), workers_.end(), [](const auto& aRow) {
           return aRow.second.worker_->IsSettled();
         });
}

void
Cell::GiveUpSilent()
{
  const clock::Moment now = Now();
  const auto lease = std::chrono::duration_cast<clock::Milliseconds>(context_.times_.lease_ *
                                                                     (1 + workers::kClockSlowness));
  // The predecessor's tenure had ended before this owner's began.
  // A worker that is cut off with its predecessor may be listed no more and run on.
  if (now < begun_ + kTenureGrace + lease + kBlindSlack) {
    return;
  }
  for (auto& [id, row] : workers_) {
    if (!row.worker_->IsSettled()) {
      log::Warn("cell", "event=worker-given-up cell=", service_, " worker=", id);
      row.worker_->GiveUp();
    }
  }
}

// --- Callers -------------------------------------------------------------------------------------

void
Cell::Submit(const std::string& aQueue,
             const std::string& aId,
             const jobs::JobSpec& aSpec,
             AnswerCallback aDone)
{
  const auto known = jobs_.find(aId);
  if (known != jobs_.end()) {
    if (known->second.stored_) {
      aDone({ Verdict::kAccepted });
    } else {
      submitting_[aId].push_back(std::move(aDone));
    }
    return;
  }
  if (handingOver_ || writer_.IsStalled(Now())) {
    aDone({ Verdict::kRefused, {}, 0, kRetryAfter });
    return;
  }
  jobs::Job job = jobs::MakeJob(aId, aQueue, aSpec);
  job.arrived_ = Now();
  job.acceptedMs_ = UnixMs();
  const std::string record =
    jobs::Encode(jobs::MakeJobRecord(service_, aQueue, aSpec, job.acceptedMs_));
  jobs_.emplace(aId, std::move(job));
  submitting_[aId].push_back(std::move(aDone));
  CellWrite write;
  write.mustBeAbsent_ = JobKey(aId);
  write.mayBeRefused_ = true;
  write.puts_.push_back({ JobKey(aId), record, 0 });
  write.done_ = [this, aId](const WriteResult& aResult) {
    const auto waiters = submitting_.extract(aId);
    const auto row = jobs_.find(aId);
    Answer answer{ Verdict::kUndecided };
    if (aResult.outcome_ == WriteOutcome::kStored && row != jobs_.end()) {
      jobs::Job& accepted = row->second;
      accepted.stored_ = true;
      jobs::OpenDueOccurrences(accepted, UnixMs());
      if (!accepted.lasting_ && accepted.spec_.repetitions_ == 0) {
        arrivals_.push_back({ Now(), accepted.work_ });
      }
      log::Info("cell",
                "event=job-accepted cell=",
                service_,
                " job=",
                aId,
                " queue=",
                accepted.queue_,
                " work=",
                accepted.work_);
      context_.metrics_->Add("quetzal_jobs_accepted_total", { { "service", service_ } });
      answer.verdict_ = Verdict::kAccepted;
      KickPlacing();
    } else if (aResult.outcome_ == WriteOutcome::kRefused) {
      jobs_.erase(aId);
      answer = { Verdict::kRefused, {}, 0, kRetryAfter };
    } else if (aResult.outcome_ == WriteOutcome::kConflict) {
      // The same job, handed in before to the cell that its queue had then.
      jobs_.erase(aId);
      answer.verdict_ = Verdict::kAccepted;
    }
    if (!waiters.empty()) {
      for (const AnswerCallback& waiter : waiters.mapped()) {
        waiter(answer);
      }
    }
  };
  writer_.Add(std::move(write), kAcceptDelay);
}

void
Cell::Show(const std::string& aId, const AnswerCallback& aDone) const
{
  const auto job = jobs_.find(aId);
  if (job == jobs_.end()) {
    aDone({ Verdict::kUnknownJob });
    return;
  }
  aDone({ Verdict::kShown, job->second.state_ });
}

void
Cell::Cancel(const std::string& aId, AnswerCallback aDone)
{
  const auto row = jobs_.find(aId);
  if (row == jobs_.end()) {
    aDone({ Verdict::kUnknownJob });
    return;
  }
  jobs::Job& job = row->second;
  if (jobs::IsFinal(job.state_)) {
    aDone({ Verdict::kCancelled });
    return;
  }
  cancelling_[aId].push_back(std::move(aDone));
  if (job.ending_) {
    return;
  }
  log::Info("cell", "event=job-cancel cell=", service_, " job=", aId, " placed=", job.placed_);
  StopTasks(job);
  FinishJob(job, jobs::JobState::kCancelled, {});
}

std::int64_t
Cell::PendingOf(const std::string& aQueue) const
{
  return std::count_if(jobs_.begin(), jobs_.end(), [&aQueue](const auto& aRow) {
    const jobs::Job& job = aRow.second;
    return job.queue_ == aQueue && job.stored_ && !job.begun_ && !job.ending_ &&
           !jobs::IsFinal(job.state_);
  });
}

std::size_t
Cell::LiveJobs() const
{
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& aRow) {
    return !jobs::IsFinal(aRow.second.state_);
  }));
}

// --- Ends ----------------------------------------------------------------------------------------

int
Cell::MostAttempts(const jobs::Job& aJob) const
{
  const jobs::Queue* queue = jobs::FindQueueByName(context_.feed_->Configuration(), aJob.queue_);
  return queue == nullptr ? 0 : queue->mostAttempts_;
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
  if (spec.lasting_) {
    return;
  }
  const double seconds = std::chrono::duration<double>(Now() - aPlacedAt).count();
  jobs::StepState& step =
    aJob.live_.at(aTask.occurrence_).steps_.at(static_cast<std::size_t>(aTask.step_));
  ++step.timed_;
  step.doneTime_ += std::chrono::duration_cast<clock::Milliseconds>(Now() - aPlacedAt);
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
  if (effect.completed_) {
    FinishJob(job, jobs::JobState::kCompleted, confirm);
  } else if (effect.failed_) {
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
    tickets_.Expire(StepName(aTask.job_, aTask.occurrence_, aTask.step_));
  }
  const auto job = jobs_.find(aTask.job_);
  if (job != jobs_.end()) {
    jobs::Unplace(job->second, aTask, aRun, Now() + kRefusedPause);
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
  workers::Slot slot = MakeSlot(step, aTask.run_, workers::SlotState::kRunning);
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

// --- Storing -------------------------------------------------------------------------------------

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
        job.live_.clear();
        job.spec_ = {};
        context_.metrics_->Add("quetzal_jobs_ended_total", { { "state", jobs::ToString(aState) } });
        context_.metrics_->Observe(
          "quetzal_job_seconds", { { "service", service_ } }, Now() - job.arrived_);
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
                  std::chrono::duration_cast<clock::Milliseconds>(Now() - job.arrived_).count());
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
    writer_.Add(std::move(write), kHouseInterval);
    row = jobs_.erase(row);
    ++removed;
  }
}

// --- Placing -------------------------------------------------------------------------------------

void
Cell::KickPlacing()
{
  if (!placeTimer_.isActive() && !handingOver_) {
    placeTimer_.start(kPlaceDelay);
  }
}

std::vector<jobs::Job*>
Cell::JobsInOrder(clock::Moment aNow)
{
  using Key = std::tuple<bool, int, bool, bool, clock::Moment>;
  std::vector<std::pair<Key, jobs::Job*>> rows;
  const jobs::Configuration& configuration = context_.feed_->Configuration();
  std::map<std::string, const jobs::Queue*> queues;
  const bool settled = IsSettled();
  for (auto& [id, job] : jobs_) {
    if (job.waiting_ == 0 || !job.stored_ || job.ending_ || (job.inherited_ && !settled)) {
      continue;
    }
    const auto [queue, added] = queues.try_emplace(job.queue_, nullptr);
    if (added) {
      queue->second = jobs::FindQueueByName(configuration, job.queue_);
    }
    const int priority = queue->second == nullptr ? 0 : queue->second->priority_;
    const auto chain = jobs::RemainderOf(job).chain_ * estimateBias_;
    const bool late = aNow + std::chrono::duration_cast<clock::Moment::duration>(chain) >
                      jobs::ObjectiveOf(job, queue->second);
    rows.emplace_back(Key{ !job.lasting_, priority, late, !job.begun_, job.arrived_ }, &job);
  }
  std::sort(rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  std::vector<jobs::Job*> ordered;
  ordered.reserve(rows.size());
  for (const auto& [key, job] : rows) {
    ordered.push_back(job);
  }
  return ordered;
}

std::vector<placement::Candidate>
Cell::Candidates(std::vector<Row*>& aRows) const
{
  std::vector<placement::Candidate> candidates;
  for (const auto& [id, row] : workers_) {
    if (!row.worker_->IsOpen()) {
      continue;
    }
    const workers::Book& book = row.worker_->Book();
    const workers::Registration& registration = row.worker_->Registration();
    placement::Candidate candidate;
    candidate.id_ = id;
    candidate.labels_ = &registration.labels_;
    candidate.rack_ = RackOf(registration.labels_);
    candidate.free_ = workers::FreeOf(book, registration.capacity_);
    candidate.hasLasting_ = workers::HasLasting(book);
    candidate.hasServing_ =
      RunsStep(book, [](const workers::Slot& aSlot) { return aSlot.targetMs_ > 0; });
    candidate.hasFilling_ = RunsStep(book, [](const workers::Slot& aSlot) { return aSlot.fills_; });
    candidate.suspicion_ = row.suspicion_ > kSuspicious ? 1 : 0;
    candidates.push_back(std::move(candidate));
    aRows.push_back(const_cast<Row*>(&row));
  }
  return candidates;
}

void
Cell::PlaceAll()
{
  if (handingOver_ || lost_ || context_.tenure_() >= kTenureGrace) {
    return;
  }
  const clock::Moment now = Now();
  std::vector<Row*> rows;
  std::vector<placement::Candidate> candidates = Candidates(rows);
  if (candidates.empty()) {
    return;
  }
  int futile = 0;
  for (jobs::Job* job : JobsInOrder(now)) {
    futile = PlaceJob(*job, candidates, rows, now) ? 0 : futile + 1;
    if (futile > kMostFutileJobs) {
      return;
    }
  }
  PlaceCopies(candidates, rows, now);
}

bool
Cell::PlaceJob(jobs::Job& aJob,
               std::vector<placement::Candidate>& aCandidates,
               const std::vector<Row*>& aRows,
               clock::Moment aNow)
{
  bool any = false;
  for (const auto& [index, occurrence] : aJob.live_) {
    for (int s = 0; s < static_cast<int>(occurrence.steps_.size()); ++s) {
      if (occurrence.steps_[static_cast<std::size_t>(s)].IsDone() ||
          !jobs::IsUnblocked(aJob, occurrence, s)) {
        continue;
      }
      any = PlaceStep(aJob, index, s, aCandidates, aRows, aNow) > 0 || any;
    }
  }
  return any;
}

int
Cell::PlaceStep(jobs::Job& aJob,
                int aOccurrence,
                int aStep,
                std::vector<placement::Candidate>& aCandidates,
                const std::vector<Row*>& aRows,
                clock::Moment aNow)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aStep));
  if (spec.gang_) {
    return PlaceGang(aJob, aOccurrence, aStep, aCandidates, aRows, aNow) ? 1 : 0;
  }
  auto& tasks = aJob.live_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep)).tasks_;
  placement::StepUse use;
  use.tasksOn_.assign(aCandidates.size(), 0);
  if (spec.mostPerWorker_ > 0) {
    for (const jobs::TaskState& task : tasks) {
      for (std::size_t i = 0; i < aCandidates.size(); ++i) {
        const bool isOn = task.phase_ == jobs::TaskPhase::kPlaced &&
                          (task.worker_ == aCandidates[i].id_ ||
                           (task.copyRun_ != 0 && task.copyWorker_ == aCandidates[i].id_));
        use.tasksOn_[i] += isOn ? 1 : 0;
      }
    }
  }
  const jobs::Queue* queue = jobs::FindQueueByName(context_.feed_->Configuration(), aJob.queue_);
  if (queue != nullptr && queue->advice_) {
    const std::string step = StepName(aJob.id_, aOccurrence, aStep);
    const Tickets::ByWorker* tickets = tickets_.Find(step, aNow);
    if (tickets == nullptr) {
      AskTickets(step);
      return 0;
    }
    for (const placement::Candidate& candidate : aCandidates) {
      use.barredOn_.push_back(!tickets->contains(candidate.id_));
    }
  }
  int placed = 0;
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    const jobs::TaskState& task = tasks[static_cast<std::size_t>(i)];
    if (task.phase_ != jobs::TaskPhase::kWaiting || task.notBefore_ > aNow) {
      continue;
    }
    const auto chosen = placement::ChooseWorker(spec, aCandidates, use);
    if (!chosen) {
      break;
    }
    placement::Reserve(aCandidates[*chosen], spec);
    ++use.tasksOn_[*chosen];
    StartTask(aJob, { aJob.id_, aOccurrence, aStep, i }, nextRun_++, *aRows[*chosen]);
    ++placed;
  }
  if (!use.barredOn_.empty() && aJob.waiting_ > 0) {
    AskTickets(StepName(aJob.id_, aOccurrence, aStep)); // Workers that have come since may do.
  }
  return placed;
}

bool
Cell::PlaceGang(jobs::Job& aJob,
                int aOccurrence,
                int aStep,
                std::vector<placement::Candidate>& aCandidates,
                const std::vector<Row*>& aRows,
                clock::Moment aNow)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aStep));
  const auto& tasks = aJob.live_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep)).tasks_;
  const bool ready = std::all_of(tasks.begin(), tasks.end(), [aNow](const jobs::TaskState& aTask) {
    return aTask.phase_ == jobs::TaskPhase::kWaiting && aTask.notBefore_ <= aNow;
  });
  if (!ready) {
    return false;
  }
  const std::vector<std::size_t> chosen = placement::ChooseGang(spec, aCandidates);
  if (chosen.empty()) {
    return false;
  }
  const std::int64_t run = nextRun_++;
  for (int i = 0; i < spec.count_; ++i) {
    const std::size_t candidate = chosen[static_cast<std::size_t>(i)];
    placement::Reserve(aCandidates[candidate], spec);
    StartTask(aJob, { aJob.id_, aOccurrence, aStep, i }, run, *aRows[candidate]);
  }
  return true;
}

void
Cell::StartTask(jobs::Job& aJob, const jobs::TaskId& aTask, std::int64_t aRun, Row& aRow)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aTask.step_));
  const std::string worker = aRow.worker_->Registration().id_;
  const workers::StartOrder order = OrderFor(aJob, aTask, aRun, worker);
  if (!aJob.begun_) {
    context_.metrics_->Observe(
      "quetzal_job_wait_seconds", { { "service", service_ } }, Now() - aJob.arrived_);
  }
  jobs::Place(aJob, aTask, worker, aRun, Now());
  log::Info("cell",
            "event=task-start cell=",
            service_,
            " task=",
            jobs::ToString(aTask),
            " run=",
            aRun,
            " worker=",
            worker,
            " free_cpu=",
            workers::FreeOf(aRow.worker_->Book(), aRow.worker_->Registration().capacity_).cpu_);
  context_.metrics_->Add("quetzal_starts_total", { { "service", service_ } });
  aRow.worker_->Start(order, MakeSlot(spec, aRun, workers::SlotState::kOrdered));
}

workers::StartOrder
Cell::OrderFor(jobs::Job& aJob,
               const jobs::TaskId& aTask,
               std::int64_t aRun,
               const std::string& aWorker)
{
  const jobs::TaskState* task = jobs::FindTask(aJob, aTask);
  workers::StartOrder order;
  order.task_ = aTask;
  order.run_ = aRun;
  order.payload_ = aJob.spec_.payload_;
  order.checkpoint_ = task == nullptr ? std::string() : task->checkpoint_;
  order.ticket_ = TicketFor(aTask, aWorker);
  return order;
}

std::string
Cell::TicketFor(const jobs::TaskId& aTask, const std::string& aWorker) const
{
  const std::string step = StepName(aTask.job_, aTask.occurrence_, aTask.step_);
  const Tickets::ByWorker* tickets = tickets_.Find(step, Now());
  if (tickets == nullptr) {
    return {};
  }
  const auto ticket = tickets->find(aWorker);
  return ticket == tickets->end() ? std::string() : ticket->second;
}

void
Cell::AskTickets(const std::string& aStep)
{
  std::vector<std::string> ids;
  for (const auto& [id, row] : workers_) {
    if (row.worker_->IsOpen()) {
      ids.push_back(id);
    }
  }
  tickets_.Ask(aStep, ids, Now());
}

// --- Copies --------------------------------------------------------------------------------------

void
Cell::PlaceCopies(std::vector<placement::Candidate>& aCandidates,
                  const std::vector<Row*>& aRows,
                  clock::Moment aNow)
{
  for (auto& [id, job] : jobs_) {
    if (job.placed_ == 0 || !job.stored_ || job.ending_ || job.lasting_) {
      continue;
    }
    for (const auto& [index, occurrence] : job.live_) {
      for (int s = 0; s < static_cast<int>(occurrence.steps_.size()); ++s) {
        const jobs::StepSpec& spec = job.spec_.steps_.at(static_cast<std::size_t>(s));
        if (spec.speculative_ && !spec.gang_) {
          CopyStragglers(job, index, s, aCandidates, aRows, aNow);
        }
      }
    }
  }
}

bool
Cell::MayCopy(const jobs::Job& aJob,
              const jobs::StepState& aStep,
              const jobs::StepSpec& aSpec,
              const jobs::TaskState& aTask,
              clock::Moment aNow) const
{
  if (aTask.phase_ != jobs::TaskPhase::kPlaced || aTask.copyRun_ != 0) {
    return false;
  }
  const int most = MostAttempts(aJob);
  if (most > 0 && static_cast<int>(aTask.failedRuns_.size()) + 1 >= most) {
    return false; // Both runs might fail, and one more than may be would have been started.
  }
  placement::RunSoFar run;
  run.age_ = std::chrono::duration_cast<clock::Milliseconds>(aNow - aTask.placedAt_);
  run.estimate_ = clock::Milliseconds(
    static_cast<std::int64_t>(static_cast<double>(aSpec.estimateMs_) * estimateBias_));
  run.siblings_ = static_cast<int>(aStep.tasks_.size());
  run.siblingsDone_ = aStep.timed_;
  run.siblingTime_ = aStep.doneTime_ / std::max(aStep.timed_, 1);
  return placement::IsStraggler(run);
}

void
Cell::CopyStragglers(jobs::Job& aJob,
                     int aOccurrence,
                     int aStep,
                     std::vector<placement::Candidate>& aCandidates,
                     const std::vector<Row*>& aRows,
                     clock::Moment aNow)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aStep));
  jobs::StepState& step = aJob.live_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep));
  for (int i = 0; i < static_cast<int>(step.tasks_.size()); ++i) {
    const jobs::TaskState& task = step.tasks_[static_cast<std::size_t>(i)];
    if (!MayCopy(aJob, step, spec, task, aNow)) {
      continue;
    }
    const jobs::TaskId id{ aJob.id_, aOccurrence, aStep, i };
    const jobs::Queue* queue = jobs::FindQueueByName(context_.feed_->Configuration(), aJob.queue_);
    const bool needsTicket = queue != nullptr && queue->advice_;
    placement::StepUse use;
    use.tasksOn_.assign(aCandidates.size(), 0);
    for (std::size_t c = 0; c < aCandidates.size(); ++c) {
      const std::string& worker = aCandidates[c].id_;
      use.barredOn_.push_back(worker == task.worker_ ||
                              (needsTicket && TicketFor(id, worker).empty()));
      for (const jobs::TaskState& other : step.tasks_) {
        const bool isOn = other.phase_ == jobs::TaskPhase::kPlaced &&
                          (other.worker_ == worker || other.copyWorker_ == worker);
        use.tasksOn_[c] += isOn ? 1 : 0;
      }
    }
    const auto chosen = placement::ChooseWorker(spec, aCandidates, use);
    if (!chosen) {
      return;
    }
    placement::Reserve(aCandidates[*chosen], spec);
    Row& row = *aRows[*chosen];
    const std::string worker = row.worker_->Registration().id_;
    const std::int64_t run = nextRun_++;
    log::Info("cell",
              "event=task-copied cell=",
              service_,
              " task=",
              jobs::ToString(id),
              " run=",
              run,
              " worker=",
              worker,
              " beside=",
              task.worker_);
    context_.metrics_->Add("quetzal_copies_total", { { "service", service_ } });
    const workers::StartOrder order = OrderFor(aJob, id, run, worker);
    jobs::PlaceCopy(aJob, id, worker, run, aNow);
    row.worker_->Start(order, MakeSlot(spec, run, workers::SlotState::kOrdered));
  }
}

void
Cell::StopOtherRuns(const jobs::TaskId& aTask, std::int64_t aRun, const jobs::TaskState& aState)
{
  const std::array<std::pair<std::int64_t, std::string>, 2> runs{
    { { aState.run_, aState.worker_ }, { aState.copyRun_, aState.copyWorker_ } }
  };
  for (const auto& [run, worker] : runs) {
    const auto row = workers_.find(worker);
    if (run != 0 && run != aRun && row != workers_.end()) {
      row->second.worker_->Stop(aTask);
    }
  }
}

// --- Sharing -------------------------------------------------------------------------------------

void
Cell::PaceFilling(Row& aRow)
{
  const workers::Book& book = aRow.worker_->Book();
  if (!workers::IsShared(book)) {
    aRow.pace_ = sharing::kFullPace;
  } else if (Now() - aRow.pacedAt_ >= kPaceInterval) {
    std::vector<sharing::ServingTask> serving;
    for (const auto& [task, slot] : book.slots_) {
      if (slot.targetMs_ > 0) {
        serving.push_back({ slot.targetMs_, slot.figure_ });
      }
    }
    aRow.pacedAt_ = Now();
    const int pace = sharing::NextPace(aRow.pace_, serving);
    if (pace != aRow.pace_) {
      log::Info("cell",
                "event=pace cell=",
                service_,
                " worker=",
                aRow.worker_->Registration().id_,
                " from=",
                aRow.pace_,
                " to=",
                pace);
    }
    aRow.pace_ = pace;
  }
  std::vector<jobs::TaskId> toPace;
  for (const auto& [task, slot] : book.slots_) {
    if (slot.fills_ && slot.state_ == workers::SlotState::kRunning && slot.pace_ != aRow.pace_) {
      toPace.push_back(task);
    }
  }
  for (const jobs::TaskId& task : toPace) {
    aRow.worker_->Pace(task, aRow.pace_);
  }
}

// --- The fleet -----------------------------------------------------------------------------------

CellReport
Cell::Report()
{
  CellReport report;
  report.service_ = service_;
  const clock::Moment now = Now();
  while (!arrivals_.empty() && now - arrivals_.front().at_ > kArrivalHistory) {
    arrivals_.pop_front();
  }
  const jobs::Configuration& configuration = context_.feed_->Configuration();
  clock::Milliseconds longest{ 0 };
  for (const auto& [id, job] : jobs_) {
    if (!job.stored_ || job.ending_ || jobs::IsFinal(job.state_)) {
      continue;
    }
    const jobs::Remainder rest = jobs::RemainderOf(job);
    if (job.lasting_) {
      report.lastingCores_ += rest.widestCores_;
      for (const jobs::StepSpec& step : job.spec_.steps_) {
        report.lastingMemory_ += static_cast<double>(step.memory_) * step.count_;
      }
      continue;
    }
    longest = std::max(longest, job.chain_);
    const jobs::Queue* queue = jobs::FindQueueByName(configuration, job.queue_);
    report.urgentCores_ += fleet::UrgentCores(
      { rest.work_ * estimateBias_, rest.widestCores_, jobs::ObjectiveOf(job, queue) }, now);
  }
  report.stuckTasks_ = CountStuck() + stuckVacates_;
  const auto window = std::clamp(longest / 2, kLeastWindow, kMostWindow);
  report.forecastCores_ =
    estimateBias_ * fleet::ForecastCores(arrivals_, now, window, context_.moveTime_ + kDrawDelay);
  for (const auto& [id, row] : workers_) {
    const workers::Book& book = row.worker_->Book();
    report.workers_.push_back({ id,
                                static_cast<int>(book.slots_.size()),
                                workers::HasLasting(book),
                                row.worker_->IsClosed(),
                                row.worker_->IsSettled() });
  }
  return report;
}

int
Cell::CountStuck() const
{
  const clock::Moment now = Now();
  int stuck = 0;
  for (const auto& [id, job] : jobs_) {
    if (job.lasting_ && job.stored_ && now - job.arrived_ > kStuckTime) {
      stuck += job.waiting_;
    }
  }
  return stuck;
}

bool
Cell::HasRoomFor(const jobs::StepSpec& aStep) const
{
  std::vector<Row*> rows;
  const std::vector<placement::Candidate> candidates = Candidates(rows);
  placement::StepUse use;
  use.tasksOn_.assign(candidates.size(), 0);
  return placement::ChooseWorker(aStep, candidates, use).has_value();
}

void
Cell::CloseWorkers(const std::set<std::string>& aWorkers)
{
  stuckVacates_ = 0;
  closed_ = aWorkers;
  for (auto& [id, row] : workers_) {
    row.worker_->SetClosed(closed_.contains(id));
  }
  KickPlacing();
}

bool
Cell::IsAtWork(const jobs::TaskState& aState, const jobs::TaskId& aTask) const
{
  if (aState.phase_ != jobs::TaskPhase::kPlaced || aState.leaving_) {
    return false;
  }
  const auto row = workers_.find(aState.worker_);
  if (row == workers_.end() || !row->second.worker_->IsHeard()) {
    return false;
  }
  const auto& slots = row->second.worker_->Book().slots_;
  const auto slot = slots.find(aTask);
  return slot != slots.end() && slot->second.state_ == workers::SlotState::kRunning &&
         slot->second.progress_ >= kAtWork;
}

bool
Cell::MayTakeAway(const jobs::Job& aJob, const jobs::TaskId& aTask) const
{
  const auto step = static_cast<std::size_t>(aTask.step_);
  const auto& tasks = aJob.live_.at(aTask.occurrence_).steps_.at(step).tasks_;
  int away = 0;
  jobs::TaskId other = aTask;
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    other.index_ = i;
    away += i != aTask.index_ && !IsAtWork(tasks[static_cast<std::size_t>(i)], other) ? 1 : 0;
  }
  return away < std::max(aJob.spec_.steps_.at(step).mayMiss_, 1);
}

void
Cell::MarkGone(const std::set<std::string>& aWorkers)
{
  bool any = false;
  for (const std::string& id : aWorkers) {
    const auto row = workers_.find(id);
    if (row == workers_.end() || row->second.gone_ || row->second.worker_->IsHeard()) {
      continue;
    }
    log::Info("cell",
              "event=worker-gone cell=",
              service_,
              " worker=",
              id,
              " runs=",
              row->second.worker_->Book().slots_.size());
    row->second.gone_ = true;
    row->second.worker_->GiveUp();
    any = true;
  }
  if (any) {
    writer_.SetRoster(Roster(), kRosterDelay, [] {});
    KickPlacing();
  }
}

void
Cell::Vacate(const std::string& aWorker)
{
  const auto row = workers_.find(aWorker);
  if (row == workers_.end()) {
    return;
  }
  std::vector<jobs::TaskId> toStop;
  for (const auto& [task, slot] : row->second.worker_->Book().slots_) {
    const auto job = jobs_.find(task.job_);
    if (!slot.lasting_ || slot.state_ != workers::SlotState::kRunning || job == jobs_.end()) {
      continue;
    }
    jobs::TaskState* state = jobs::FindTask(job->second, task);
    if (!HasRoomFor(job->second.spec_.steps_.at(static_cast<std::size_t>(task.step_)))) {
      ++stuckVacates_;
    } else if (state != nullptr && MayTakeAway(job->second, task)) {
      state->leaving_ = true;
      toStop.push_back(task);
    }
  }
  for (const jobs::TaskId& task : toStop) {
    log::Info("cell",
              "event=task-vacated cell=",
              service_,
              " task=",
              jobs::ToString(task),
              " worker=",
              aWorker);
    row->second.worker_->Stop(task);
  }
}

void
Cell::Abandon()
{
  lost_ = true;
  handingOver_ = true;
  placeTimer_.stop();
  houseTimer_.stop();
  writer_.Abandon();
  for (const auto& [id, row] : workers_) {
    row.worker_->disconnect(this);
  }
}

bool
Cell::IsQuiet() const
{
  return writer_.IsIdle();
}

void
Cell::Housekeep()
{
  GiveUpSilent();
  RemoveExpired();
  std::vector<std::string> gone;
  for (auto& [id, row] : workers_) {
    row.suspicion_ *= kSuspicionDecay;
    const bool draining = row.worker_->Registration().draining_;
    if (draining && row.worker_->IsRegistered()) {
      for (const auto& [task, slot] : std::map(row.worker_->Book().slots_)) {
        if (slot.lasting_ && slot.state_ == workers::SlotState::kRunning) {
          row.worker_->Stop(task);
        }
      }
    }
    if (!row.worker_->IsRegistered() && row.worker_->IsSettled() &&
        row.worker_->Book().slots_.empty() && context_.feed_->HasWorkers()) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    RemoveWorker(id);
  }
  if (!gone.empty()) {
    writer_.SetRoster(Roster(), kRosterDelay, [] {});
  }
  for (auto& [id, job] : jobs_) {
    if (job.stored_ && !job.ending_ && !jobs::IsFinal(job.state_) && job.spec_.repetitions_ > 0) {
      jobs::OpenDueOccurrences(job, UnixMs());
    }
  }
  KickPlacing();
}

} // namespace quetzal::cells
