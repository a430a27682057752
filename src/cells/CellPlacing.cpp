#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/placement/Speculation.h"
#include "include/quetzal/workers/Evidence.h"

#include <algorithm>
#include <array>

/** Placement of a cell's tasks and of speculative copies. */

namespace quetzal::cells {
namespace {

using clock::Now;

constexpr clock::Milliseconds kPlacementDelay{ 8 };
/** A placement round ends after this many searches of all workers that found none. The next one
 * goes on with the jobs that have not been tried. */
constexpr int kMaxFailedSearches = 24;
/** No copies are started after more than this many jobs in a row that could not be placed. */
constexpr int kMaxUnplacedJobs = 24;
/** Starts of one placement round, after which the event loop serves callers and polls. */
constexpr int kMaxStartsPerRound = 128;
constexpr double kHighFailureScore = 0.65;

std::string_view
RackOf(const std::vector<std::string>& aLabels)
{
  // A worker's labels are its kind and its rack, in this order.
  return aLabels.empty() ? std::string_view() : std::string_view(aLabels.back());
}

/** Adds a task to a candidate's count. @param aCandidates in the order of their ids. */
void
CountTask(const std::string& aWorker,
          const std::vector<placement::Candidate>& aCandidates,
          placement::StepUse& aUse)
{
  const auto found = std::lower_bound(aCandidates.begin(),
                                      aCandidates.end(),
                                      aWorker,
                                      [](const placement::Candidate& aCandidate,
                                         const std::string& aId) { return aCandidate.id_ < aId; });
  if (found != aCandidates.end() && found->id_ == aWorker) {
    ++aUse.taskCounts_[static_cast<std::size_t>(found - aCandidates.begin())];
  }
}

/** Counts the tasks of a step, including copies, on each candidate. All counts are 0 if the step
 * sets no limit for a worker. @param aCandidates in the order of their ids. */
placement::StepUse
UseOf(const jobs::StepSpec& aSpec,
      const std::vector<jobs::TaskState>& aTasks,
      const std::vector<placement::Candidate>& aCandidates)
{
  placement::StepUse use;
  use.taskCounts_.assign(aCandidates.size(), 0);
  if (aSpec.maxPerWorker_ <= 0) {
    return use;
  }
  for (const jobs::TaskState& task : aTasks) {
    if (task.phase_ == jobs::TaskPhase::kPlaced) {
      CountTask(task.worker_, aCandidates, use);
      CountTask(task.copyWorker_, aCandidates, use);
    }
  }
  return use;
}

/** Returns which candidates a step cannot use, as they have no ticket for it. */
std::vector<bool>
WithoutTicket(const PlacementTickets::ByWorker& aTickets,
              const std::vector<placement::Candidate>& aCandidates)
{
  std::vector<bool> excluded;
  excluded.reserve(aCandidates.size());
  for (const placement::Candidate& candidate : aCandidates) {
    excluded.push_back(!aTickets.contains(std::string(candidate.id_)));
  }
  return excluded;
}

/** Returns a candidate with a ticket for every task of a gang, as placement::ChooseGang does. */
std::vector<std::size_t>
ChooseGangWithTickets(const jobs::StepSpec& aSpec,
                      const std::vector<placement::Candidate>& aCandidates,
                      const PlacementTickets::ByWorker& aTickets)
{
  const std::vector<bool> excluded = WithoutTicket(aTickets, aCandidates);
  std::vector<placement::Candidate> permitted;
  std::vector<std::size_t> indexes; // Of each permitted candidate, among all.
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!excluded[i]) {
      permitted.push_back(aCandidates[i]);
      indexes.push_back(i);
    }
  }
  std::vector<std::size_t> chosen = placement::ChooseGang(aSpec, permitted);
  for (std::size_t& index : chosen) {
    index = indexes[index];
  }
  return chosen;
}

} // namespace

void
Cell::SchedulePlacement()
{
  if (!placementTimer_.isActive() && !handingOver_) {
    placementTimer_.start(kPlacementDelay);
  }
}

