#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <algorithm>

/** Waits of tasks and gangs for slots on the rack that they prefer. */

namespace quetzal::cells {
namespace {

/** Tasks that may wait for one rack; the others start elsewhere. It bounds the time of a placement
 * round, which looks for a slot for each of them. */
constexpr int kMaxWaitsForRack = 128;

/** Demand is kept for at most this many racks, since jobs may name racks that do not exist. */
constexpr std::size_t kMaxRacksInDemand = 1'024;

std::vector<bool>
ExcludedWithoutTicket(const PlacementTickets::ByWorker* aTickets,
                      const std::vector<placement::Candidate>& aCandidates)
{
  std::vector<bool> excluded;
  if (aTickets == nullptr) {
    return excluded;
  }
  for (const placement::Candidate& candidate : aCandidates) {
    excluded.push_back(!aTickets->contains(std::string(candidate.id_)));
  }
  return excluded;
}

/** Returns whether a gang's workers are all near its data or, if it prefers one rack, on one. */
bool
IsGangNear(const jobs::StepSpec& aStep,
           const std::vector<std::size_t>& aChosen,
           const std::vector<placement::Candidate>& aCandidates)
{
  const std::string_view rack = aCandidates[aChosen.front()].rack_;
  return std::all_of(aChosen.begin(), aChosen.end(), [&](std::size_t aIndex) {
    const placement::Candidate& candidate = aCandidates[aIndex];
    return aStep.sameRack_ ? candidate.rack_ == rack
                           : placement::IsNearData(aStep, *candidate.labels_);
  });
}

clock::Milliseconds
Scaled(std::int64_t aMilliseconds, double aFactor)
{
  return clock::Milliseconds(
    static_cast<std::int64_t>(static_cast<double>(aMilliseconds) * aFactor));
}

} // namespace

bool
Cell::MayWaitForRack(const jobs::Job& aJob, const jobs::StepSpec& aStep) const
{
  // It is not known how long a task of an earlier owner has waited, and no wait is begun anew.
  const bool prefersRack = !aStep.dataRack_.empty() || (aStep.gang_ && aStep.sameRack_);
  return context_.farFactor_ > 1 && prefersRack && !aStep.longRunning_ && !aJob.fromPredecessor_;
}

double
Cell::FarFactorOn(const jobs::StepSpec& aStep, const std::vector<std::string>& aLabels) const
{
  const bool isNear = aStep.dataRack_.empty() || placement::IsNearData(aStep, aLabels);
  return isNear ? 1 : context_.farFactor_;
}

clock::Milliseconds
Cell::ExpectedTime(const jobs::StepSpec& aStep) const
{
  return Scaled(aStep.estimateMs_, estimateBias_);
}

std::optional<clock::Moment>
Cell::ExpectedEnd(const jobs::TaskId& aTask,
                  const workers::Run& aRun,
                  const std::vector<std::string>& aLabels,
                  clock::Moment aNow)
{
  if (aRun.state_ == workers::RunState::kStopping) {
    return aNow;
  }
  const jobs::Job* job = jobs_.Find(aTask.job_);
  if (job == nullptr || aRun.longRunning_) {
    return std::nullopt;
  }
  const jobs::StepSpec& step = job->spec_.steps_.at(static_cast<std::size_t>(aTask.step_));
  if (step.estimateMs_ <= 0) {
    return std::nullopt;
  }
  return aRun.orderedAt_ + Scaled(step.estimateMs_, estimateBias_ * FarFactorOn(step, aLabels));
}

placement::RackForecast&
Cell::ForecastOf(const std::string& aRack, Round& aRound)
{
  const auto [entry, added] = aRound.forecasts_.try_emplace(aRack);
  placement::RackForecast& forecast = entry->second;
  if (!added) {
    for (placement::WorkerForecast& worker : forecast.workers_) {
      worker.free_ = aRound.candidates_[worker.candidate_].free_;
    }
    return forecast;
  }
  for (std::size_t i = 0; i < aRound.candidates_.size(); ++i) {
    const placement::Candidate& candidate = aRound.candidates_[i];
    const bool isOfRack = std::find(candidate.labels_->begin(), candidate.labels_->end(), aRack) !=
                          candidate.labels_->end();
    if (!isOfRack || candidate.failureScore_ > 0) {
      continue;
    }
    placement::WorkerForecast worker;
    worker.candidate_ = i;
    worker.labels_ = candidate.labels_;
    worker.free_ = candidate.free_;
    for (const auto& [task, run] : aRound.entries_[i]->worker_->State().runs_) {
      if (const auto end = ExpectedEnd(task, run, *candidate.labels_, aRound.now_)) {
        worker.changes_.push_back({ *end, run.need_ });
      }
    }
    std::sort(worker.changes_.begin(),
              worker.changes_.end(),
              [](const placement::CapacityChange& aLeft, const placement::CapacityChange& aRight) {
                return aLeft.at_ < aRight.at_;
              });
    placement::AddWorker(
      forecast, std::move(worker), aRound.entries_[i]->worker_->Registration().capacity_);
  }
  return forecast;
}

double
Cell::DemandOf(const std::string& aRack,
               const placement::RackForecast& aForecast,
               clock::Moment aNow) const
{
  const auto demand = nearDemand_.find(aRack);
  if (demand == nearDemand_.end() || aForecast.capacity_.cpu_ <= 0) {
    return 0;
  }
  return placement::WantedMillicores(demand->second, aNow) /
         static_cast<double>(aForecast.capacity_.cpu_);
}

placement::NearWait
Cell::NearWaitOf(const jobs::Job& aJob,
                 const jobs::StepSpec& aStep,
                 const jobs::TaskState& aTask) const
{
  placement::NearWait wait;
  wait.farFactor_ = context_.farFactor_;
  wait.expected_ = ExpectedTime(aStep);
  wait.since_ = aTask.nearWaitSince_;
  wait.longRunning_ = aStep.longRunning_;
  const jobs::QueueTerms& terms =
    jobs::TermsInForce(aJob, context_.platformState_->Configuration());
  const clock::Milliseconds path = Scaled(aJob.remainingPath_.count(), estimateBias_);
  const clock::Milliseconds later = std::max(path - wait.expected_, clock::Milliseconds(0));
  wait.endLimit_ = jobs::ObjectiveOf(aJob, terms) - later;
  return wait;
}

bool
Cell::WaitsForRack(jobs::Job& aJob,
                   const jobs::StepSpec& aStep,
                   jobs::TaskState& aTask,
                   const placement::StepUse& aUse,
                   Round& aRound)
{
  placement::RackForecast& forecast = ForecastOf(aStep.dataRack_, aRound);
  if (forecast.reservations_ >= kMaxWaitsForRack) {
    return false;
  }
  const auto slot = placement::FindSlot(forecast, aStep, aUse, aRound.now_);
  if (!slot) {
    return false;
  }
  placement::NearWait wait = NearWaitOf(aJob, aStep, aTask);
  wait.slotAt_ = slot->at_;
  wait.slots_ = placement::SlotsOf(forecast, aStep);
  wait.demand_ = DemandOf(aStep.dataRack_, forecast, aRound.now_);
  const auto until = placement::NearWaitEnd(wait, aRound.now_);
  if (!until) {
    return false;
  }
  placement::ReserveSlot(forecast, *slot, aStep, wait.expected_);
  NoteNearWait(aJob, aStep, aTask, *until, aRound.now_);
  return true;
}

bool
Cell::StillWaitsForRack(jobs::Job& aJob,
                        const jobs::StepSpec& aStep,
                        jobs::TaskState& aTask,
                        const placement::StepUse& aUse,
                        Round& aRound)
{
  const bool mayWait =
    aTask.nearWaitSince_ && aRound.now_ < *aTask.nearWaitSince_ + placement::kMaxNearWait;
  return mayWait && !placement::HasRoom(ForecastOf(aStep.dataRack_, aRound), aStep, aUse) &&
         WaitsForRack(aJob, aStep, aTask, aUse, aRound);
}

std::optional<clock::Moment>
Cell::GangSlot(const jobs::StepSpec& aStep, const placement::StepUse& aUse, Round& aRound)
{
  std::set<std::string> racks;
  if (aStep.sameRack_) {
    for (const placement::Candidate& candidate : aRound.candidates_) {
      racks.emplace(candidate.rack_);
    }
  } else {
    racks.insert(aStep.dataRack_);
  }
  std::optional<clock::Moment> first;
  for (const std::string& rack : racks) {
    placement::RackForecast forecast = ForecastOf(rack, aRound);
    const auto slot =
      placement::ReserveGang(forecast, aStep, aUse, aRound.now_, ExpectedTime(aStep));
    if (slot && (!first || *slot < *first)) {
      first = slot;
    }
  }
  return first;
}

bool
Cell::GangWaitsForRack(jobs::Job& aJob,
                       const jobs::StepSpec& aStep,
                       jobs::TaskState& aFirst,
                       const std::vector<std::size_t>& aChosen,
                       const PlacementTickets::ByWorker* aTickets,
                       Round& aRound)
{
  const bool isNear = IsGangNear(aStep, aChosen, aRound.candidates_);
  placement::NearWait wait = NearWaitOf(aJob, aStep, aFirst);
  const bool isOver = wait.since_ && *wait.since_ + placement::kMaxNearWait <= aRound.now_;
  if (!isNear && !isOver && wait.expected_ > clock::Milliseconds(0)) {
    placement::StepUse use;
    use.taskCounts_.assign(aRound.candidates_.size(), 0);
    use.excluded_ = ExcludedWithoutTicket(aTickets, aRound.candidates_);
    // A gang that waits already goes on until its limit: the forecast of all racks is made once.
    wait.slotAt_ = wait.since_ ? aRound.now_ : GangSlot(aStep, use, aRound);
    if (const auto until = placement::NearWaitEnd(wait, aRound.now_)) {
      NoteNearWait(aJob, aStep, aFirst, *until, aRound.now_);
      return true;
    }
  }
  CountNearStart(aStep, aFirst, isNear, aRound.now_);
  return false;
}

void
Cell::NoteNearWait(jobs::Job& aJob,
                   const jobs::StepSpec& aStep,
                   jobs::TaskState& aTask,
                   clock::Moment aUntil,
                   clock::Moment aNow)
{
  aJob.waitReason_ = jobs::WaitReason::kNearSlot;
  const auto left = std::chrono::ceil<clock::Milliseconds>(aUntil - aNow);
  if (!nearWaitTimer_.isActive() || left < nearWaitTimer_.remainingTimeAsDuration()) {
    nearWaitTimer_.start(left);
  }
  if (aTask.nearWaitSince_) {
    return;
  }
  aTask.nearWaitSince_ = aNow;
  log::Detail("cell",
              "event=near-wait cell=",
              service_,
              " job=",
              aJob.id_,
              " rack=",
              aStep.dataRack_.empty() ? "any" : aStep.dataRack_,
              " limit_ms=",
              left.count());
}

void
Cell::CountNearStart(const jobs::StepSpec& aStep,
                     const jobs::TaskState& aTask,
                     bool aIsNear,
                     clock::Moment aNow)
{
  // Callers may name racks that do not exist; those of the first jobs are kept.
  const bool mayCount =
    nearDemand_.contains(aStep.dataRack_) || nearDemand_.size() < kMaxRacksInDemand;
  if (!aStep.gang_ && mayCount) {
    placement::AddDemand(nearDemand_[aStep.dataRack_], aStep, ExpectedTime(aStep), aNow);
  }
  const bool hasWaited = aTask.nearWaitSince_.has_value();
  if (!aIsNear) {
    context_.metrics_->Add("quetzal_far_starts_total", { { "service", service_ } });
  }
  if (!hasWaited && aIsNear) {
    return;
  }
  const std::string result = !hasWaited ? "none" : aIsNear ? "near" : "far";
  context_.metrics_->Add("quetzal_near_waits_total",
                         { { "service", service_ }, { "result", result } });
}

} // namespace quetzal::cells
