#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/sharing/Pace.h"

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
  const jobs::Configuration& configuration = context_.feed_->Configuration();
  clock::Milliseconds longest{ 0 };
  for (const auto& [id, job] : jobs_) {
    if (!job.stored_ || job.ending_ || jobs::IsFinal(job.state_)) {
      continue;
    }
    const jobs::RemainingWork rest = jobs::RemainingWorkOf(job);
    if (job.longRunning_) {
      report.lastingCores_ += rest.maxCores_;
      for (const jobs::StepSpec& step : job.spec_.steps_) {
        report.lastingMemory_ += static_cast<double>(step.memory_) * step.count_;
      }
      continue;
    }
    longest = std::max(longest, job.criticalPath_);
    const jobs::Queue* queue = jobs::FindQueueByName(configuration, job.queue_);
    report.urgentCores_ += fleet::UrgentCores(
      { rest.coreSeconds_ * estimateBias_, rest.maxCores_, jobs::ObjectiveOf(job, queue) }, now);
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
    if (job.longRunning_ && job.stored_ && now - job.arrivedAt_ > kStuckTime) {
      stuck += job.waitingTasks_;
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
  if (aState.phase_ != jobs::TaskPhase::kPlaced || aState.evicting_) {
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
  const auto& tasks = aJob.liveOccurrences_.at(aTask.occurrence_).steps_.at(step).tasks_;
  int away = 0;
  jobs::TaskId other = aTask;
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    other.index_ = i;
    away += i != aTask.index_ && !IsAtWork(tasks[static_cast<std::size_t>(i)], other) ? 1 : 0;
  }
  return away < std::max(aJob.spec_.steps_.at(step).maxUnavailable_, 1);
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

// --- Sharing --------------------------------------------------------------------------------

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

} // namespace quetzal::cells