std::vector<Cell::WaitingJob>
Cell::WaitingJobs(clock::Moment aNow)
{
  std::vector<WaitingJob> waiting;
  waiting.reserve(jobs_.Waiting().size());
  const jobs::Configuration& configuration = context_.platformState_->Configuration();
  std::map<std::string, const jobs::Queue*> queues;
  const bool isSynchronized = IsSynchronized();
  const double pathFactor = std::max(estimateBias_, pathFactor_);
  for (const auto& [id, job] : jobs_.Waiting()) {
    if (job->fromPredecessor_ && !isSynchronized) {
      job->waitReason_ = jobs::WaitReason::kPredecessor;
      continue;
    }
    if (pass_.triedJobs_.contains(id)) {
      continue;
    }
    job->waitReason_ = jobs::WaitReason::kNotTried;
    const auto [queue, added] = queues.try_emplace(job->queue_, nullptr);
    if (added) {
      queue->second = jobs::FindQueueByName(configuration, job->queue_);
    }
    const jobs::QueueTerms& terms = queue->second == nullptr ? job->terms_ : queue->second->terms_;
    waiting.push_back({ placement::RankOf(*job, terms, pathFactor, aNow), job });
  }
  return waiting;
}

std::vector<placement::Candidate>
Cell::Candidates(std::vector<WorkerEntry*>& aEntries) const
{
  std::vector<placement::Candidate> candidates;
  for (const auto& [id, entry] : workers_) {
    if (!entry.worker_->IsSchedulable()) {
      continue;
    }
    const workers::WorkerState& state = entry.worker_->State();
    const workers::Registration& registration = entry.worker_->Registration();
    placement::Candidate candidate;
    candidate.id_ = id;
    candidate.labels_ = &registration.labels_;
    candidate.rack_ = RackOf(registration.labels_);
    candidate.free_ = workers::FreeCapacity(state, registration.capacity_);
    candidate.hasLongRunning_ = workers::HasLongRunning(state);
    candidate.hasLatencySensitive_ = state.counts_.latencySensitive_ > 0;
    candidate.hasBestEffort_ = state.counts_.bestEffort_ > 0;
    candidate.failureScore_ = entry.failureScore_ > kHighFailureScore ? 1 : 0;
    candidates.push_back(candidate);
    aEntries.push_back(const_cast<WorkerEntry*>(&entry));
  }
  return candidates;
}

organisations::FairShares
Cell::FairShares(const Round& aRound) const
{
  const auto& organisations = context_.platformState_->Configuration().organisations_;
  workers::Capacity pool;
  for (const WorkerEntry* entry : aRound.entries_) {
    const workers::Capacity& capacity = entry->worker_->Registration().capacity_;
    pool.cpu_ += capacity.cpu_;
    pool.memory_ += capacity.memory_;
    pool.accelerators_ += capacity.accelerators_;
  }
  return organisations::MakeFairShares(organisations, pool);
}

int
Cell::StepsAboveShare(const jobs::Job& aJob, const Round& aRound) const
{
  if (aJob.organisation_.empty() || aRound.shares_.fractions_.empty()) {
    return 0;
  }
  return organisations::StepsAboveShare(
    aRound.shares_, aJob.organisation_, jobs::UsedBy(jobs_.Loads(), aJob.organisation_));
}

std::set<jobs::TaskId>
Cell::BlockedTasks() const
{
  std::set<jobs::TaskId> tasks;
  for (const auto& [id, entry] : workers_) {
    for (const auto& [key, orphan] : entry.worker_->State().orphans_) {
      tasks.insert(key.task_);
    }
    for (const auto& [key, sentAt] : entry.worker_->State().openOrders_) {
      tasks.insert(key.task_);
    }
  }
  return tasks;
}

bool
Cell::MayStart(const jobs::TaskState& aState, const jobs::TaskId& aTask, const Round& aRound)
{
  return aState.phase_ == jobs::TaskPhase::kWaiting && aState.notBefore_ <= aRound.now_ &&
         !aRound.blocked_.contains(aTask);
}

