#include "include/quetzal/jobs/JobRegistry.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::jobs;

struct JobRegistryFixture
{
  static Job MakeStored(const std::string& aId, bool aSpeculative = false)
  {
    StepSpec step;
    step.count_ = 2;
    step.speculative_ = aSpeculative;
    JobSpec spec;
    spec.steps_ = { step };
    Job job = MakeJob(aId, "q", spec);
    job.stored_ = true;
    OpenDueOccurrences(job, 0);
    return job;
  }

  JobRegistry jobs_;
};

BOOST_FIXTURE_TEST_SUITE(JobRegistryTest, JobRegistryFixture)

BOOST_AUTO_TEST_CASE(Job_WithWaitingTasks_IsWaitingUntilAllArePlaced)
{
  Job& job = jobs_.Add(MakeStored("a"));
  BOOST_TEST(jobs_.Waiting().contains("a"));
  Place(job, { "a", 0, 0, 0 }, "w", 1, {});
  jobs_.Update(job);
  BOOST_TEST(jobs_.Waiting().contains("a"));
  Place(job, { "a", 0, 0, 1 }, "w", 2, {});
  jobs_.Update(job);
  BOOST_TEST(!jobs_.Waiting().contains("a"));
  ClearPlacement(job, { "a", 0, 0, 1 }, 2, {});
  jobs_.Update(job);
  BOOST_TEST(jobs_.Waiting().contains("a"));
}

BOOST_AUTO_TEST_CASE(Job_ThatIsNotStoredYet_IsNotWaiting)
{
  Job job = MakeStored("a");
  job.stored_ = false;
  Job& added = jobs_.Add(std::move(job));
  BOOST_TEST(jobs_.Waiting().empty());
  added.stored_ = true;
  jobs_.Update(added);
  BOOST_TEST(jobs_.Waiting().contains("a"));
}

BOOST_AUTO_TEST_CASE(Job_ThatHasEnded_IsInNoIndexAndKeepsItsEnd)
{
  jobs_.Add(MakeStored("a", true));
  BOOST_TEST(jobs_.Speculative().contains("a"));
  jobs_.End("a", { JobState::kCompleted, 5 });
  BOOST_TEST(jobs_.Live().empty());
  BOOST_TEST(jobs_.Waiting().empty());
  BOOST_TEST(jobs_.Speculative().empty());
  BOOST_TEST((jobs_.Find("a") == nullptr));
  const EndedJob* end = jobs_.FindEnded("a");
  BOOST_REQUIRE((end != nullptr));
  BOOST_TEST((*end == EndedJob{ JobState::kCompleted, 5 }));
}

/** The bytes of a long id are freed with its job. */
BOOST_AUTO_TEST_CASE(End_IdBelongsToTheJobThatEnds_IsKnownByItsId)
{
  const std::string id(20, 'a');
  const Job& job = jobs_.Add(MakeStored(id));
  jobs_.End(job.id_, { JobState::kCompleted, 5 });
  BOOST_TEST((jobs_.FindEnded(id) != nullptr));
}

BOOST_AUTO_TEST_CASE(EndedJobs_OfSeveralAges_ExpireOldestFirst)
{
  jobs_.AddEnded("young", { JobState::kFailed, 30 });
  jobs_.AddEnded("old", { JobState::kCompleted, 10 });
  jobs_.AddEnded("middle", { JobState::kCancelled, 20 });
  const std::vector<std::string> first = jobs_.TakeExpired(25, 1);
  BOOST_TEST(first == std::vector<std::string>({ "old" }), boost::test_tools::per_element());
  const std::vector<std::string> second = jobs_.TakeExpired(25, 10);
  BOOST_TEST(second == std::vector<std::string>({ "middle" }), boost::test_tools::per_element());
  BOOST_TEST((jobs_.FindEnded("old") == nullptr));
  BOOST_TEST((jobs_.FindEnded("young") != nullptr));
}

BOOST_AUTO_TEST_CASE(JobRemoved_BeforeItWasAccepted_IsForgotten)
{
  jobs_.Add(MakeStored("a", true));
  jobs_.Remove("a");
  BOOST_TEST((jobs_.Find("a") == nullptr));
  BOOST_TEST((jobs_.FindEnded("a") == nullptr));
  BOOST_TEST(jobs_.Waiting().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
