#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/sharing/SpeedLimit.h"
#include "include/quetzal/workers/Evidence.h"

#include <algorithm>
#include <sstream>

/** The functions of a cell that serve the fleet: reports to the fleet's owner, orders from that
 * owner, and periodic work on the cell's workers. */

namespace quetzal::cells {
namespace {

using clock::Now;
using clock::UnixMs;

/** Least time between two changes of a worker's speed limit; latencies are reported over half a
 * second. */
constexpr clock::Milliseconds kSpeedInterval{ 400 };
/** Time until the roster is written without workers that have left. */
constexpr clock::Milliseconds kRosterDelay{ 150 };
constexpr clock::Milliseconds kArrivalHistory{ 4'000 };
/** Bounds of the window for arrival rates, which is half of the longest job's critical path. */
constexpr clock::Milliseconds kMinWindow{ 600 };
constexpr clock::Milliseconds kMaxWindow{ 1'600 };
/** Time that an allocation takes beyond the host's move: until the move is ordered, and until the
 * new worker is registered and polled. */
constexpr clock::Milliseconds kAllocationDelay{ 500 };
constexpr double kFailureScoreDecay = 0.985; ///< Factor at each call of the periodic timer.
/** Waiting tasks that run until cancelled count as unschedulable once their job is older than
 * this. */
constexpr clock::Milliseconds kUnschedulableAge{ 400 };
/** Reported progress from which a task that runs until cancelled is available. */
constexpr int kAvailableProgressPercent = 100;

/** Logs that the platform no longer shows a worker, and with it the runs that may end for that. */
void
LogGone(const std::string& aService, const Worker& aWorker)
{
  const workers::RunsThere there = workers::RunsThereOf(aWorker.State());
  std::ostringstream text;
  text << "event=worker-gone cell=" << aService << " worker=" << aWorker.Registration().id_
       << workers::KnownIncarnationOf(aWorker.State(), Now()) << there;
  log::Write(workers::LevelFor(there), "cell", text.str());
}

} // namespace

CellReport
Cell::Report()
{
  CellReport report;
  report.service_ = service_;
  const clock::Moment now = Now();
  while (!arrivals_.empty() && now - arrivals_.front().at_ > kArrivalHistory) {
    arrivals_.pop_front();
  }
  const jobs::Configuration& configuration = context_.platformState_->Configuration();
  clock::Milliseconds longest{ 0 };
  for (const auto& [id, job] : jobs_.Live()) {
    if (!job.stored_ || job.ending_) {
      continue;
    }
    const jobs::RemainingWork rest = jobs::RemainingWorkOf(job);
    if (job.longRunning_) {
      report.longRunningCores_ += rest.maxCores_;
      for (const jobs::StepSpec& step : job.spec_.steps_) {
        report.longRunningMemory_ += static_cast<double>(step.memory_) * step.count_;
      }
      continue;
    }
    longest = std::max(longest, job.criticalPath_);
    const jobs::QueueTerms& terms = jobs::TermsInForce(job, configuration);
    report.urgentCores_ += fleet::UrgentCores(
      { rest.coreSeconds_ * estimateBias_, rest.maxCores_, jobs::ObjectiveOf(job, terms) }, now);
  }
  report.unschedulableTasks_ = CountUnschedulable() + unschedulableEvictions_;
  const auto window = std::clamp(longest / 2, kMinWindow, kMaxWindow);
  report.forecastCores_ =
    estimateBias_ *
    fleet::ForecastCores(arrivals_, now, window, context_.moveTime_ + kAllocationDelay);
  for (const auto& [id, entry] : workers_) {
    const workers::WorkerState& state = entry.worker_->State();
    report.workers_.push_back({ id,
                                entry.worker_->UnfinishedRuns(),
                                workers::HasLongRunning(state),
                                entry.worker_->IsCordoned(),
                                entry.worker_->IsSynchronized() });
  }
  ReportQuotas(report);
  return report;
}

int
Cell::CountUnschedulable() const
{
  const clock::Moment now = Now();
  int unschedulable = 0;
  for (const auto& [id, job] : jobs_.Waiting()) {
    const bool isHeldByQuota = job->waitReason_ == jobs::WaitReason::kQuota;
    if (job->longRunning_ && !isHeldByQuota && now - job->arrivedAt_ > kUnschedulableAge) {
      unschedulable += job->waitingTasks_;
    }
  }
  return unschedulable;
}

bool
Cell::HasRoomFor(const jobs::StepSpec& aStep) const
{
  std::vector<WorkerEntry*> entries;
  const std::vector<placement::Candidate> candidates = Candidates(entries);
  placement::StepUse use;
  use.taskCounts_.assign(candidates.size(), 0);
  return placement::ChooseWorker(aStep, candidates, use).has_value();
}

void
Cell::CordonWorkers(const std::set<std::string>& aWorkers)
{
  unschedulableEvictions_ = 0;
  cordoned_ = aWorkers;
  for (auto& [id, entry] : workers_) {
    entry.worker_->SetCordoned(cordoned_.contains(id));
  }
  SchedulePlacement();
}

bool
Cell::IsAvailable(const jobs::TaskState& aState, const jobs::TaskId& aTask) const
{
  if (aState.phase_ != jobs::TaskPhase::kPlaced || aState.evicting_) {
    return false;
  }
  const auto entry = workers_.find(aState.worker_);
  if (entry == workers_.end() || !entry->second.worker_->IsResponsive()) {
    return false;
  }
  const auto& runs = entry->second.worker_->State().runs_;
  const auto run = runs.find(aTask);
  return run != runs.end() && run->second.state_ == workers::RunState::kRunning &&
         run->second.progressPercent_ >= kAvailableProgressPercent;
}

bool
Cell::MayEvict(const jobs::Job& aJob, const jobs::TaskId& aTask) const
{
  const auto step = static_cast<std::size_t>(aTask.step_);
  const auto& tasks = aJob.liveOccurrences_.at(aTask.occurrence_).steps_.at(step).tasks_;
  int unavailable = 0;
  jobs::TaskId other = aTask;
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    other.index_ = i;
    unavailable +=
      i != aTask.index_ && !IsAvailable(tasks[static_cast<std::size_t>(i)], other) ? 1 : 0;
  }
  return unavailable < std::max(aJob.spec_.steps_.at(step).maxUnavailable_, 1);
}

void
Cell::MarkTerminated(const std::set<std::string>& aWorkers, clock::Moment aSeenGoneAt)
{
  bool any = false;
  for (const std::string& id : aWorkers) {
    const auto entry = workers_.find(id);
    if (entry == workers_.end() || entry->second.worker_->IsResponsive()) {
      continue;
    }
    Worker& worker = *entry->second.worker_;
    if (entry->second.terminated_) {
      worker.EndTerminatedRuns(aSeenGoneAt);
      continue;
    }
    entry->second.terminated_ = true;
    entry->second.rosterRequested_ = false;
    worker.SetInRoster(false);
    LogGone(service_, worker);
    worker.EndTerminatedRuns(aSeenGoneAt);
    any = true;
  }
  if (any) {
    writer_.SetRoster(Roster(), kRosterDelay, [] {});
    SchedulePlacement();
  }
}

void
Cell::EvictTasks(const std::string& aWorker)
{
  const auto entry = workers_.find(aWorker);
  // While the cell is handed over, the tasks could not start elsewhere, and polls would not show
  // which others of their steps are away.
  if (entry == workers_.end() || handingOver_) {
    return;
  }
  std::vector<jobs::TaskId> toStop;
  for (const auto& [task, run] : entry->second.worker_->State().runs_) {
    jobs::Job* job = jobs_.Find(task.job_);
    if (!run.longRunning_ || run.state_ != workers::RunState::kRunning || job == nullptr) {
      continue;
    }
    jobs::TaskState* state = jobs::FindTask(*job, task);
    if (!HasRoomFor(job->spec_.steps_.at(static_cast<std::size_t>(task.step_)))) {
      ++unschedulableEvictions_;
    } else if (state != nullptr && MayEvict(*job, task)) {
      state->evicting_ = true;
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
    entry->second.worker_->Stop(task);
  }
}

void
Cell::BeginHandOver()
{
  handingOver_ = true;
  placementTimer_.stop();
  periodicTimer_.stop();
  for (const auto& [id, entry] : workers_) {
    // A draining worker may be gone before a successor polls it.
    if (!entry.worker_->Registration().draining_) {
      entry.worker_->StopPolling();
    }
  }
  writer_.SetRoster(HandOverRoster(), clock::Milliseconds(0), [] {});
  FlushProgress();
}

void
Cell::Abandon()
{
  ownershipLost_ = true;
  handingOver_ = true;
  placementTimer_.stop();
  periodicTimer_.stop();
  writer_.Abandon();
  for (const auto& [id, entry] : workers_) {
    entry.worker_->disconnect(this);
    entry.worker_->StopPolling();
  }
}

bool
Cell::IsIdle() const
{
  return progressWaiters_.empty() && writer_.IsIdle();
}

void
Cell::OnPeriodicTimer()
{
  ExpireUnresponsiveWorkers();
  RemoveExpired();
  admission::MeasureBacklog(submissions_.backlog_, jobs_.Loads().work_, Now());
  std::vector<std::string> removed;
  for (auto& [id, entry] : workers_) {
    entry.failureScore_ *= kFailureScoreDecay;
    const bool draining = entry.worker_->Registration().draining_;
    if (draining && entry.worker_->IsRegistered()) {
      for (const auto& [task, run] : std::map(entry.worker_->State().runs_)) {
        if (run.longRunning_ && run.state_ == workers::RunState::kRunning) {
          entry.worker_->Stop(task);
        }
      }
    }
    if (MayRemove(entry)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    RemoveWorker(id);
  }
  if (!removed.empty()) {
    writer_.SetRoster(Roster(), kRosterDelay, [] {});
  }
  for (auto& [id, job] : jobs_.Live()) {
    if (job.stored_ && !job.ending_ && job.spec_.repetitions_ > 0) {
      jobs::OpenDueOccurrences(job, UnixMs());
      jobs_.Update(job);
    }
  }
  LogWaiting();
  SchedulePlacement();
}

bool
Cell::MayRemove(const WorkerEntry& aEntry) const
{
  const Worker& worker = *aEntry.worker_;
  if (worker.IsRegistered() || !context_.platformState_->HasWorkers()) {
    return false;
  }
  const bool isUnknown = aEntry.inherited_ && !worker.IsSynchronized();
  // If the worker only lost its registration, it would list ends that are not stored yet again.
  return !isUnknown && worker.UnfinishedRuns() == 0 && worker.State().openOrders_.empty();
}

// --- Sharing --------------------------------------------------------------------------------

void
Cell::LimitBestEffort(WorkerEntry& aEntry)
{
  const workers::WorkerState& state = aEntry.worker_->State();
  if (!workers::HasMixedLoad(state)) {
    aEntry.speedPercent_ = sharing::kFullSpeedPercent;
  } else if (Now() - aEntry.speedCheckedAt_ >= kSpeedInterval) {
    std::vector<sharing::LatencySensitiveTask> latencySensitive;
    for (const auto& [task, run] : state.runs_) {
      if (run.latencyTargetMs_ > 0) {
        latencySensitive.push_back({ run.latencyTargetMs_, run.measurement_ });
      }
    }
    aEntry.speedCheckedAt_ = Now();
    const int speedPercent = sharing::NextSpeedPercent(aEntry.speedPercent_, latencySensitive);
    if (speedPercent != aEntry.speedPercent_) {
      log::Detail("cell",
                  "event=pace cell=",
                  service_,
                  " worker=",
                  aEntry.worker_->Registration().id_,
                  " from=",
                  aEntry.speedPercent_,
                  " to=",
                  speedPercent);
    }
    aEntry.speedPercent_ = speedPercent;
  }
  std::vector<jobs::TaskId> toLimit;
  for (const auto& [task, run] : state.runs_) {
    if (run.bestEffort_ && run.state_ == workers::RunState::kRunning &&
        run.speedPercent_ != aEntry.speedPercent_) {
      toLimit.push_back(task);
    }
  }
  for (const jobs::TaskId& task : toLimit) {
    aEntry.worker_->SetSpeed(task, aEntry.speedPercent_);
  }
}

} // namespace quetzal::cells
