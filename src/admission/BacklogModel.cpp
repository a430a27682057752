#include "include/quetzal/admission/BacklogModel.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace quetzal::admission {
namespace {

/** Time after which a measurement counts 1/e: a few lengths of a usual job, so that the rate does
 * not follow the ends of single jobs. */
constexpr double kDecaySeconds = 5;
constexpr clock::Milliseconds kMinMeasuredTime{ 1'000 };
/** A job that waits for more than this many times its objective is of no use. */
constexpr int kMaxWaitInObjectives = 3;
constexpr std::int64_t kMaxRetrySeconds = 20;
/** The return times of refused organisations are spread over at least this many seconds. */
constexpr std::int64_t kMinSpreadSeconds = 3;

void
AddSample(DrainRate& aRate, const jobs::OriginWork& aWork, clock::Milliseconds aElapsed)
{
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  const double kept = std::exp(-seconds / kDecaySeconds);
  aRate.work_ = aRate.work_ * kept + aWork.started_ - aRate.startedBefore_;
  aRate.seconds_ = aRate.seconds_ * kept + seconds;
  aRate.startedBefore_ = aWork.started_;
  aRate.busyFor_ += aElapsed;
}

/** Returns when a caller should try again: once the expected wait has come down to the limit. */
clock::Milliseconds
RetryAfter(const std::string& aOrganisation, clock::Milliseconds aExcess)
{
  const std::int64_t seconds =
    std::clamp<std::int64_t>((aExcess.count() + 999) / 1'000, 1, kMaxRetrySeconds);
  const std::int64_t spread = std::max(seconds / 2, kMinSpreadSeconds);
  const auto offset = static_cast<std::int64_t>(std::hash<std::string>()(aOrganisation) %
                                                static_cast<std::size_t>(spread));
  return std::chrono::seconds(seconds + offset);
}

} // namespace

void
MeasureBacklog(BacklogModel& aModel,
               const std::map<jobs::Origin, jobs::OriginWork>& aWork,
               clock::Moment aNow)
{
  const auto elapsed = std::chrono::duration_cast<clock::Milliseconds>(aNow - aModel.measuredAt_);
  aModel.measuredAt_ = aNow;
  for (const auto& [origin, work] : aWork) {
    if (work.waitingJobs_ == 0) {
      aModel.rates_.erase(origin);
      continue;
    }
    const auto [rate, added] = aModel.rates_.try_emplace(origin);
    if (added) {
      rate->second.startedBefore_ = work.started_;
    } else {
      AddSample(rate->second, work, elapsed);
    }
  }
}

std::optional<clock::Milliseconds>
ExpectedWait(const BacklogModel& aModel,
             const jobs::Origin& aOrigin,
             const jobs::OriginWork& aWork,
             clock::Milliseconds aPath)
{
  const auto found = aModel.rates_.find(aOrigin);
  if (found == aModel.rates_.end() || found->second.busyFor_ < std::max(kMinMeasuredTime, aPath)) {
    return std::nullopt;
  }
  const DrainRate& rate = found->second;
  if (rate.work_ <= 0) {
    return rate.busyFor_; // Nothing has started for that long.
  }
  const std::chrono::duration<double> wait(aWork.waiting_ * rate.seconds_ / rate.work_);
  constexpr std::chrono::duration<double> kLongest = std::chrono::hours(24);
  return std::chrono::duration_cast<clock::Milliseconds>(std::min(wait, kLongest));
}

std::optional<Refusal>
DecideRefusal(const BacklogModel& aModel, const Arrival& aArrival, const jobs::OriginWork& aWork)
{
  const auto wait = ExpectedWait(aModel, aArrival.origin_, aWork, aArrival.path_);
  const clock::Milliseconds limit = aArrival.objective_ * kMaxWaitInObjectives;
  if (!wait || limit <= clock::Milliseconds(0) || *wait <= limit) {
    return std::nullopt;
  }
  return Refusal{ *wait, RetryAfter(aArrival.origin_.organisation_, *wait - limit) };
}

} // namespace quetzal::admission
