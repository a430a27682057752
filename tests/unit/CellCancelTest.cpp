#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** A cell whose caller cancels a job before its submission is stored. */
struct CellCancelFixture : CellFixture
{
  /** Submits a job and cancels it before the store has answered. */
  void SubmitAndCancel(Cell& aCell, const std::string& aJob)
  {
    aCell.Submit({ "q", aJob, Spec(1), {} },
                 [this](const Answer& aAnswer) { submitted_ = aAnswer.status_; });
    aCell.Cancel(aJob, {}, [this](const Answer& aAnswer) { cancelled_ = aAnswer.status_; });
    BOOST_TEST(RunUntil([this] { return submitted_ && cancelled_; }));
  }

  std::string RecordOf(const std::string& aJob) const
  {
    const auto item = store_.Items().find(cells::JobKey(aJob));
    return item == store_.Items().end() ? std::string() : item->second.value_;
  }

  std::optional<AnswerStatus> submitted_;
  std::optional<AnswerStatus> cancelled_;
};

BOOST_FIXTURE_TEST_SUITE(CancelOfAJobThatIsBeingStored, CellCancelFixture)

BOOST_AUTO_TEST_CASE(Cancel_SubmissionIsStored_JobNeverRuns)
{
  FakeWorker& worker = AddWorker("w1");
  const auto cell = TakeOver("a");
  BOOST_TEST(RunUntil([&] { return IsSynchronized(*cell, 1); }));
  SubmitAndCancel(*cell, "job1");
  BOOST_CHECK(submitted_ == AnswerStatus::kAccepted);
  BOOST_CHECK(cancelled_ == AnswerStatus::kCancelled);
  RunFor(200ms);
  BOOST_TEST(worker.starts_.size() == 0U);
  BOOST_TEST(StateOf(*cell, "job1") == "cancelled");
}

// Guards against a record of a job that its caller was told never to have been accepted.
BOOST_AUTO_TEST_CASE(Cancel_StoreRefusesTheSubmission_NothingIsStored)
{
  const auto cell = TakeOver("a");
  store_.InjectFault(CommitFault::kRefused);
  SubmitAndCancel(*cell, "job1");
  BOOST_CHECK(submitted_ == AnswerStatus::kRefused);
  BOOST_CHECK(cancelled_ == AnswerStatus::kUnknownJob);
  RunFor(300ms);
  BOOST_TEST(RecordOf("job1").empty());
}

// Guards against a cancel that is acknowledged by a cell which does not run the job: the other cell
// would run it on, and lose its record.
BOOST_AUTO_TEST_CASE(Cancel_JobRunsInAnotherCell_IsLeftToThatCell)
{
  const std::string record =
    jobs::Encode(jobs::MakeJobRecord("other", { "q", "job1", Spec(1), {} }, clock::UnixMs()));
  store_.Put(cells::JobKey("job1"), record);
  const auto cell = TakeOver("a");
  SubmitAndCancel(*cell, "job1");
  BOOST_CHECK(submitted_ == AnswerStatus::kAccepted);
  BOOST_CHECK(cancelled_ == AnswerStatus::kUnknownJob);
  RunFor(300ms);
  BOOST_TEST(RecordOf("job1") == record);
}

BOOST_AUTO_TEST_CASE(Cancel_CellIsLostMeanwhile_OutcomeIsUnknown)
{
  const auto cell = TakeOver("a");
  cell->Submit({ "q", "job1", Spec(1), {} },
               [this](const Answer& aAnswer) { submitted_ = aAnswer.status_; });
  cell->Cancel("job1", {}, [this](const Answer& aAnswer) { cancelled_ = aAnswer.status_; });
  cell->Abandon();
  BOOST_CHECK(submitted_ == AnswerStatus::kUnknownOutcome);
  BOOST_CHECK(cancelled_ == AnswerStatus::kUnknownOutcome);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