void
Cell::PlaceTasks()
{
  if (handingOver_ || ownershipLost_ || context_.sinceLeaseLapse_() >= kLeaseLapseGrace) {
    return;
  }
  const clock::Moment now = Now();
  startsLeft_ = std::min(kMaxStartsPerRound, FreeStarts(startWindow_, now));
  waitsForAnswers_ = false;
  if (startsLeft_ == 0) {
    EndRound();
    return;
  }
  Round round;
  round.now_ = now;
  round.blocked_ = BlockedTasks();
  round.quotas_ = QuotasInForce();
  if (!round.quotas_.empty()) {
    KnowsAllRuns();
  }
  round.candidates_ = Candidates(round.entries_);
  if (round.candidates_.empty()) {
    return;
  }
  // A heap, as a round under load may end before it has seen all jobs.
  const auto comesLater = [](const WaitingJob& aLeft, const WaitingJob& aRight) {
    return aLeft.rank_ > aRight.rank_;
  };
  std::vector<WaitingJob> waiting = WaitingJobs(now);
  round.shares_ = FairShares(round);
  for (WaitingJob& job : waiting) {
    job.rank_.share_ = StepsAboveShare(*job.job_, round);
  }
  std::make_heap(waiting.begin(), waiting.end(), comesLater);
  while (!waiting.empty()) {
    std::pop_heap(waiting.begin(), waiting.end(), comesLater);
    jobs::Job& job = *waiting.back().job_;
    if (const int share = StepsAboveShare(job, round); share > waiting.back().rank_.share_) {
      // Its organisation has started tasks in this round.
      waiting.back().rank_.share_ = share;
      std::push_heap(waiting.begin(), waiting.end(), comesLater);
      continue;
    }
    waiting.pop_back();
    if (PlaceJob(job, round)) {
      round.unplacedJobs_ = 0;
      jobs_.Update(job);
    } else if (job.waitReason_ != jobs::WaitReason::kQuota) {
      ++round.unplacedJobs_;
    }
    if (startsLeft_ <= 0) {
      EndRound();
      return;
    }
    if (round.failedSearches_ >= kMaxFailedSearches) {
      SchedulePlacement();
      return;
    }
  }
  pass_ = {};
  if (round.unplacedJobs_ <= kMaxUnplacedJobs) {
    PlaceCopies(round);
  }
}

void
Cell::EndRound()
{
  if (FreeStarts(startWindow_, Now()) > 0) {
    SchedulePlacement();
    return;
  }
  waitsForAnswers_ = true;
  placementTimer_.start(kMaxCountedStartAge);
}

void
Cell::OnStartAnswered(std::int64_t aRun)
{
  RemoveStart(startWindow_, aRun);
  if (waitsForAnswers_ && !handingOver_) {
    waitsForAnswers_ = false;
    placementTimer_.start(kPlacementDelay);
  }
}

bool
Cell::PlaceJob(jobs::Job& aJob, Round& aRound)
{
  bool any = false;
  aJob.waitReason_ = jobs::WaitReason::kNotDue;
  const std::int64_t nowMs = clock::UnixMs();
  for (const auto& [index, occurrence] : aJob.liveOccurrences_) {
    if (occurrence.dueMs_ > nowMs) {
      continue;
    }
    for (int s = 0; s < static_cast<int>(occurrence.steps_.size()); ++s) {
      if (occurrence.steps_[static_cast<std::size_t>(s)].IsDone() ||
          !jobs::IsUnblocked(aJob, occurrence, s)) {
        continue;
      }
      any = PlaceStep(aJob, index, s, aRound) > 0 || any;
    }
  }
  return any;
}

void
Cell::NoteFailedSearch(jobs::Job& aJob, const jobs::StepSpec& aStep, bool aIsGeneral, Round& aRound)
{
  aJob.waitReason_ = jobs::WaitReason::kNoRoom;
  ++aRound.failedSearches_;
  pass_.triedJobs_.insert(aJob.id_);
  if (aIsGeneral) {
    placement::AddUnfit(pass_.unfit_, aStep);
  }
}

