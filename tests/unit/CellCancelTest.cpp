#include "include/quetzal/node/Tombstones.h"
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

  node::TombstoneOutcome StoreTombstone(const std::string& aJob, const std::string& aOrganisation)
  {
    node::Tombstones tombstones(store_, metrics_, nullptr);
    std::optional<node::TombstoneOutcome> outcome;
    tombstones.Store(aJob, aOrganisation, [&outcome](const node::TombstoneResult& aResult) {
      outcome = aResult.outcome_;
    });
    store_.AnswerAll();
    return outcome.value_or(node::TombstoneOutcome::kUnknown);
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

BOOST_AUTO_TEST_CASE(Submit_JobWasCancelledFirst_IsRefusedAndNeverRuns)
{
  FakeWorker& worker = AddWorker("w1");
  const auto cell = TakeOver("a");
  BOOST_TEST(RunUntil([&] { return IsSynchronized(*cell, 1); }));
  BOOST_CHECK(StoreTombstone("job1", {}) == node::TombstoneOutcome::kStored);
  BOOST_CHECK(Submit(*cell, "job1", Spec(1)) == AnswerStatus::kRefused);
  BOOST_CHECK(Submit(*cell, "job2", Spec(1)) == AnswerStatus::kAccepted);
  RunFor(200ms);
  BOOST_TEST(worker.starts_.size() == 1U);
  BOOST_TEST(StateOf(*cell, "job1") == "unknown-job");
}

BOOST_AUTO_TEST_CASE(Submit_AnotherOrganisationCancelledTheId_IsForbidden)
{
  const auto cell = TakeOver("a");
  StoreTombstone("job1", "first");
  std::optional<AnswerStatus> status;
  cell->Submit({ "q", "job1", Spec(1), {}, "second" },
               [&status](const Answer& aAnswer) { status = aAnswer.status_; });
  BOOST_TEST(RunUntil([&status] { return status.has_value(); }));
  BOOST_CHECK(status == AnswerStatus::kForbidden);
}

// Guards against a write without an answer that takes effect after its job's cancel was answered:
// its owner repeats it.
BOOST_AUTO_TEST_CASE(Submit_FirstWriteIsLostAndTheJobIsCancelled_RepeatedWriteIsRefused)
{
  const auto cell = TakeOver("a");
  store_.InjectFault(CommitFault::kDelayed);
  cell->Submit({ "q", "job1", Spec(1), {} },
               [this](const Answer& aAnswer) { submitted_ = aAnswer.status_; });
  BOOST_TEST(
    RunUntil([&, commits = store_.CommitCount()] { return store_.CommitCount() > commits; }));
  store_.AnswerAll();
  BOOST_CHECK(StoreTombstone("job1", {}) == node::TombstoneOutcome::kStored);
  store_.ApplyDelayed();
  BOOST_TEST(RunUntil([this] { return submitted_.has_value(); }));
  BOOST_CHECK(submitted_ == AnswerStatus::kRefused);
  BOOST_TEST(jobs::ReadTombstone(RecordOf("job1")).has_value());
}

// The same, where the owner has lost the cell: its successor has read the jobs already.
BOOST_AUTO_TEST_CASE(Submit_WriteOfAnEarlierOwnerIsDelayed_IsNotCarriedOutAfterTheCancel)
{
  const auto earlier = TakeOver("a");
  store_.InjectFault(CommitFault::kDelayed);
  earlier->Submit({ "q", "job1", Spec(1), {} }, [](const Answer&) {});
  BOOST_TEST(
    RunUntil([&, commits = store_.CommitCount()] { return store_.CommitCount() > commits; }));
  store_.AnswerAll();
  earlier->Abandon();
  const auto cell = TakeOver("b");
  BOOST_CHECK(StoreTombstone("job1", {}) == node::TombstoneOutcome::kStored);
  store_.ApplyDelayed();
  RunFor(300ms);
  BOOST_TEST(jobs::ReadTombstone(RecordOf("job1")).has_value());
  BOOST_TEST(StateOf(*cell, "job1") == "unknown-job");
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
