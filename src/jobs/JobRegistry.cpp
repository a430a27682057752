#include "include/quetzal/jobs/JobRegistry.h"

#include <algorithm>

namespace quetzal::jobs {
namespace {

bool
MayHaveCopies(const Job& aJob)
{
  return std::any_of(aJob.spec_.steps_.begin(), aJob.spec_.steps_.end(), [](const auto& aStep) {
    return aStep.speculative_ && !aStep.gang_ && !aStep.longRunning_;
  });
}

} // namespace

Job&
JobRegistry::Add(Job aJob)
{
  const std::string id = aJob.id_;
  Job& added = live_.insert_or_assign(id, std::move(aJob)).first->second;
  if (MayHaveCopies(added)) {
    speculative_[id] = &added;
  }
  Update(added);
  return added;
}

void
JobRegistry::AddEnded(const std::string& aId, const EndedJob& aEnd)
{
  ended_[aId] = aEnd;
  byEnd_.emplace(aEnd.endedMs_, aId);
}

Job*
JobRegistry::Find(const std::string& aId)
{
  const auto job = live_.find(aId);
  return job == live_.end() ? nullptr : &job->second;
}

const Job*
JobRegistry::Find(const std::string& aId) const
{
  const auto job = live_.find(aId);
  return job == live_.end() ? nullptr : &job->second;
}

const EndedJob*
JobRegistry::FindEnded(const std::string& aId) const
{
  const auto end = ended_.find(aId);
  return end == ended_.end() ? nullptr : &end->second;
}

void
JobRegistry::Update(Job& aJob)
{
  if (aJob.waitingTasks_ > 0 && aJob.stored_ && !aJob.ending_) {
    waiting_[aJob.id_] = &aJob;
  } else {
    waiting_.erase(aJob.id_);
  }
  CountJob(loads_, aJob);
}

void
JobRegistry::Remove(const std::string& aId)
{
  RemoveJob(loads_, aId);
  waiting_.erase(aId);
  speculative_.erase(aId);
  live_.erase(aId);
}

void
JobRegistry::End(const std::string& aId, const EndedJob& aEnd)
{
  // The id may belong to the job, so the job is destroyed last.
  AddEnded(aId, aEnd);
  Remove(aId);
}

std::vector<std::string>
JobRegistry::TakeExpired(std::int64_t aBeforeMs, std::size_t aMost)
{
  std::vector<std::string> expired;
  while (!byEnd_.empty() && byEnd_.begin()->first < aBeforeMs && expired.size() < aMost) {
    expired.push_back(byEnd_.begin()->second);
    byEnd_.erase(byEnd_.begin());
    ended_.erase(expired.back());
  }
  return expired;
}

} // namespace quetzal::jobs
