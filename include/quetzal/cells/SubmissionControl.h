#pragma once

#include "include/quetzal/admission/BacklogModel.h"
#include "include/quetzal/organisations/ArrivalRate.h"

namespace quetzal::cells {

/** What the owner of a cell knows of the rates and waits of organisations. A new owner knows
 * nothing and refuses nobody. */
struct SubmissionControl
{
  organisations::ArrivalRates rates_;
  admission::BacklogModel backlog_;
  clock::Moment loggedAt_{}; ///< When a refusal was last logged.
};

/** Counts a new job of an organisation, and marks it if it is beyond the organisation's rate. An
 * organisation that is not configured has no rate. */
void
CountSubmission(SubmissionControl& aControl,
                const jobs::Configuration& aConfiguration,
                jobs::Job& aJob,
                clock::Moment aNow);

/** Decides whether a counted job is refused. @return nothing if it is admitted. */
std::optional<admission::Refusal>
DecideRefusal(const SubmissionControl& aControl,
              const jobs::OrganisationLoads& aLoads,
              const jobs::Job& aJob);

/** Logs a refusal, at most once a second. */
void
LogRefusal(SubmissionControl& aControl,
           const std::string& aCell,
           const jobs::Configuration& aConfiguration,
           const jobs::OrganisationLoads& aLoads,
           const jobs::Job& aJob,
           const admission::Refusal& aRefusal);

} // namespace quetzal::cells
