#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <algorithm>

/** The log of jobs that wait for long with nothing running: why the last placement round started
 * none of their tasks, and what the cell's workers can take. */

namespace quetzal::cells {
namespace {

using clock::Now;

/** A job with nothing running is logged after this time. */
constexpr clock::Milliseconds kLongWait{ 2'000 };
constexpr clock::Milliseconds kWaitingLogInterval{ 1'000 };
/** Longest time since a repetition was due that is counted. */
constexpr std::chrono::hours kMaxLateness{ 24 };

/** Returns since when a job has had nothing running at the latest. */
clock::Moment
WaitingSince(const jobs::Job& aJob, clock::Moment aNow)
{
  clock::Moment since = std::max(aJob.arrivedAt_, aJob.lastChangeAt_);
  if (aJob.spec_.repetitions_ > 0 && !aJob.liveOccurrences_.empty()) {
    const std::int64_t dueMs = aJob.liveOccurrences_.begin()->second.dueMs_;
    const std::int64_t late = std::clamp<std::int64_t>(
      clock::UnixMs() - dueMs, 0, std::chrono::milliseconds(kMaxLateness).count());
    since = std::max(since, aNow - clock::Milliseconds(late));
  }
  return since;
}

} // namespace

void
Cell::LogWaiting()
{
  const clock::Moment now = Now();
  if (now - waitingLoggedAt_ < kWaitingLogInterval) {
    return;
  }
  std::map<jobs::WaitReason, int> reasons;
  const jobs::Job* longest = nullptr;
  for (const auto& [id, job] : jobs_.Waiting()) {
    if (job->placedTasks_ > 0 || now - WaitingSince(*job, now) < kLongWait) {
      continue;
    }
    ++reasons[job->waitReason_];
    if (longest == nullptr || job->arrivedAt_ < longest->arrivedAt_) {
      longest = job;
    }
  }
  if (longest == nullptr) {
    return;
  }
  waitingLoggedAt_ = now;
  std::ostringstream text;
  for (const auto& [reason, count] : reasons) {
    text << ' ' << jobs::ToString(reason) << '=' << count;
  }
  const auto waited = std::chrono::duration_cast<clock::Milliseconds>(now - longest->arrivedAt_);
  log::Warn("cell",
            "event=jobs-wait cell=",
            service_,
            " job=",
            longest->id_,
            " queue=",
            longest->queue_,
            " age_ms=",
            waited.count(),
            " why=",
            jobs::ToString(longest->waitReason_),
            text.str(),
            WorkerSummary());
}

std::string
Cell::WorkerSummary() const
{
  int schedulable = 0;
  int silent = 0;
  int cordoned = 0;
  int unknown = 0;
  for (const auto& [id, entry] : workers_) {
    const Worker& worker = *entry.worker_;
    schedulable += worker.IsSchedulable() ? 1 : 0;
    silent += worker.IsSynchronized() && !worker.IsResponsive() ? 1 : 0;
    cordoned += worker.IsCordoned() ? 1 : 0;
    unknown += entry.inherited_ && !worker.IsSynchronized() ? 1 : 0;
  }
  std::ostringstream text;
  text << " workers=" << workers_.size() << " schedulable=" << schedulable << " silent=" << silent
       << " cordoned=" << cordoned << " inherited_unknown=" << unknown;
  return text.str();
}

} // namespace quetzal::cells