int
Cell::PlaceStep(jobs::Job& aJob, int aOccurrence, int aStep, Round& aRound)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aStep));
  if (placement::IsUnfit(pass_.unfit_, spec)) {
    aJob.waitReason_ = jobs::WaitReason::kNoRoom;
    return 0;
  }
  if (!IsWithinQuota(aJob, spec, aRound)) {
    aJob.waitReason_ = jobs::WaitReason::kQuota;
    return 0;
  }
  const std::string step = jobs::StepName(aJob.id_, aOccurrence, aStep);
  const bool needsTicket = NeedsTicket(aJob);
  const PlacementTickets::ByWorker* tickets =
    needsTicket ? tickets_.Find(step, aRound.now_) : nullptr;
  if (needsTicket && tickets == nullptr) {
    aJob.waitReason_ = jobs::WaitReason::kNoTicket;
    RequestTickets(step);
    return 0;
  }
  if (spec.gang_) {
    const bool isPlaced = PlaceGang(aJob, aOccurrence, aStep, aRound);
    if (needsTicket && !isPlaced) {
      RequestTickets(step); // For workers that have registered since the last request.
    }
    return isPlaced ? 1 : 0;
  }
  auto& tasks =
    aJob.liveOccurrences_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep)).tasks_;
  placement::StepUse use = UseOf(spec, tasks, aRound.candidates_);
  if (tickets != nullptr) {
    use.excluded_ = WithoutTicket(*tickets, aRound.candidates_);
  }
  const bool mayWaitForRack = MayWaitForRack(aJob, spec);
  int placed = 0;
  std::optional<std::size_t> chosen;
  jobs::TaskId id{ aJob.id_, aOccurrence, aStep, 0 };
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    id.index_ = i;
    if (!MayStart(tasks[static_cast<std::size_t>(i)], id, aRound)) {
      continue;
    }
    if (startsLeft_ <= 0) {
      break;
    }
    if (!IsWithinQuota(aJob, spec, aRound)) {
      aJob.waitReason_ = jobs::WaitReason::kQuota;
      break;
    }
    jobs::TaskState& task = tasks[static_cast<std::size_t>(i)];
    if (mayWaitForRack && StillWaitsForRack(aJob, spec, task, use, aRound)) {
      continue;
    }
    chosen = placement::ChooseNextWorker(spec, aRound.candidates_, use, chosen);
    if (!chosen) {
      NoteFailedSearch(aJob, spec, !needsTicket && spec.maxPerWorker_ <= 0, aRound);
      break;
    }
    if (mayWaitForRack) {
      const bool isNear = placement::IsNearData(spec, *aRound.candidates_[*chosen].labels_);
      if (!isNear && WaitsForRack(aJob, spec, task, use, aRound)) {
        continue;
      }
      CountNearStart(spec, task, isNear, aRound.now_);
    }
    placement::Reserve(aRound.candidates_[*chosen], spec);
    ++use.taskCounts_[*chosen];
    StartTask(aJob, id, nextRun_++, *aRound.entries_[*chosen]);
    ++placed;
  }
  if (needsTicket && aJob.waitingTasks_ > 0) {
    RequestTickets(step); // For workers that have registered since the last request.
  }
  return placed;
}

bool
Cell::PlaceGang(jobs::Job& aJob, int aOccurrence, int aStep, Round& aRound)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aStep));
  auto& tasks =
    aJob.liveOccurrences_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep)).tasks_;
  jobs::TaskId member{ aJob.id_, aOccurrence, aStep, -1 };
  const bool ready =
    std::all_of(tasks.begin(), tasks.end(), [&member, &aRound](const jobs::TaskState& aTask) {
      ++member.index_;
      return MayStart(aTask, member, aRound);
    });
  if (!ready || startsLeft_ <= 0) {
    return false;
  }
  const PlacementTickets::ByWorker* tickets =
    NeedsTicket(aJob) ? tickets_.Find(jobs::StepName(aJob.id_, aOccurrence, aStep), aRound.now_)
                      : nullptr;
  const std::vector<std::size_t> chosen =
    tickets == nullptr ? placement::ChooseGang(spec, aRound.candidates_)
                       : ChooseGangWithTickets(spec, aRound.candidates_, *tickets);
  if (chosen.empty()) {
    NoteFailedSearch(aJob, spec, false, aRound);
    return false;
  }
  if (MayWaitForRack(aJob, spec) &&
      GangWaitsForRack(aJob, spec, tasks.front(), chosen, tickets, aRound)) {
    return false;
  }
  const std::int64_t run = nextRun_++;
  for (int i = 0; i < spec.count_; ++i) {
    const std::size_t candidate = chosen[static_cast<std::size_t>(i)];
    placement::Reserve(aRound.candidates_[candidate], spec);
    StartTask(aJob, { aJob.id_, aOccurrence, aStep, i }, run, *aRound.entries_[candidate]);
  }
  return true;
}

