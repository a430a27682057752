#include "include/quetzal/jobs/OrganisationLoads.h"

#include <algorithm>

namespace quetzal::jobs {
namespace {

/** Work of a job whose steps have no estimates, so that it counts at all. */
constexpr double kMinCoreSeconds = 0.01;

void
AddCapacity(workers::Capacity& aSum, const workers::Capacity& aNeed, std::int64_t aTimes)
{
  aSum.cpu_ += aNeed.cpu_ * aTimes;
  aSum.memory_ += aNeed.memory_ * aTimes;
  aSum.accelerators_ += aNeed.accelerators_ * aTimes;
}

std::int64_t
CountRuns(const StepState& aStep)
{
  std::int64_t runs = 0;
  for (const TaskState& task : aStep.tasks_) {
    if (task.phase_ == TaskPhase::kPlaced) {
      runs += task.copyRun_ != 0 ? 2 : 1;
    }
  }
  return runs;
}

workers::Capacity
UseOf(const Job& aJob)
{
  workers::Capacity used;
  if (aJob.placedTasks_ <= 0) {
    return used;
  }
  for (const auto& [index, occurrence] : aJob.liveOccurrences_) {
    for (std::size_t s = 0; s < occurrence.steps_.size(); ++s) {
      const StepSpec& spec = aJob.spec_.steps_.at(s);
      // As placement::NeedOf: best-effort tasks use no processor time of their own.
      const workers::Capacity need{ spec.bestEffort_ ? 0 : spec.cpu_,
                                    spec.memory_,
                                    spec.accelerators_ };
      AddCapacity(used, need, CountRuns(occurrence.steps_[s]));
    }
  }
  return used;
}

JobLoad
LoadOf(const Job& aJob)
{
  JobLoad load;
  load.origin_ = { aJob.queue_, aJob.organisation_ };
  load.used_ = UseOf(aJob);
  load.isWaiting_ = aJob.stored_ && !aJob.started_ && !aJob.ending_ && !aJob.longRunning_ &&
                    aJob.spec_.repetitions_ == 0;
  load.waiting_ = load.isWaiting_ ? std::max(aJob.estimatedCoreSeconds_, kMinCoreSeconds) : 0;
  return load;
}

void
Subtract(OrganisationLoads& aLoads, const JobLoad& aLoad)
{
  workers::Capacity& used = aLoads.used_[aLoad.origin_.organisation_];
  AddCapacity(used, aLoad.used_, -1);
  if (used == workers::Capacity{}) {
    aLoads.used_.erase(aLoad.origin_.organisation_);
  }
  if (!aLoad.isWaiting_) {
    return;
  }
  OriginWork& work = aLoads.work_[aLoad.origin_];
  --work.waitingJobs_;
  work.waiting_ = work.waitingJobs_ == 0 ? 0 : std::max(work.waiting_ - aLoad.waiting_, 0.0);
}

void
Add(OrganisationLoads& aLoads, const JobLoad& aLoad)
{
  AddCapacity(aLoads.used_[aLoad.origin_.organisation_], aLoad.used_, 1);
  if (aLoad.isWaiting_) {
    OriginWork& work = aLoads.work_[aLoad.origin_];
    ++work.waitingJobs_;
    work.waiting_ += aLoad.waiting_;
  }
}

} // namespace

void
CountJob(OrganisationLoads& aLoads, const Job& aJob)
{
  if (aJob.organisation_.empty()) {
    return;
  }
  const JobLoad now = LoadOf(aJob);
  const auto [entry, added] = aLoads.jobs_.try_emplace(aJob.id_);
  const JobLoad before = added ? JobLoad{} : entry->second;
  entry->second = now;
  Add(aLoads, now);
  if (added) {
    return;
  }
  Subtract(aLoads, before);
  if (before.isWaiting_ && aJob.started_) {
    aLoads.work_[now.origin_].started_ += before.waiting_;
  }
}

void
RemoveJob(OrganisationLoads& aLoads, const std::string& aId)
{
  const auto entry = aLoads.jobs_.find(aId);
  if (entry == aLoads.jobs_.end()) {
    return;
  }
  Subtract(aLoads, entry->second);
  aLoads.jobs_.erase(entry);
}

workers::Capacity
UsedBy(const OrganisationLoads& aLoads, const std::string& aOrganisation)
{
  const auto used = aLoads.used_.find(aOrganisation);
  return used == aLoads.used_.end() ? workers::Capacity{} : used->second;
}

OriginWork
WorkOf(const OrganisationLoads& aLoads, const Origin& aOrigin)
{
  const auto work = aLoads.work_.find(aOrigin);
  return work == aLoads.work_.end() ? OriginWork{} : work->second;
}

} // namespace quetzal::jobs
