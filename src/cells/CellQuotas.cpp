#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/organisations/QuotaGrants.h"
#include "include/quetzal/organisations/Resources.h"

#include <algorithm>

/** The quotas of organisations in one cell: what is reported of their demand, and whether a task
 * may be started under the grants that the cell holds. */

namespace quetzal::cells {
namespace {

using clock::Now;
using workers::Capacity;

/** Interval of the metrics, and of the log of starts that were held back. */
constexpr clock::Milliseconds kQuotaLogInterval{ 1'000 };

bool
IsWaitingTask(const jobs::TaskState& aTask, clock::Moment aNow)
{
  return aTask.phase_ == jobs::TaskPhase::kWaiting && aTask.notBefore_ <= aNow;
}

/** Returns the first step of a job with a task that could be started now, or null. */
const jobs::StepSpec*
NextStep(const jobs::Job& aJob, clock::Moment aNow, std::int64_t aNowMs)
{
  for (const auto& [index, occurrence] : aJob.liveOccurrences_) {
    if (occurrence.dueMs_ > aNowMs) {
      continue;
    }
    for (int s = 0; s < static_cast<int>(occurrence.steps_.size()); ++s) {
      const jobs::StepState& step = occurrence.steps_[static_cast<std::size_t>(s)];
      if (step.IsDone() || !jobs::IsUnblocked(aJob, occurrence, s)) {
        continue;
      }
      if (std::any_of(step.tasks_.begin(), step.tasks_.end(), [aNow](const auto& aTask) {
            return IsWaitingTask(aTask, aNow);
          })) {
        return &aJob.spec_.steps_.at(static_cast<std::size_t>(s));
      }
    }
  }
  return nullptr;
}

/** Returns what the tasks of a step that must start together need of a quota. */
Capacity
NeedOfStart(const jobs::StepSpec& aStep, const Capacity& aQuota)
{
  const Capacity task = organisations::CountedNeed(QuotaNeedOf(aStep), aQuota);
  Capacity need;
  organisations::AddTo(need, task, aStep.gang_ ? aStep.count_ : 1);
  return need;
}

clock::Milliseconds
WaitOf(const jobs::Job& aJob, clock::Moment aNow)
{
  const clock::Moment since = std::max(aJob.arrivedAt_, aJob.lastChangeAt_);
  return std::chrono::duration_cast<clock::Milliseconds>(aNow - since);
}

/** A demand as it is gathered from the waiting jobs. */
struct GatheredDemand
{
  organisations::Demand demand_;
  Capacity quota_;
  bool isNextHeld_ = false; ///< The next task is one that its quota has held back.
};

/** Adds a waiting job. The next task is that of the job that waits longest, of those that quotas
 * have held back if there are any: others wait for something else. */
void
AddWaitingJob(GatheredDemand& aGathered,
              const jobs::Job& aJob,
              const jobs::StepSpec& aStep,
              clock::Moment aNow)
{
  organisations::Demand& demand = aGathered.demand_;
  const Capacity task = organisations::CountedNeed(QuotaNeedOf(aStep), aGathered.quota_);
  organisations::AddTo(demand.wanted_, task, aJob.waitingTasks_);
  const Capacity need = NeedOfStart(aStep, aGathered.quota_);
  const bool isHeld = aJob.waitReason_ == jobs::WaitReason::kQuota;
  const std::int64_t waitedMs = std::max<std::int64_t>(WaitOf(aJob, aNow).count(), 0);
  const bool isFirst = demand.nextNeed_ == Capacity{} || (isHeld && !aGathered.isNextHeld_) ||
                       (isHeld == aGathered.isNextHeld_ && waitedMs > demand.waitingMs_);
  // A gang that exceeds the quota can never start, and must not claim room.
  if (isFirst && organisations::MayStart(aGathered.quota_, {}, need, aGathered.quota_)) {
    demand.nextNeed_ = need;
    demand.waitingMs_ = waitedMs;
    aGathered.isNextHeld_ = isHeld;
  }
}

void
SetGauges(metrics::Registry& aMetrics,
          const std::string& aName,
          const std::string& aService,
          const std::string& aOrganisation,
          const Capacity& aAmount)
{
  const auto set = [&](const char* aResource, std::int64_t aValue) {
    aMetrics.SetGauge(
      aName,
      { { "service", aService }, { "organisation", aOrganisation }, { "resource", aResource } },
      static_cast<double>(aValue));
  };
  set("cpu", aAmount.cpu_);
  set("memory", aAmount.memory_);
  set("accelerators", aAmount.accelerators_);
}

} // namespace

Capacity
QuotaNeedOf(const jobs::StepSpec& aStep)
{
  return { aStep.cpu_, aStep.memory_, aStep.accelerators_ };
}

workers::Run
Cell::MakeCountedRun(const jobs::Job& aJob,
                     const jobs::StepSpec& aStep,
                     std::int64_t aRun,
                     workers::RunState aState)
{
  workers::Run run = placement::MakeRun(aStep, aRun, aState, Now());
  run.organisation_ = aJob.organisation_;
  run.quotaUse_ = QuotaNeedOf(aStep);
  return run;
}

Cell::Quotas
Cell::QuotasInForce() const
{
  Quotas quotas;
  for (const auto& quota :
       organisations::QuotasOf(context_.platformState_->Configuration().organisations_)) {
    quotas[quota.organisation_] = quota.limit_;
  }
  return quotas;
}

bool
Cell::KnowsAllRuns()
{
  knowsAllRuns_ = knowsAllRuns_ || IsSynchronized();
  return knowsAllRuns_;
}

bool
Cell::IsWithinQuota(jobs::Job& aJob, const jobs::StepSpec& aStep, const Round& aRound)
{
  if (aRound.quotas_.empty() || aJob.organisation_.empty()) {
    return true;
  }
  const auto quota = aRound.quotas_.find(aJob.organisation_);
  if (quota == aRound.quotas_.end()) {
    return true;
  }
  const Capacity grant = organisations::GrantFor(grants_, aJob.organisation_, aRound.now_);
  const Capacity use = organisations::UseOf(quotaUse_, aJob.organisation_, knowsAllRuns_);
  if (organisations::MayStart(grant, use, NeedOfStart(aStep, quota->second), quota->second)) {
    return true;
  }
  ++heldStarts_[aJob.organisation_];
  return false;
}

std::vector<organisations::Demand>
Cell::Demands(const Quotas& aQuotas, clock::Moment aNow)
{
  std::map<std::string, GatheredDemand> gathered;
  for (const auto& [organisation, quota] : aQuotas) {
    GatheredDemand& entry = gathered[organisation];
    entry.quota_ = quota;
    entry.demand_.organisation_ = organisation;
    entry.demand_.used_ = organisations::UseOf(quotaUse_, organisation, knowsAllRuns_);
    entry.demand_.held_ = organisations::GrantFor(grants_, organisation, aNow);
  }
  const std::int64_t nowMs = clock::UnixMs();
  for (const auto& [id, job] : jobs_.Waiting()) {
    const auto entry = gathered.find(job->organisation_);
    if (entry == gathered.end() || (job->fromPredecessor_ && !knowsAllRuns_)) {
      continue;
    }
    if (const jobs::StepSpec* step = NextStep(*job, aNow, nowMs)) {
      AddWaitingJob(entry->second, *job, *step, aNow);
    }
  }
  Capacity capacity; // No more than the workers have is of use, however many tasks wait.
  for (const auto& [id, entry] : workers_) {
    organisations::AddTo(capacity, entry.worker_->Registration().capacity_);
  }
  std::vector<organisations::Demand> demands;
  for (auto& [organisation, entry] : gathered) {
    organisations::Demand& demand = entry.demand_;
    organisations::AddTo(demand.wanted_, demand.used_);
    demand.wanted_ =
      organisations::Smaller(demand.wanted_, organisations::Larger(capacity, demand.used_));
    if (demand.wanted_ != Capacity{} || demand.held_ != Capacity{}) {
      demands.push_back(demand);
    }
  }
  return demands;
}

void
Cell::ReportQuotas(CellReport& aReport)
{
  const clock::Moment now = Now();
  aReport.fence_ = fence_;
  aReport.sequence_ = organisations::BeginReport(grants_, now);
  const Quotas quotas = QuotasInForce();
  if (quotas.empty()) {
    aReport.isSynchronized_ = IsSynchronized();
    return;
  }
  aReport.isSynchronized_ = KnowsAllRuns();
  aReport.organisations_ = Demands(quotas, now);
  if (now - quotasLoggedAt_ >= kQuotaLogInterval) {
    quotasLoggedAt_ = now;
    LogQuotas(quotas, now);
  }
}

void
Cell::TakeGrants(std::int64_t aSequence,
                 bool aHasGrants,
                 const std::vector<organisations::Grant>& aGrants)
{
  const Quotas quotas = QuotasInForce();
  if (quotas.empty()) {
    return;
  }
  std::vector<organisations::Grant> grants = aGrants;
  if (!aHasGrants) {
    const std::vector<jobs::Service>& services = context_.platformState_->Configuration().services_;
    const auto cells =
      std::count_if(services.begin(), services.end(), [](const jobs::Service& aService) {
        return !aService.standby_;
      });
    for (const auto& [organisation, quota] : quotas) {
      grants.push_back({ organisation, organisations::EqualPart(quota, cells) });
    }
  }
  if (organisations::TakeGrants(grants_, aSequence, grants)) {
    SchedulePlacement();
  }
}

void
Cell::LogQuotas(const Quotas& aQuotas, clock::Moment aNow)
{
  for (const auto& [organisation, quota] : aQuotas) {
    const Capacity use = organisations::UseOf(quotaUse_, organisation, true);
    const Capacity grant = organisations::GrantFor(grants_, organisation, aNow);
    SetGauges(*context_.metrics_, "quetzal_quota_use", service_, organisation, use);
    SetGauges(*context_.metrics_, "quetzal_quota_grant", service_, organisation, grant);
    SetGauges(*context_.metrics_, "quetzal_quota_limit", service_, organisation, quota);
  }
  std::string worst;
  std::int64_t total = 0;
  for (const auto& [organisation, count] : heldStarts_) {
    context_.metrics_->Add("quetzal_quota_held_total",
                           { { "service", service_ }, { "organisation", organisation } },
                           static_cast<double>(count));
    worst = worst.empty() || count > heldStarts_.at(worst) ? organisation : worst;
    total += count;
  }
  heldStarts_.clear();
  if (worst.empty()) {
    return;
  }
  const Capacity use = organisations::UseOf(quotaUse_, worst, knowsAllRuns_);
  const Capacity grant = organisations::GrantFor(grants_, worst, aNow);
  log::Info("cell",
            "event=quota-held cell=",
            service_,
            " organisation=",
            worst,
            " held=",
            total,
            " use_cpu=",
            use.cpu_,
            " grant_cpu=",
            grant.cpu_,
            " use_memory=",
            use.memory_,
            " grant_memory=",
            grant.memory_);
}

} // namespace quetzal::cells
