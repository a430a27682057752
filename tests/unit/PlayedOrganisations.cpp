#include "tests/unit/PlayedOrganisations.h"

#include <algorithm>
#include <sstream>

namespace quetzal::test {
namespace {

using namespace std::chrono_literals;

constexpr clock::Milliseconds kTick = 20ms;
constexpr int kTicksPerMeasurement = 10;
constexpr int kTasksPerStep = 8;

jobs::JobSpec
Spec()
{
  jobs::StepSpec step;
  step.count_ = kTasksPerStep;
  step.cpu_ = 1'000;
  step.estimateMs_ = 1'000;
  jobs::JobSpec spec;
  spec.steps_ = { step, step };
  spec.steps_[1].after_ = { 0 };
  return spec;
}

} // namespace

PlayedOrganisations::PlayedOrganisations(Policy aPolicy)
  : policy_(aPolicy)
{
  terms_.objectiveMs_ = 900;
  std::vector<organisations::Organisation> all;
  for (const std::string name : { "ada", "bo", "cleo", "dan", "eve" }) {
    all.push_back({ name, kWeight, {} });
    sends_[name] = 0;
    services_[name] = {};
  }
  shares_ = organisations::MakeFairShares(all, { kTasks * 1'000, 0, 0 });
}

void
PlayedOrganisations::SetRate(const std::string& aOrganisation, double aJobsPerSecond)
{
  sends_[aOrganisation] = aJobsPerSecond;
}

void
PlayedOrganisations::SetQuota(const std::string& aOrganisation, std::int64_t aTasks)
{
  quotas_[aOrganisation] = aTasks;
}

void
PlayedOrganisations::Run(clock::Milliseconds aTime)
{
  for (const clock::Moment end = now_ + aTime; now_ < end; now_ += kTick) {
    Step();
  }
}

void
PlayedOrganisations::Finish()
{
  for (auto& [name, rate] : sends_) {
    rate = 0;
  }
  quotas_.clear();
  while (!registry_.Live().empty()) {
    Run(1s);
  }
}

std::string
PlayedOrganisations::Summary() const
{
  std::ostringstream text;
  for (const auto& [name, service] : services_) {
    text << "  " << name << ": submitted " << service.submitted_ << ", in time " << service.inTime_
         << ", late " << service.late_ << ", refused " << service.refused_ << '\n';
  }
  return text.str();
}

void
PlayedOrganisations::Step()
{
  for (const auto& [name, rate] : sends_) {
    double& unsent = unsent_[name];
    unsent += rate * std::chrono::duration<double>(kTick).count();
    while (unsent >= 1) {
      unsent -= 1;
      Submit(name);
    }
  }
  EndTasks();
  PlaceTasks();
  if (++steps_ % kTicksPerMeasurement == 0) {
    admission::MeasureBacklog(backlog_, registry_.Loads().work_, now_);
  }
}

void
PlayedOrganisations::Submit(const std::string& aOrganisation)
{
  jobs::Job job = jobs::MakeJob("job" + std::to_string(submitted_++), "q", Spec());
  job.organisation_ = aOrganisation;
  job.arrivedAt_ = now_;
  job.stored_ = true;
  ++services_[aOrganisation].submitted_;
  if (policy_ == Policy::kWithOrganisations) {
    job.overRate_ = organisations::CountArrival(rates_, aOrganisation, kWeight, now_);
    if (IsRefused(job)) {
      ++services_[aOrganisation].refused_;
      return;
    }
  }
  jobs::OpenDueOccurrences(job, 0);
  registry_.Add(std::move(job));
}

bool
PlayedOrganisations::IsRefused(const jobs::Job& aJob) const
{
  if (!aJob.overRate_) {
    return false;
  }
  admission::Arrival arrival;
  arrival.origin_ = { aJob.queue_, aJob.organisation_ };
  arrival.path_ = aJob.criticalPath_;
  arrival.objective_ = std::chrono::duration_cast<clock::Milliseconds>(
    jobs::ObjectiveOf(aJob, terms_) - aJob.arrivedAt_);
  const jobs::OriginWork work = jobs::WorkOf(registry_.Loads(), arrival.origin_);
  return admission::DecideRefusal(backlog_, arrival, work).has_value();
}

void
PlayedOrganisations::EndTasks()
{
  const auto ended = std::stable_partition(
    running_.begin(), running_.end(), [this](const auto& aRun) { return aRun.endsAt_ > now_; });
  for (auto run = ended; run != running_.end(); ++run) {
    jobs::Job& job = *registry_.Find(run->task_.job_);
    if (!jobs::ApplyEnd(job, run->task_, 1, jobs::EndKind::kDone, {}, 0).jobCompleted_) {
      registry_.Update(job);
      continue;
    }
    Service& service = services_[job.organisation_];
    ++(now_ <= jobs::ObjectiveOf(job, terms_) ? service.inTime_ : service.late_);
    pathFactor_ = placement::NextPathFactor(pathFactor_, job, now_);
    registry_.End(job.id_, { jobs::JobState::kCompleted, 1 });
  }
  running_.erase(ended, running_.end());
}

void
PlayedOrganisations::PlaceTasks()
{
  std::vector<WaitingJob> waiting;
  for (const auto& [id, job] : registry_.Waiting()) {
    waiting.push_back({ placement::RankOf(*job, terms_, pathFactor_, now_), job });
    waiting.back().rank_.share_ = ShareOf(*job);
  }
  const auto comesLater = [](const WaitingJob& aLeft, const WaitingJob& aRight) {
    return aLeft.rank_ > aRight.rank_;
  };
  std::make_heap(waiting.begin(), waiting.end(), comesLater);
  while (!waiting.empty() && running_.size() < kTasks) {
    std::pop_heap(waiting.begin(), waiting.end(), comesLater);
    WaitingJob& next = waiting.back();
    if (const int share = ShareOf(*next.job_); share > next.rank_.share_) {
      next.rank_.share_ = share;
      std::push_heap(waiting.begin(), waiting.end(), comesLater);
      continue;
    }
    PlaceJob(*next.job_);
    registry_.Update(*next.job_);
    waiting.pop_back();
  }
}

int
PlayedOrganisations::ShareOf(const jobs::Job& aJob) const
{
  return policy_ == Policy::kWithoutOrganisations
           ? 0
           : organisations::StepsAboveShare(
               shares_, aJob.organisation_, jobs::UsedBy(registry_.Loads(), aJob.organisation_));
}

bool
PlayedOrganisations::HasQuotaFor(const jobs::Job& aJob) const
{
  const auto quota = quotas_.find(aJob.organisation_);
  return quota == quotas_.end() ||
         std::count_if(running_.begin(), running_.end(), [&](const RunningTask& aRun) {
           return registry_.Find(aRun.task_.job_)->organisation_ == aJob.organisation_;
         }) < quota->second;
}

void
PlayedOrganisations::PlaceJob(jobs::Job& aJob)
{
  std::uniform_real_distribution<double> duration(0.67, 1.33);
  for (int step = 0; step < 2; ++step) {
    const jobs::Occurrence& occurrence = aJob.liveOccurrences_.at(0);
    for (int i = 0; jobs::IsUnblocked(aJob, occurrence, step) && i < kTasksPerStep; ++i) {
      const jobs::TaskId task{ aJob.id_, 0, step, i };
      if (running_.size() < kTasks && HasQuotaFor(aJob) &&
          jobs::FindTask(aJob, task)->phase_ == jobs::TaskPhase::kWaiting) {
        jobs::Place(aJob, task, "w", 1, now_);
        const auto time = std::chrono::duration<double>(duration(random_));
        running_.push_back({ task, now_ + std::chrono::duration_cast<clock::Milliseconds>(time) });
      }
    }
  }
}

} // namespace quetzal::test
