#include "include/quetzal/cells/SubmissionControl.h"

#include "include/quetzal/log/Log.h"

#include <algorithm>

namespace quetzal::cells {
namespace {

constexpr clock::Milliseconds kLogInterval{ 1'000 };

/** Returns an organisation's weight; 0 if it has none or is not configured. */
double
WeightOf(const jobs::Configuration& aConfiguration, const std::string& aOrganisation)
{
  const auto& all = aConfiguration.organisations_;
  const auto found = std::find_if(
    all.begin(), all.end(), [&](const auto& aKnown) { return aKnown.name_ == aOrganisation; });
  return found == all.end() ? 0 : found->weight_;
}

} // namespace

void
CountSubmission(SubmissionControl& aControl,
                const jobs::Configuration& aConfiguration,
                jobs::Job& aJob,
                clock::Moment aNow)
{
  const std::string& organisation = aJob.organisation_;
  aJob.overRate_ = !organisation.empty() &&
                   organisations::CountArrival(
                     aControl.rates_, organisation, WeightOf(aConfiguration, organisation), aNow);
}

std::optional<admission::Refusal>
DecideRefusal(const SubmissionControl& aControl,
              const jobs::OrganisationLoads& aLoads,
              const jobs::Job& aJob)
{
  // The wait of other jobs is not for room alone, so the backlog model does not predict it.
  if (!aJob.overRate_ || aJob.longRunning_ || aJob.spec_.repetitions_ > 0) {
    return std::nullopt;
  }
  admission::Arrival arrival;
  arrival.origin_ = { aJob.queue_, aJob.organisation_ };
  arrival.path_ = aJob.criticalPath_;
  arrival.objective_ = std::chrono::duration_cast<clock::Milliseconds>(
    jobs::ObjectiveOf(aJob, aJob.terms_) - aJob.arrivedAt_);
  return admission::DecideRefusal(
    aControl.backlog_, arrival, jobs::WorkOf(aLoads, arrival.origin_));
}

void
LogRefusal(SubmissionControl& aControl,
           const std::string& aCell,
           const jobs::Configuration& aConfiguration,
           const jobs::OrganisationLoads& aLoads,
           const jobs::Job& aJob,
           const admission::Refusal& aRefusal)
{
  if (aJob.arrivedAt_ - aControl.loggedAt_ < kLogInterval) {
    return;
  }
  aControl.loggedAt_ = aJob.arrivedAt_;
  const jobs::OriginWork work = jobs::WorkOf(aLoads, { aJob.queue_, aJob.organisation_ });
  log::Info("cell",
            "event=admission-refused cell=",
            aCell,
            " queue=",
            aJob.queue_,
            " organisation=",
            aJob.organisation_,
            " rate=",
            WeightOf(aConfiguration, aJob.organisation_),
            " backlog_jobs=",
            work.waitingJobs_,
            " backlog_core_s=",
            work.waiting_,
            " expected_wait_ms=",
            aRefusal.expectedWait_.count(),
            " retry_after_ms=",
            aRefusal.retryAfter_.count());
}

} // namespace quetzal::cells
