#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** A cell without workers; organisation "ada" may send half a job a second, "bo" a hundred. */
struct CellAdmissionFixture : CellFixture
{
  CellAdmissionFixture()
  {
    platformState_.configuration_.organisations_ = { { "ada", 0.5, {} }, { "bo", 100, {} } };
    platformState_.configuration_.queues_.front().terms_.objectiveMs_ = 100;
    cell_ = TakeOver("a");
  }

  Answer SubmitFor(const std::string& aOrganisation, const std::string& aId)
  {
    std::optional<Answer> answer;
    cell_->Submit({ "q", aId, Spec(1), {}, aOrganisation },
                  [&answer](const Answer& aAnswer) { answer = aAnswer; });
    BOOST_TEST(RunUntil([&answer] { return answer.has_value(); }));
    return answer.value_or(Answer{});
  }

  bool IsAccepted(const std::string& aOrganisation, const std::string& aId)
  {
    return SubmitFor(aOrganisation, aId).status_ == AnswerStatus::kAccepted;
  }

  /** Lets ada's jobs wait for so long that another one is of no use. */
  void BuildBacklog()
  {
    BOOST_TEST(IsAccepted("ada", "job1"));
    BOOST_TEST(IsAccepted("ada", "job2"));
    RunFor(1'500ms);
  }

  std::unique_ptr<Cell> cell_;
};

BOOST_FIXTURE_TEST_SUITE(CellAdmission, CellAdmissionFixture)

// A refused job must not be kept, and must not be taken for one that cannot be stored.
BOOST_AUTO_TEST_CASE(Submission_BeyondTheRateAndOfNoUse_IsRefusedAndUnknown)
{
  BuildBacklog();
  const Answer answer = SubmitFor("ada", "job3");
  BOOST_TEST((answer.status_ == AnswerStatus::kRefused));
  BOOST_TEST((answer.refusal_ == cells::RefusalReason::kOverRate));
  BOOST_TEST(answer.retryAfter_.count() >= 1'000);
  BOOST_TEST(StateOf(*cell_, "job3") == "unknown-job");
}

// An accepted job must not be called refused when its caller asks again.
BOOST_AUTO_TEST_CASE(Submission_IsRepeatedBeyondTheRate_IsAccepted)
{
  BuildBacklog();
  BOOST_TEST(IsAccepted("ada", "job2"));
}

// REFUSED: a job that another cell accepted before its queue was moved runs there, so that "not
// accepted" would be false.
BOOST_AUTO_TEST_CASE(Submission_IsStoredByAnotherCell_IsNotRefused)
{
  BuildBacklog();
  store_.Put(cells::JobKey("job3"),
             jobs::Encode(jobs::MakeJobRecord("other", { "q", "job3", Spec(1), {}, "ada" }, 7)));
  BOOST_TEST(IsAccepted("ada", "job3"));
}

// One organisation's backlog must not refuse those within their rate, nor jobs without one.
BOOST_AUTO_TEST_CASE(Submission_AnotherOrganisationIsBeyondItsRate_IsAccepted)
{
  BuildBacklog();
  BOOST_TEST(IsAccepted("bo", "job3"));
  BOOST_TEST(IsAccepted("", "job4"));
}

BOOST_AUTO_TEST_CASE(Submission_CellHasANewOwner_IsAccepted)
{
  BuildBacklog();
  cell_ = TakeOver("b");
  BOOST_TEST(IsAccepted("ada", "job3"));
  BOOST_TEST(IsAccepted("ada", "job4"));
}

// What an organisation sends beyond its rate must start after what others send within theirs.
BOOST_AUTO_TEST_CASE(Jobs_OneIsBeyondTheRate_StartsLast)
{
  BOOST_TEST(IsAccepted("ada", "job1"));
  BOOST_TEST(IsAccepted("ada", "job2"));
  BOOST_TEST(IsAccepted("bo", "job3"));
  FakeWorker& worker = AddWorker("w1");
  BOOST_TEST(RunUntil([&worker] { return worker.starts_.size() == 3; }));
  BOOST_REQUIRE(worker.starts_.size() == 3U);
  BOOST_TEST(worker.starts_.back().first.job_ == "job2");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
