#pragma once

#include "include/quetzal/admission/BacklogModel.h"
#include "include/quetzal/jobs/JobRegistry.h"
#include "include/quetzal/organisations/ArrivalRate.h"
#include "include/quetzal/organisations/FairShare.h"
#include "include/quetzal/placement/JobOrder.h"

#include <functional>
#include <map>
#include <random>

namespace quetzal::test {

/** What the callers of one organisation got. */
struct Service
{
  int submitted_ = 0;
  int inTime_ = 0;
  int late_ = 0;
  int refused_ = 0;

  int Open() const { return submitted_ - inTime_ - late_ - refused_; }
};

/** Which order and admission control a pool is played with. */
enum class Policy : std::uint8_t
{
  kWithoutOrganisations,
  kWithOrganisations,
};

/** A pool that runs 600 tasks at once, in time steps of 20 ms on a clock of its own. Jobs have two
 * steps of eight tasks; a task takes its estimate of a second, give or take a third, and callers
 * want a job within 2.9 s. Five organisations may send 7 jobs a second each, and the pool completes
 * 37. Refused callers do not return. */
class PlayedOrganisations
{
public:
  static constexpr double kWeight = 7;
  static constexpr int kTasks = 600;

  explicit PlayedOrganisations(Policy aPolicy);

  /** Sets how many jobs an organisation submits each second from now on. */
  void SetRate(const std::string& aOrganisation, double aJobsPerSecond);
  /** Sets how many tasks an organisation may have running. */
  void SetQuota(const std::string& aOrganisation, std::int64_t aTasks);
  void Run(clock::Milliseconds aTime);
  /** Ends the load and runs what is left. */
  void Finish();

  const Service& Of(const std::string& aOrganisation) const { return services_.at(aOrganisation); }
  /** Returns a line for each organisation, for the test's log. */
  std::string Summary() const;

private:
  struct RunningTask
  {
    jobs::TaskId task_;
    clock::Moment endsAt_;
  };

  struct WaitingJob
  {
    placement::JobRank rank_;
    jobs::Job* job_ = nullptr;
  };

  void Step();
  void Submit(const std::string& aOrganisation);
  bool IsRefused(const jobs::Job& aJob) const;
  void EndTasks();
  void PlaceTasks();
  int ShareOf(const jobs::Job& aJob) const;
  bool HasQuotaFor(const jobs::Job& aJob) const;
  void PlaceJob(jobs::Job& aJob);

  Policy policy_;
  jobs::QueueTerms terms_;
  organisations::FairShares shares_;
  organisations::ArrivalRates rates_;
  admission::BacklogModel backlog_;
  jobs::JobRegistry registry_;
  std::map<std::string, double> sends_;  ///< Jobs a second.
  std::map<std::string, double> unsent_; ///< Parts of jobs that are due.
  std::map<std::string, std::int64_t> quotas_;
  std::map<std::string, Service> services_;
  std::vector<RunningTask> running_;
  std::mt19937 random_{ 7 };
  clock::Moment now_ = clock::Moment{} + std::chrono::hours(1);
  int steps_ = 0;
  int submitted_ = 0;
  double pathFactor_ = 1;
};

} // namespace quetzal::test
