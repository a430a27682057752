#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;

/** A cell with a job of organisation "ada". */
struct CellOrganisationsFixture : CellFixture
{
  CellOrganisationsFixture()
  {
    AddWorker("w1");
    cell_ = TakeOver("a");
  }

  AnswerStatus SubmitFor(const std::string& aOrganisation, const std::string& aId)
  {
    return Wait([&](const auto& aDone) {
      cell_->Submit({ "q", aId, Spec(1), {}, aOrganisation }, aDone);
    });
  }

  AnswerStatus ShowTo(const std::string& aOrganisation, const std::string& aId)
  {
    return Wait([&](const auto& aDone) { cell_->Show(aId, aOrganisation, aDone); });
  }

  AnswerStatus CancelFor(const std::string& aOrganisation, const std::string& aId)
  {
    return Wait([&](const auto& aDone) { cell_->Cancel(aId, aOrganisation, aDone); });
  }

  AnswerStatus Wait(const std::function<void(const cells::AnswerCallback&)>& aCall)
  {
    std::optional<AnswerStatus> status;
    aCall([&status](const Answer& aAnswer) { status = aAnswer.status_; });
    BOOST_TEST(RunUntil([&status] { return status.has_value(); }));
    return status.value_or(AnswerStatus::kUnknownOutcome);
  }

  std::unique_ptr<Cell> cell_;
};

BOOST_FIXTURE_TEST_SUITE(CellOrganisations, CellOrganisationsFixture)

BOOST_AUTO_TEST_CASE(Job_AnotherOrganisationCalls_IsForbiddenAndUnchanged)
{
  BOOST_TEST((SubmitFor("ada", "job1") == AnswerStatus::kAccepted));
  BOOST_TEST((ShowTo("bo", "job1") == AnswerStatus::kForbidden));
  BOOST_TEST((CancelFor("bo", "job1") == AnswerStatus::kForbidden));
  BOOST_TEST((SubmitFor("bo", "job1") == AnswerStatus::kForbidden));
  BOOST_TEST((ShowTo("ada", "job1") == AnswerStatus::kFound));
  BOOST_TEST(StateOf(*cell_, "job1") != "cancelled");
}

// The organisation must be in the records, or a successor shows every job to everyone.
BOOST_AUTO_TEST_CASE(Job_CellHasANewOwner_OrganisationIsKept)
{
  BOOST_TEST((SubmitFor("ada", "job1") == AnswerStatus::kAccepted));
  BOOST_TEST((SubmitFor("ada", "job2") == AnswerStatus::kAccepted));
  BOOST_TEST((CancelFor("ada", "job2") == AnswerStatus::kCancelled));
  cell_ = TakeOver("b");
  BOOST_TEST((ShowTo("bo", "job1") == AnswerStatus::kForbidden));
  BOOST_TEST((ShowTo("bo", "job2") == AnswerStatus::kForbidden));
  BOOST_TEST((ShowTo("ada", "job1") == AnswerStatus::kFound));
  BOOST_TEST((ShowTo("ada", "job2") == AnswerStatus::kFound));
}

BOOST_AUTO_TEST_CASE(Job_BelongsToNoOrganisation_IsAccessibleToAll)
{
  BOOST_TEST((SubmitFor("", "job1") == AnswerStatus::kAccepted));
  BOOST_TEST((ShowTo("bo", "job1") == AnswerStatus::kFound));
  BOOST_TEST((CancelFor("ada", "job1") == AnswerStatus::kCancelled));
}

// A public queue of the same cell must not open the jobs of organisations to everybody.
BOOST_AUTO_TEST_CASE(Job_AnAnonymousCallerKnowsItsId_IsForbidden)
{
  BOOST_TEST((SubmitFor("ada", "job1") == AnswerStatus::kAccepted));
  BOOST_TEST((SubmitFor(organisations::kAnonymous, "job2") == AnswerStatus::kAccepted));
  BOOST_TEST((ShowTo(organisations::kAnonymous, "job1") == AnswerStatus::kForbidden));
  BOOST_TEST((CancelFor(organisations::kAnonymous, "job1") == AnswerStatus::kForbidden));
  BOOST_TEST((ShowTo(organisations::kAnonymous, "job2") == AnswerStatus::kFound));
  BOOST_TEST((ShowTo("bo", "job2") == AnswerStatus::kFound));
}

// A submission that meets the id of another organisation's job in the store must not be confirmed:
// its own job is not stored.
BOOST_AUTO_TEST_CASE(Submission_IdIsStoredForAnotherOrganisation_IsForbidden)
{
  store_.Put(cells::JobKey("job1"),
             jobs::Encode(jobs::MakeJobRecord("other", { "q", "job1", Spec(1), {}, "ada" }, 7)));
  BOOST_TEST((SubmitFor("bo", "job1") == AnswerStatus::kForbidden));
  BOOST_TEST((SubmitFor("ada", "job1") == AnswerStatus::kAccepted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
