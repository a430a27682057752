#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/workers/Evidence.h"
#include "include/quetzal/workers/RunBounds.h"

#include <QtCore/QPointer>
#include <algorithm>
#include <array>

namespace quetzal::cells {
namespace {

using clock::Now;
using clock::UnixMs;

constexpr clock::Milliseconds kPeriodicInterval{ 200 };
constexpr clock::Milliseconds kExpiryMargin{ 300 };
/** An owner numbers its runs from fence * kRunsPerOwner + 1 upwards, so that run numbers never
 * repeat. */
constexpr std::int64_t kRunsPerOwner = 10'000'000;

} // namespace

const char*
ToString(AnswerStatus aStatus)
{
  static constexpr std::array kNames{ "accepted",    "refused",   "shown",   "cancelled",
                                      "unknown-job", "undecided", "counted", "forbidden" };
  return kNames.at(static_cast<std::size_t>(aStatus));
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

Cell::Cell(std::string aService,
           CellContext aContext,
           const jobs::OwnerRecord& aSelf,
           std::int64_t aFence,
           const PredecessorState& aState,
           QObject* aParent)
  : QObject(aParent)
  , service_(std::move(aService))
  , context_(std::move(aContext))
  , fence_(aFence)
  , nextRun_(aFence * kRunsPerOwner + 1)
  , writer_(*context_.store_, service_, aSelf, aFence, this)
  , tickets_(context_.advice_, this)
  , startedAt_(Now())
{
  placementTimer_.setSingleShot(true);
  nearWaitTimer_.setSingleShot(true);
  nearWaitTimer_.setTimerType(Qt::PreciseTimer);
  progressTimer_.setSingleShot(true);
  connect(&placementTimer_, &QTimer::timeout, this, &Cell::PlaceTasks);
  connect(&nearWaitTimer_, &QTimer::timeout, this, &Cell::SchedulePlacement);
  connect(&progressTimer_, &QTimer::timeout, this, &Cell::FlushProgress);
  connect(&periodicTimer_, &QTimer::timeout, this, &Cell::OnPeriodicTimer);
  connect(this, &Cell::OwnershipLost, this, [this] { ownershipLost_ = true; });
  connect(&writer_, &WriteChains::OwnershipLost, this, &Cell::OwnershipLost);
  connect(&tickets_, &PlacementTickets::Answered, this, &Cell::SchedulePlacement);
  connect(context_.platformState_, &node::PlatformState::WorkersChanged, this, &Cell::SyncWorkers);
  connect(context_.platformState_,
          &node::PlatformState::ConfigurationChanged,
          this,
          &Cell::SchedulePlacement);
  RestoreState(aState);
  SyncWorkers();
  periodicTimer_.start(kPeriodicInterval);
}

void
Cell::RestoreState(const PredecessorState& aState)
{
  for (const store::KeyValue& item : aState.jobs_) {
    RestoreJob(item);
  }
  const std::size_t prefix = ProgressPrefix(service_).size();
  for (const store::KeyValue& item : aState.progress_) {
    jobs::ProgressRecord record;
    jobs::Job* job = jobs_.Find(item.key_.substr(prefix));
    if (job == nullptr || !jobs::Decode(item.value_, record)) {
      log::Warn("cell", "event=progress-ignored cell=", service_, " key=", item.key_);
      continue;
    }
    jobs::ApplyProgress(*job, record);
    job->hasProgress_ = true;
    jobs_.Update(*job);
  }
  for (const jobs::RosterEntry& entry : aState.roster_) {
    workers::Registration registration;
    registration.id_ = entry.id_;
    registration.endpoint_ = { entry.address_, static_cast<std::uint16_t>(entry.port_) };
    registration.service_ = service_;
    AddWorker(registration);
    WorkerEntry& inherited = workers_.at(entry.id_);
    inherited.inherited_ = true;
    inherited.worker_->MarkUnregistered();
  }
  log::Info("cell",
            "event=cell-begun cell=",
            service_,
            " fence=",
            fence_,
            " jobs=",
            jobs_.Live().size(),
            " roster=",
            aState.roster_.size());
}

void
Cell::RestoreJob(const store::KeyValue& aItem)
{
  jobs::JobRecord record;
  std::string why = "it is not a record";
  const bool isRecord = jobs::Decode(aItem.value_, record);
  if (isRecord && record.cell_ != service_) {
    return;
  }
  if (!isRecord || !jobs::IsValid(record, why)) {
    log::Warn(
      "cell", "event=job-ignored cell=", service_, " key=", aItem.key_, " why=\"", why, '"');
    return;
  }
  const std::string id = aItem.key_.substr(kJobPrefix.size());
  const auto state = static_cast<jobs::JobState>(record.state_);
  if (jobs::IsFinal(state)) {
    jobs_.AddEnded(id, { state, record.timestampMs_, record.organisation_ });
    return;
  }
  jobs::Job job = jobs::MakeJob(id, record.queue_, jobs::SpecOf(record));
  job.terms_ = TermsAtAcceptance(record.queue_, jobs::TermsOf(record));
  job.organisation_ = record.organisation_;
  job.state_ = state;
  job.stored_ = true;
  job.fromPredecessor_ = true;
  job.acceptedMs_ = record.timestampMs_;
  const std::int64_t age = std::clamp<std::int64_t>(UnixMs() - record.timestampMs_, 0, 600'000);
  job.arrivedAt_ = startedAt_ - clock::Milliseconds(age);
  jobs::OpenDueOccurrences(job, UnixMs());
  jobs_.Add(std::move(job));
}

void
Cell::SyncWorkers()
{
  if (!context_.platformState_->HasWorkers()) {
    return;
  }
  const node::Registrations& registrations = context_.platformState_->Workers();
  for (const auto& [id, registration] : registrations) {
    if (registration.service_ != service_) {
      continue;
    }
    const auto entry = workers_.find(id);
    if (entry == workers_.end()) {
      AddWorker(registration);
      continue;
    }
    if (entry->second.worker_->Registration().endpoint_ != registration.endpoint_) {
      MoveWorker(entry->second, registration);
      continue;
    }
    entry->second.worker_->Update(registration);
  }
  for (auto& [id, entry] : workers_) {
    const auto registration = registrations.find(id);
    if (registration == registrations.end() || registration->second.service_ != service_) {
      entry.worker_->MarkUnregistered();
    }
  }
  ExtendRoster();
  SchedulePlacement();
}

void
Cell::AddWorker(const workers::Registration& aRegistration)
{
  auto* worker = new Worker(aRegistration,
                            context_.makeWorker_(aRegistration.id_, aRegistration.endpoint_),
                            writer_.RosterRevision(),
                            context_.times_,
                            context_.sinceLeaseLapse_,
                            this);
  const std::string id = aRegistration.id_;
  workers_[id].worker_ = worker;
  worker->CountUseIn(quotaUse_);
  worker->RepeatOrdersIf(
    [this, id](const workers::RunKey& aKey) { return MayRepeatStart(id, aKey); });
  worker->CountEventsIn(*context_.metrics_);
  worker->SetCordoned(cordoned_.contains(id));
  connect(worker, &Worker::PollFinished, this, [this, id] {
    if (const auto entry = workers_.find(id); entry != workers_.end()) {
      UpdateRosterNeed(entry->second);
      LimitBestEffort(entry->second);
    }
    ExtendRoster();
    SchedulePlacement();
  });
  connect(worker,
          &Worker::RunEnded,
          this,
          [this, id](
            const auto& aTask, qint64 aRun, auto aKind, const auto& aCheckpoint, qint64 aNumber) {
            if (const auto entry = workers_.find(id); entry != workers_.end()) {
              OnRunEnded(entry->second, aTask, aRun, aKind, aCheckpoint, aNumber);
            }
          });
  connect(worker, &Worker::StartAnswered, this, &Cell::OnStartAnswered);
  connect(worker, &Worker::StartFailed, this, &Cell::OnStartFailed);
  connect(worker, &Worker::UnknownRunFound, this, [this, id](const workers::RunningTask& aTask) {
    if (const auto entry = workers_.find(id); entry != workers_.end()) {
      OnUnknownRun(entry->second, aTask);
    }
  });
  connect(worker, &Worker::Fenced, this, [this, id] {
    log::Warn("cell", "event=fenced cell=", service_, " worker=", id, " fence=", fence_);
    Q_EMIT OwnershipLost();
  });
  connect(worker, &Worker::Restarted, this, [this, id] { RaiseFence(id); });
  worker->BeginPolling();
}

void
Cell::MoveWorker(WorkerEntry& aEntry, const workers::Registration& aRegistration)
{
  log::Info("cell", "event=worker-moved cell=", service_, " worker=", aRegistration.id_);
  // A successor finds the worker only at the address that is in the roster, so the roster is stored
  // again before anything is started there.
  aEntry.rosterRequested_ = false;
  aEntry.worker_->SetInRoster(false);
  aEntry.worker_->Move(aRegistration,
                       context_.makeWorker_(aRegistration.id_, aRegistration.endpoint_));
}

void
Cell::RaiseFence(const std::string& aId)
{
  const auto raise = [this, aId] {
    if (const auto entry = workers_.find(aId); entry != workers_.end()) {
      entry->second.worker_->RaiseFence(writer_.RosterRevision());
    }
  };
  if (workers_.at(aId).worker_->Fence() < writer_.RosterRevision()) {
    raise();
  } else if (!handingOver_) {
    writer_.SetRoster(Roster(), clock::Milliseconds(0), raise);
  }
}

void
Cell::RemoveWorker(const std::string& aId)
{
  const auto entry = workers_.find(aId);
  if (entry != workers_.end()) {
    entry->second.worker_->disconnect(this);
    entry->second.worker_->deleteLater();
    workers_.erase(entry);
  }
}

std::vector<jobs::RosterEntry>
Cell::Roster() const
{
  std::vector<jobs::RosterEntry> roster;
  for (const auto& [id, entry] : workers_) {
    const settings::Endpoint& endpoint = entry.worker_->Registration().endpoint_;
    const bool mayHaveOrders = entry.inherited_ || entry.rosterRequested_;
    if ((!entry.terminated_ && mayHaveOrders) || entry.worker_->UnfinishedRuns() > 0) {
      roster.push_back({ id, endpoint.address_, endpoint.port_ });
    }
  }
  return roster;
}

std::vector<jobs::RosterEntry>
Cell::HandOverRoster() const
{
  std::vector<jobs::RosterEntry> roster = Roster();
  std::erase_if(roster, [this](const jobs::RosterEntry& aEntry) {
    const Worker& worker = *workers_.at(aEntry.id_).worker_;
    return worker.IsSynchronized() && worker.UnfinishedRuns() == 0;
  });
  return roster;
}

void
Cell::UpdateRosterNeed(WorkerEntry& aEntry)
{
  if (aEntry.worker_->IsResponsive()) {
    aEntry.terminated_ = false;
    rosterIsComplete_ = rosterIsComplete_ && aEntry.rosterRequested_;
  }
}

void
Cell::ExtendRoster()
{
  if (rosterIsComplete_) {
    return;
  }
  rosterIsComplete_ = true;
  std::vector<std::string> added;
  for (auto& [id, entry] : workers_) {
    if (!entry.terminated_ && entry.worker_->IsResponsive() && !entry.rosterRequested_) {
      entry.rosterRequested_ = true;
      added.push_back(id);
    }
  }
  if (added.empty()) {
    return;
  }
  writer_.SetRoster(Roster(), clock::Milliseconds(0), [this, added] {
    for (const std::string& id : added) {
      const auto entry = workers_.find(id);
      // A worker that has moved in the meantime must be stored with its new address first.
      if (entry != workers_.end() && !entry->second.terminated_ && entry->second.rosterRequested_) {
        entry->second.worker_->SetInRoster(true);
      }
    }
    SchedulePlacement();
  });
}

bool
Cell::IsSynchronized() const
{
  return context_.platformState_->HasWorkers() &&
         std::all_of(workers_.begin(), workers_.end(), [](const auto& aEntry) {
           return !aEntry.second.inherited_ || aEntry.second.worker_->IsSynchronized();
         });
}

void
Cell::ExpireUnresponsiveWorkers()
{
  // The predecessor's lease had lapsed before this owner's began. A worker that is cut off together
  // with the predecessor may lose its registration and still run tasks until its lease lapses.
  const clock::Moment lastCall = startedAt_ + kLeaseLapseGrace;
  const auto life = workers::LongestLifeOfPredecessorsRuns(context_.times_);
  if (Now() < lastCall + life + kExpiryMargin) {
    return;
  }
  for (auto& [id, entry] : workers_) {
    const bool hasAnswered = entry.worker_->State().clock_.has_value();
    if (entry.inherited_ && !entry.worker_->IsSynchronized() && !hasAnswered) {
      log::Warn("cell",
                "event=worker-given-up cell=",
                service_,
                " worker=",
                id,
                workers::RunsThereOf(entry.worker_->State()));
      entry.worker_->GiveUp();
      entry.inherited_ = false;
    }
  }
}

jobs::QueueTerms
Cell::TermsAtAcceptance(const std::string& aQueue,
                        const std::optional<jobs::QueueTerms>& aKnown) const
{
  return aKnown ? *aKnown
                : jobs::TermsWithoutRecord(context_.platformState_->Configuration(), aQueue);
}

std::size_t
Cell::LiveJobs() const
{
  return jobs_.Live().size();
}

std::size_t
Cell::Width() const
{
  return workers_.size() + LiveJobs();
}

} // namespace quetzal::cells
