#include "include/quetzal/placement/JobOrder.h"

#include <algorithm>

namespace quetzal::placement {
namespace {

constexpr double kMinPathFactor = 0.4;
constexpr double kMaxPathFactor = 2.5;
/** Weight of one job in the moving average of the path factor. */
constexpr double kJobWeight = 0.05;

} // namespace

JobRank
RankOf(const jobs::Job& aJob,
       const jobs::QueueTerms& aTerms,
       double aPathFactor,
       clock::Moment aNow)
{
  const auto remaining =
    std::chrono::duration_cast<clock::Moment::duration>(aJob.remainingPath_ * aPathFactor);
  JobRank rank;
  rank.notLongRunning_ = !aJob.longRunning_;
  rank.overRate_ = aJob.overRate_;
  rank.priority_ = aTerms.priority_;
  rank.late_ = aNow + remaining > jobs::ObjectiveOf(aJob, aTerms);
  rank.notStarted_ = !aJob.started_;
  rank.arrivedAt_ = aJob.arrivedAt_;
  return rank;
}

double
NextPathFactor(double aPathFactor, const jobs::Job& aCompleted, clock::Moment aNow)
{
  const bool startedHere = aCompleted.startedAt_ != clock::Moment{};
  const bool hasPath = aCompleted.criticalPath_ > clock::Milliseconds(0);
  if (!startedHere || !hasPath || aCompleted.spec_.repetitions_ > 0) {
    return aPathFactor;
  }
  const std::chrono::duration<double> taken = aNow - aCompleted.startedAt_;
  const std::chrono::duration<double> path = aCompleted.criticalPath_;
  const double factor = std::clamp(taken / path, kMinPathFactor, kMaxPathFactor);
  return aPathFactor + (factor - aPathFactor) * kJobWeight;
}

} // namespace quetzal::placement