void
Cell::StartTask(jobs::Job& aJob, const jobs::TaskId& aTask, std::int64_t aRun, WorkerEntry& aEntry)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aTask.step_));
  const std::string worker = aEntry.worker_->Registration().id_;
  const workers::StartOrder order = OrderFor(aJob, aTask, aRun, worker);
  if (!aJob.started_) {
    context_.metrics_->Observe(
      "quetzal_job_wait_seconds", { { "service", service_ } }, Now() - aJob.arrivedAt_);
  }
  jobs::Place(aJob, aTask, worker, aRun, Now());
  log::Detail(
    "cell",
    "event=task-start cell=",
    service_,
    " task=",
    jobs::ToString(aTask),
    " run=",
    aRun,
    " worker=",
    worker,
    workers::KnownIncarnationOf(aEntry.worker_->State(), Now()),
    " free_cpu=",
    workers::FreeCapacity(aEntry.worker_->State(), aEntry.worker_->Registration().capacity_).cpu_);
  context_.metrics_->Add("quetzal_starts_total", { { "service", service_ } });
  AddStart(startWindow_, aRun, Now());
  --startsLeft_;
  aEntry.worker_->Start(order, MakeCountedRun(aJob, spec, aRun, workers::RunState::kOrdered));
}

bool
Cell::MayRepeatStart(const std::string& aWorker, const workers::RunKey& aRun)
{
  jobs::Job* const job = jobs_.Find(aRun.task_.job_);
  const jobs::TaskState* const task = job == nullptr ? nullptr : jobs::FindTask(*job, aRun.task_);
  const auto entry = workers_.find(aWorker);
  if (task == nullptr || job->ending_ || entry == workers_.end()) {
    return false;
  }
  const auto step = static_cast<std::size_t>(aRun.task_.step_);
  const jobs::StepSpec& spec = job->spec_.steps_.at(step);
  // The next incarnation of a worker may be of another kind.
  const std::vector<std::string>& labels = entry->second.worker_->Registration().labels_;
  if (!spec.requiredLabel_.empty() &&
      std::find(labels.begin(), labels.end(), spec.requiredLabel_) == labels.end()) {
    return false;
  }
  const auto isPlaced = [&aRun](const jobs::TaskState& aTask) {
    return aTask.phase_ == jobs::TaskPhase::kPlaced &&
           (aTask.run_ == aRun.number_ || aTask.copyRun_ == aRun.number_);
  };
  if (!spec.gang_) {
    return isPlaced(*task);
  }
  // A member alone would wait for the others until it is given up.
  const auto& tasks = job->liveOccurrences_.at(aRun.task_.occurrence_).steps_.at(step).tasks_;
  return std::all_of(tasks.begin(), tasks.end(), isPlaced);
}

bool
Cell::NeedsTicket(const jobs::Job& aJob) const
{
  return jobs::TermsInForce(aJob, context_.platformState_->Configuration()).advice_.has_value();
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
  order.ticket_ = NeedsTicket(aJob) ? TicketFor(aTask, aWorker) : std::string();
  return order;
}

std::string
Cell::TicketFor(const jobs::TaskId& aTask, const std::string& aWorker) const
{
  const std::string step = jobs::StepName(aTask.job_, aTask.occurrence_, aTask.step_);
  const PlacementTickets::ByWorker* tickets = tickets_.Find(step, Now());
  if (tickets == nullptr) {
    return {};
  }
  const auto ticket = tickets->find(aWorker);
  return ticket == tickets->end() ? std::string() : ticket->second;
}

void
Cell::RequestTickets(const std::string& aStep)
{
  std::vector<std::string> ids;
  for (const auto& [id, entry] : workers_) {
    if (entry.worker_->IsSchedulable()) {
      ids.push_back(id);
    }
  }
  tickets_.Request(aStep, ids, Now());
}

