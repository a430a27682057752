#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <algorithm>
#include <array>

namespace quetzal::cells {
namespace {

using clock::Now;
using clock::UnixMs;

constexpr clock::Milliseconds kAcceptDelay{ 12 };
constexpr clock::Milliseconds kHouseInterval{ 200 };
constexpr clock::Milliseconds kBlindSlack{ 300 };
/** Told to callers whose job cannot be stored now. */
constexpr clock::Milliseconds kRetryAfter{ 1'000 };
/** Runs of one owner; its fence number goes before it. */
constexpr std::int64_t kRunsPerOwner = 10'000'000;

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
  connect(context_.feed_, &node::PlatformState::WorkersChanged, this, &Cell::SyncWorkers);
  connect(context_.feed_, &node::PlatformState::ConfigurationChanged, this, &Cell::KickPlacing);
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
  job.fromPredecessor_ = true;
  if (jobs::IsFinal(job.state_)) {
    job.endedMs_ = record.timestampMs_;
  } else {
    job.acceptedMs_ = record.timestampMs_;
    const std::int64_t age = std::clamp<std::int64_t>(UnixMs() - record.timestampMs_, 0, 600'000);
    job.arrivedAt_ = begun_ - clock::Milliseconds(age);
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

// --- Callers --------------------------------------------------------------------------------

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
  job.arrivedAt_ = Now();
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
      if (!accepted.longRunning_ && accepted.spec_.repetitions_ == 0) {
        arrivals_.push_back({ Now(), accepted.estimatedCoreSeconds_ });
      }
      log::Info("cell",
                "event=job-accepted cell=",
                service_,
                " job=",
                aId,
                " queue=",
                accepted.queue_,
                " work=",
                accepted.estimatedCoreSeconds_);
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
  log::Info("cell", "event=job-cancel cell=", service_, " job=", aId, " placed=", job.placedTasks_);
  StopTasks(job);
  FinishJob(job, jobs::JobState::kCancelled, {});
}

std::int64_t
Cell::PendingOf(const std::string& aQueue) const
{
  return std::count_if(jobs_.begin(), jobs_.end(), [&aQueue](const auto& aRow) {
    const jobs::Job& job = aRow.second;
    return job.queue_ == aQueue && job.stored_ && !job.started_ && !job.ending_ &&
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

} // namespace quetzal::cells
