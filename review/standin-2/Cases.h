#pragma once

#include <string>

namespace review {

/** How a case ended. The values are the exit codes of its script. */
enum class Outcome : int
{
  kHeld = 0,
  kBroken = 1,
  kNotRun = 2,
};

/** The members of a gang are restarted from different checkpoints after a minion's crash. */
Outcome
PlayGangCheckpoint(const std::string& aRecordFile);

/** A caller leaves and cancels its job while its request is repeated inside the system. */
Outcome
PlayCancelledJobs(const std::string& aRecordFile);

/** A late start order reaches a minion that has started again under its id. */
Outcome
PlayLateOrder(const std::string& aRecordFile);

/** A minion rejects the starts of jobs that only it can run. */
Outcome
PlayPendingCount(const std::string& aRecordFile);

/** A caller sends requests and reads none of the answers. */
Outcome
PlayUnreadAnswers(const std::string& aRecordFile);

/** One job with a schedule that is overdue. */
Outcome
PlayOverdueSchedule(const std::string& aRecordFile);

/** Many jobs with many tasks come at once. */
Outcome
PlayWideJobs(const std::string& aRecordFile);

} // namespace review