// --- Copies --------------------------------------------------------------------------------

void
Cell::PlaceCopies(Round& aRound)
{
  for (const auto& [id, job] : jobs_.Speculative()) {
    if (job->placedTasks_ == 0 || !job->stored_ || job->ending_) {
      continue;
    }
    for (const auto& [index, occurrence] : job->liveOccurrences_) {
      for (int s = 0; s < static_cast<int>(occurrence.steps_.size()); ++s) {
        const jobs::StepSpec& spec = job->spec_.steps_.at(static_cast<std::size_t>(s));
        if (spec.speculative_ && !spec.gang_) {
          CopyStragglers(*job, index, s, aRound);
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
  const int maxAttempts = aJob.terms_.maxAttempts_;
  if (maxAttempts > 0 && static_cast<int>(aTask.failedRuns_.size()) + 1 >= maxAttempts) {
    return false; // Both runs could fail, which would exceed the limit on attempts.
  }
  placement::RunTiming run;
  run.age_ = std::chrono::duration_cast<clock::Milliseconds>(aNow - aTask.placedAt_);
  run.estimate_ = clock::Milliseconds(
    static_cast<std::int64_t>(static_cast<double>(aSpec.estimateMs_) * estimateBias_));
  run.siblings_ = static_cast<int>(aStep.tasks_.size());
  run.siblingsDone_ = aStep.timedTasks_;
  run.meanSiblingTime_ = aStep.timedTotal_ / std::max(aStep.timedTasks_, 1);
  return placement::IsStraggler(run);
}

void
Cell::CopyStragglers(jobs::Job& aJob, int aOccurrence, int aStep, Round& aRound)
{
  const jobs::StepSpec& spec = aJob.spec_.steps_.at(static_cast<std::size_t>(aStep));
  jobs::StepState& step =
    aJob.liveOccurrences_.at(aOccurrence).steps_.at(static_cast<std::size_t>(aStep));
  const bool needsTicket = NeedsTicket(aJob);
  for (int i = 0; i < static_cast<int>(step.tasks_.size()); ++i) {
    const jobs::TaskState& task = step.tasks_[static_cast<std::size_t>(i)];
    if (!MayCopy(aJob, step, spec, task, aRound.now_)) {
      continue;
    }
    const jobs::TaskId id{ aJob.id_, aOccurrence, aStep, i };
    if (aRound.blocked_.contains(id)) {
      continue;
    }
    if (!IsWithinQuota(aJob, spec, aRound)) {
      return;
    }
    placement::StepUse use = UseOf(spec, step.tasks_, aRound.candidates_);
    for (const placement::Candidate& candidate : aRound.candidates_) {
      use.excluded_.push_back(candidate.id_ == task.worker_ ||
                              (needsTicket && TicketFor(id, std::string(candidate.id_)).empty()));
    }
    const auto chosen = placement::ChooseWorker(spec, aRound.candidates_, use);
    if (!chosen) {
      return;
    }
    placement::Reserve(aRound.candidates_[*chosen], spec);
    WorkerEntry& entry = *aRound.entries_[*chosen];
    const std::string worker = entry.worker_->Registration().id_;
    const std::int64_t run = nextRun_++;
    log::Detail("cell",
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
    jobs::PlaceCopy(aJob, id, worker, run, aRound.now_);
    AddStart(startWindow_, run, aRound.now_);
    entry.worker_->Start(order, MakeCountedRun(aJob, spec, run, workers::RunState::kOrdered));
  }
}

void
Cell::StopOtherRuns(const jobs::TaskId& aTask, std::int64_t aRun, const jobs::TaskState& aState)
{
  const std::array<std::pair<std::int64_t, std::string>, 2> runs{
    { { aState.run_, aState.worker_ }, { aState.copyRun_, aState.copyWorker_ } }
  };
  for (const auto& [run, worker] : runs) {
    const auto entry = workers_.find(worker);
    if (run != 0 && run != aRun && entry != workers_.end()) {
      entry->second.worker_->Stop(aTask);
    }
  }
}

} // namespace quetzal::cells
