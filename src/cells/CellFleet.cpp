#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/sharing/SpeedLimit.h"

#include <algorithm>

/** A cell's part in the fleet: its reports, the orders of the fleet's owner, and the upkeep of its
 * own workers. */

namespace quetzal::cells {
namespace {

using clock::Now;
using clock::UnixMs;

/** Between two changes of a worker's pace; figures are means of half a second. */
constexpr clock::Milliseconds kPaceInterval{ 400 };
/** In which the roster is written without workers that have left. */
constexpr clock::Milliseconds kRosterDelay{ 150 };
constexpr clock::Milliseconds kArrivalHistory{ 4'000 };
/** Over which rates of arrival are taken: half of the longest job's chain, within these. */
constexpr clock::Milliseconds kLeastWindow{ 600 };
constexpr clock::Milliseconds kMostWindow{ 1'600 };
/** Beside a host's move: until it is ordered, and until its worker is known and looked at. */
constexpr clock::Milliseconds kDrawDelay{ 500 };
constexpr double kSuspicionDecay = 0.985; ///< For each housekeeping round.
/** A lasting task that has waited for this long finds no room. */
constexpr clock::Milliseconds kStuckTime{ 400 };
/** Progress, in per cent, at which a lasting task is at work. */
constexpr int kAtWork = 100;

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
  for (const auto& [id, job] : jobs_) {
    if (!job.stored_ || job.ending_ || jobs::IsFinal(job.state_)) {
      continue;
    }
    const jobs::Remainder rest = jobs::RemainderOf(job);
    if (job.lasting_) {
      report.longRunningCores_ += rest.widestCores_;
      for (const jobs::StepSpec& step : job.spec_.steps_) {
        report.longRunningMemory_ += static_cast<double>(step.memory_) * step.count_;
      }
      continue;
    }
    longest = std::max(longest, job.chain_);
    const jobs::Queue* queue = jobs::FindQueueByName(configuration, job.queue_);
    report.urgentCores_ += fleet::UrgentCores(
      { rest.work_ * estimateBias_, rest.widestCores_, jobs::ObjectiveOf(job, queue) }, now);
  }
  report.unschedulableTasks_ = CountUnschedulable() + unschedulableEvictions_;
  const auto window = std::clamp(longest / 2, kLeastWindow, kMostWindow);
  report.forecastCores_ =
    estimateBias_ * fleet::ForecastCores(arrivals_, now, window, context_.moveTime_ + kDrawDelay);
  for (const auto& [id, row] : workers_) {
    const workers::WorkerState& book = row.worker_->State();
    report.workers_.push_back({ id,
                                static_cast<int>(book.runs_.size()),
                                workers::HasLongRunning(book),
                                row.worker_->IsCordoned(),
                                row.worker_->IsSynchronized() });
  }
  return report;
}

int
Cell::CountUnschedulable() const
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
  std::vector<WorkerEntry*> rows;
  const std::vector<placement::Candidate> candidates = Candidates(rows);
  placement::StepUse use;
  use.taskCounts_.assign(candidates.size(), 0);
  return placement::ChooseWorker(aStep, candidates, use).has_value();
}

void
Cell::CordonWorkers(const std::set<std::string>& aWorkers)
{
  unschedulableEvictions_ = 0;
  cordoned_ = aWorkers;
  for (auto& [id, row] : workers_) {
    row.worker_->SetCordoned(cordoned_.contains(id));
  }
  SchedulePlacement();
}

bool
Cell::IsAvailable(const jobs::TaskState& aState, const jobs::TaskId& aTask) const
{
  if (aState.phase_ != jobs::TaskPhase::kPlaced || aState.leaving_) {
    return false;
  }
  const auto row = workers_.find(aState.worker_);
  if (row == workers_.end() || !row->second.worker_->IsResponsive()) {
    return false;
  }
  const auto& slots = row->second.worker_->State().runs_;
  const auto slot = slots.find(aTask);
  return slot != slots.end() && slot->second.state_ == workers::RunState::kRunning &&
         slot->second.progressPercent_ >= kAtWork;
}

bool
Cell::MayEvict(const jobs::Job& aJob, const jobs::TaskId& aTask) const
{
  const auto step = static_cast<std::size_t>(aTask.step_);
  const auto& tasks = aJob.live_.at(aTask.occurrence_).steps_.at(step).tasks_;
  int away = 0;
  jobs::TaskId other = aTask;
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    other.index_ = i;
    away += i != aTask.index_ && !IsAvailable(tasks[static_cast<std::size_t>(i)], other) ? 1 : 0;
  }
  return away < std::max(aJob.spec_.steps_.at(step).mayMiss_, 1);
}

void
Cell::MarkTerminated(const std::set<std::string>& aWorkers)
{
  bool any = false;
  for (const std::string& id : aWorkers) {
    const auto row = workers_.find(id);
    if (row == workers_.end() || row->second.terminated_ || row->second.worker_->IsResponsive()) {
      continue;
    }
    log::Info("cell",
              "event=worker-gone cell=",
              service_,
              " worker=",
              id,
              " runs=",
              row->second.worker_->State().runs_.size());
    row->second.terminated_ = true;
    row->second.worker_->ExpireRuns();
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
  const auto row = workers_.find(aWorker);
  if (row == workers_.end()) {
    return;
  }
  std::vector<jobs::TaskId> toStop;
  for (const auto& [task, slot] : row->second.worker_->State().runs_) {
    const auto job = jobs_.find(task.job_);
    if (!slot.longRunning_ || slot.state_ != workers::RunState::kRunning || job == jobs_.end()) {
      continue;
    }
    jobs::TaskState* state = jobs::FindTask(job->second, task);
    if (!HasRoomFor(job->second.spec_.steps_.at(static_cast<std::size_t>(task.step_)))) {
      ++unschedulableEvictions_;
    } else if (state != nullptr && MayEvict(job->second, task)) {
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
  ownershipLost_ = true;
  handingOver_ = true;
  placementTimer_.stop();
  periodicTimer_.stop();
  writer_.Abandon();
  for (const auto& [id, row] : workers_) {
    row.worker_->disconnect(this);
  }
}

bool
Cell::IsIdle() const
{
  return writer_.IsIdle();
}

void
Cell::OnPeriodicTimer()
{
  ExpireUnresponsiveWorkers();
  RemoveExpired();
  std::vector<std::string> gone;
  for (auto& [id, row] : workers_) {
    row.failureScore_ *= kSuspicionDecay;
    const bool draining = row.worker_->Registration().draining_;
    if (draining && row.worker_->IsRegistered()) {
      for (const auto& [task, slot] : std::map(row.worker_->State().runs_)) {
        if (slot.longRunning_ && slot.state_ == workers::RunState::kRunning) {
          row.worker_->Stop(task);
        }
      }
    }
    if (!row.worker_->IsRegistered() && row.worker_->IsSynchronized() &&
        row.worker_->State().runs_.empty() && context_.platformState_->HasWorkers()) {
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
  SchedulePlacement();
}

// --- Sharing --------------------------------------------------------------------------------

void
Cell::LimitBestEffort(WorkerEntry& aRow)
{
  const workers::WorkerState& book = aRow.worker_->State();
  if (!workers::HasMixedLoad(book)) {
    aRow.speedPercent_ = sharing::kFullSpeedPercent;
  } else if (Now() - aRow.speedCheckedAt_ >= kPaceInterval) {
    std::vector<sharing::LatencySensitiveTask> serving;
    for (const auto& [task, slot] : book.runs_) {
      if (slot.latencyTargetMs_ > 0) {
        serving.push_back({ slot.latencyTargetMs_, slot.measurement_ });
      }
    }
    aRow.speedCheckedAt_ = Now();
    const int pace = sharing::NextSpeedPercent(aRow.speedPercent_, serving);
    if (pace != aRow.speedPercent_) {
      log::Info("cell",
                "event=pace cell=",
                service_,
                " worker=",
                aRow.worker_->Registration().id_,
                " from=",
                aRow.speedPercent_,
                " to=",
                pace);
    }
    aRow.speedPercent_ = pace;
  }
  std::vector<jobs::TaskId> toPace;
  for (const auto& [task, slot] : book.runs_) {
    if (slot.bestEffort_ && slot.state_ == workers::RunState::kRunning &&
        slot.speedPercent_ != aRow.speedPercent_) {
      toPace.push_back(task);
    }
  }
  for (const jobs::TaskId& task : toPace) {
    aRow.worker_->SetSpeed(task, aRow.speedPercent_);
  }
}

} // namespace quetzal::cells
