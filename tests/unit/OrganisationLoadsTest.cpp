#include "include/quetzal/jobs/JobRegistry.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace {

using namespace quetzal;
using namespace quetzal::jobs;

/** Changes a few jobs of two organisations at random. */
struct OrganisationLoadsFixture
{
  int UpTo(int aMost) { return std::uniform_int_distribution<int>(0, aMost)(random_); }

  void Add()
  {
    StepSpec step;
    step.count_ = 3;
    step.cpu_ = 1'000;
    step.memory_ = 7;
    step.estimateMs_ = 1'000;
    JobSpec spec;
    spec.steps_ = { step };
    Job job = MakeJob("job" + std::to_string(added_++), "q", spec);
    job.organisation_ = UpTo(1) == 0 ? "ada" : "bo";
    job.stored_ = true;
    OpenDueOccurrences(job, 0);
    registry_.Add(std::move(job));
  }

  void Change(Job& aJob)
  {
    const TaskId task{ aJob.id_, 0, 0, UpTo(2) };
    switch (UpTo(3)) {
      case 0:
        Place(aJob, task, "w", ++run_, {});
        break;
      case 1:
        ClearPlacement(aJob, task, FindTask(aJob, task)->run_, {});
        break;
      case 2:
        if (ApplyEnd(aJob, task, FindTask(aJob, task)->run_, EndKind::kDone, {}, 0).jobCompleted_) {
          registry_.End(aJob.id_, { JobState::kCompleted, 1 });
          return;
        }
        break;
      default:
        registry_.End(aJob.id_, { JobState::kCancelled, 1 });
        return;
    }
    registry_.Update(aJob);
  }

  workers::Capacity Sum(const std::string& aOrganisation) const
  {
    workers::Capacity sum;
    for (const auto& [id, job] : registry_.Live()) {
      if (job.organisation_ == aOrganisation) {
        for (const TaskState& task : job.liveOccurrences_.at(0).steps_.front().tasks_) {
          sum.cpu_ += task.phase_ == TaskPhase::kPlaced ? 1'000 : 0;
          sum.memory_ += task.phase_ == TaskPhase::kPlaced ? 7 : 0;
        }
      }
    }
    return sum;
  }

  int Waiting(const std::string& aOrganisation) const
  {
    int waiting = 0;
    for (const auto& [id, job] : registry_.Live()) {
      waiting += job.organisation_ == aOrganisation && !job.started_ ? 1 : 0;
    }
    return waiting;
  }

  JobRegistry registry_;
  std::mt19937 random_{ 3 };
  int added_ = 0;
  std::int64_t run_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(OrganisationLoadsTest, OrganisationLoadsFixture)

// A count that drifts would keep an organisation behind the others for good.
BOOST_AUTO_TEST_CASE(Counts_JobsChangeAtRandom_EqualTheSums)
{
  for (int i = 0; i < 5'000; ++i) {
    if (registry_.Live().size() < 6 || UpTo(9) == 0) {
      Add();
    } else {
      auto job = registry_.Live().begin();
      std::advance(job, UpTo(static_cast<int>(registry_.Live().size()) - 1));
      Change(job->second);
    }
    for (const std::string name : { "ada", "bo" }) {
      BOOST_REQUIRE((UsedBy(registry_.Loads(), name) == Sum(name)));
      BOOST_REQUIRE(WorkOf(registry_.Loads(), { "q", name }).waitingJobs_ == Waiting(name));
    }
  }
}

BOOST_AUTO_TEST_CASE(Counts_JobStarts_ItsWorkCountsAsStarted)
{
  Add();
  Job& job = registry_.Live().begin()->second;
  const Origin origin{ "q", job.organisation_ };
  BOOST_TEST(WorkOf(registry_.Loads(), origin).waiting_ == 3);
  Place(job, { job.id_, 0, 0, 0 }, "w", 1, {});
  registry_.Update(job);
  BOOST_TEST(WorkOf(registry_.Loads(), origin).waiting_ == 0);
  BOOST_TEST(WorkOf(registry_.Loads(), origin).started_ == 3);
}

// Deployments without organisations must not pay for the counts.
BOOST_AUTO_TEST_CASE(Counts_JobHasNoOrganisation_IsNotCounted)
{
  Job job = MakeJob("job", "q", {});
  job.stored_ = true;
  registry_.Add(std::move(job));
  BOOST_TEST(registry_.Loads().jobs_.empty());
}

// Guards against access to an entry that was removed when the organisation's use became zero.
BOOST_AUTO_TEST_CASE(Jobs_NoneUsesAnything_AreRemovedOneByOne)
{
  OrganisationLoads loads;
  for (const std::string id : { "job1", "job2" }) {
    Job job = MakeJob(id, "q", {});
    job.organisation_ = "ada";
    CountJob(loads, job);
    CountJob(loads, job);
  }
  RemoveJob(loads, "job1");
  RemoveJob(loads, "job2");
  BOOST_TEST(loads.used_.empty());
  BOOST_TEST(loads.jobs_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
