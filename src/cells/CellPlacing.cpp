#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/placement/Speculation.h"

#include <algorithm>
#include <array>
#include <tuple>

/** Which of a cell's tasks are started where, and which are started twice. */

namespace quetzal::cells {
namespace {

using clock::Now;

constexpr clock::Milliseconds kPlaceDelay{ 8 };
/** Jobs in a row that could not be placed after which the rest is left for the next time. */
constexpr int kMostFutileJobs = 24;
constexpr double kSuspicious = 0.65;

std::string
RackOf(const std::vector<std::string>& aLabels)
{
  // Labels are the worker's kind and its rack, in this order.
  return aLabels.empty() ? std::string() : aLabels.back();
}

bool
RunsStep(const workers::Book& aBook, bool (*aTest)(const workers::Slot&))
{
  return std::any_of(aBook.slots_.begin(), aBook.slots_.end(), [aTest](const auto& aRow) {
    return aTest(aRow.second);
  });
}

/** Counts the tasks of a step, copies included, on each candidate. Not counted where the step sets
 * no bound on them. */
placement::StepUse
UseOf(const jobs::StepSpec& aSpec,
      const std::vector<jobs::TaskState>& aTasks,
      const std::vector<placement::Candidate>& aCandidates)
{
  placement::StepUse use;
  use.tasksOn_.assign(aCandidates.size(), 0);
  if (aSpec.maxPerWorker_ <= 0) {
    return use;
  }
  for (const jobs::TaskState& task : aTasks) {
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const std::string& worker = aCandidates[i].id_;
      const bool isOn = task.phase_ == jobs::TaskPhase::kPlaced &&
                        (task.worker_ == worker || task.copyWorker_ == worker);
      use.tasksOn_[i] += isOn ? 1 : 0;
    }
  }
  return use;
}

} // namespace

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
    if (job.waitingTasks_ == 0 || !job.stored_ || job.ending_ ||
        (job.fromPredecessor_ && !settled)) {
      continue;
    }
    const auto [queue, added] = queues.try_emplace(job.queue_, nullptr);
    if (added) {
      queue->second = jobs::FindQueueByName(configuration, job.queue_);
    }
    const int priority = queue->second == nullptr ? 0 : queue->second->priority_;
    const auto chain = jobs::RemainingWorkOf(job).criticalPath_ * estimateBias_;
    const bool late = aNow + std::chrono::duration_cast<clock::Moment::duration>(chain) >
                      jobs::ObjectiveOf(job, queue->second);
    rows.emplace_back(Key{ !job.longRunning_, priority, late, !job.started_, job.arrivedAt_ },
                      &job);
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
  for (const auto& [index, occurrence] : aJob.liveOccurrences_) {
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
  auto& tasks =
    aJob.liveOccurrences_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep)).tasks_;
  placement::StepUse use = UseOf(spec, tasks, aCandidates);
  const std::string step = jobs::StepName(aJob.id_, aOccurrence, aStep);
  const bool needsTicket = NeedsTicket(aJob);
  if (needsTicket) {
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
  if (needsTicket && aJob.waitingTasks_ > 0) {
    AskTickets(step); // Workers that have come since may do.
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
  const auto& tasks =
    aJob.liveOccurrences_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep)).tasks_;
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
  if (!aJob.started_) {
    context_.metrics_->Observe(
      "quetzal_job_wait_seconds", { { "service", service_ } }, Now() - aJob.arrivedAt_);
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
  aRow.worker_->Start(order, placement::MakeSlot(spec, aRun, workers::SlotState::kOrdered, Now()));
}

bool
Cell::NeedsTicket(const jobs::Job& aJob) const
{
  const jobs::Queue* queue = jobs::FindQueueByName(context_.feed_->Configuration(), aJob.queue_);
  return queue != nullptr && queue->advice_.has_value();
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
  const std::string step = jobs::StepName(aTask.job_, aTask.occurrence_, aTask.step_);
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

// --- Copies --------------------------------------------------------------------------------

void
Cell::PlaceCopies(std::vector<placement::Candidate>& aCandidates,
                  const std::vector<Row*>& aRows,
                  clock::Moment aNow)
{
  for (auto& [id, job] : jobs_) {
    if (job.placedTasks_ == 0 || !job.stored_ || job.ending_ || job.longRunning_) {
      continue;
    }
    for (const auto& [index, occurrence] : job.liveOccurrences_) {
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
  run.siblingsDone_ = aStep.timedTasks_;
  run.siblingTime_ = aStep.timedTotal_ / std::max(aStep.timedTasks_, 1);
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
  jobs::StepState& step =
    aJob.liveOccurrences_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep));
  const bool needsTicket = NeedsTicket(aJob);
  for (int i = 0; i < static_cast<int>(step.tasks_.size()); ++i) {
    const jobs::TaskState& task = step.tasks_[static_cast<std::size_t>(i)];
    if (!MayCopy(aJob, step, spec, task, aNow)) {
      continue;
    }
    const jobs::TaskId id{ aJob.id_, aOccurrence, aStep, i };
    placement::StepUse use = UseOf(spec, step.tasks_, aCandidates);
    for (const placement::Candidate& candidate : aCandidates) {
      use.barredOn_.push_back(candidate.id_ == task.worker_ ||
                              (needsTicket && TicketFor(id, candidate.id_).empty()));
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
    row.worker_->Start(order, placement::MakeSlot(spec, run, workers::SlotState::kOrdered, Now()));
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

} // namespace quetzal::cells
