#include "tests/unit/CellFixture.h"

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

constexpr auto kSettleTime = 150ms; ///< Longer than some placement rounds.

/** A cell with one worker, in which organisation "ada" has a quota of four tasks. */
struct CellQuotasFixture : CellFixture
{
  CellQuotasFixture()
    : worker_(AddWorker("w1"))
  {
    SetQuota(4'000);
    cell_ = TakeOver("a");
  }

  void SetQuota(std::int64_t aCpu)
  {
    platformState_.configuration_.organisations_ = { { "ada", 1, { aCpu, 0, 0 } },
                                                     { "bo", 1, {} } };
  }

  /** Answers a report of the cell with a grant for "ada". */
  void Grant(std::int64_t aCpu)
  {
    cell_->TakeGrants(cell_->Report().sequence_, true, { { "ada", { aCpu, 0, 0 } } });
  }

  void SubmitFor(const std::string& aOrganisation,
                 const std::string& aId,
                 const jobs::JobSpec& aSpec)
  {
    std::optional<AnswerStatus> status;
    cell_->Submit({ "q", aId, aSpec, {}, aOrganisation },
                  [&status](const Answer& aAnswer) { status = aAnswer.status_; });
    BOOST_TEST(RunUntil([&status] { return status.has_value(); }));
    BOOST_TEST((status == AnswerStatus::kAccepted));
  }

  bool WaitForRuns(std::size_t aRuns)
  {
    return RunUntil([&] { return worker_.running_.size() == aRuns; }, 5'000);
  }

  /** Returns what the cell reports of "ada". */
  organisations::Demand Demand()
  {
    const auto demands = cell_->Report().organisations_;
    return demands.empty() ? organisations::Demand{} : demands.front();
  }

  FakeWorker& worker_;
  std::unique_ptr<Cell> cell_;
};

BOOST_FIXTURE_TEST_SUITE(CellQuotas, CellQuotasFixture)

// A cell that starts tasks before it has a grant exceeds the quota together with other cells.
BOOST_AUTO_TEST_CASE(Cell_HasNoGrant_StartsNothingForTheOrganisation)
{
  SubmitFor("ada", "job1", Spec(2));
  RunFor(kSettleTime);
  BOOST_TEST(worker_.sentStarts_ == 0);
  BOOST_TEST(Demand().wanted_.cpu_ == 2'000);
  BOOST_TEST(Demand().nextNeed_.cpu_ == 1'000);
  Grant(4'000);
  BOOST_TEST(WaitForRuns(2));
}

// The grant counts for all jobs of the organisation together, and ends must make room again.
BOOST_AUTO_TEST_CASE(Cell_HasAGrant_HoldsAtIt)
{
  Grant(3'000);
  SubmitFor("ada", "job1", Spec(2));
  SubmitFor("ada", "job2", Spec(4));
  BOOST_TEST(WaitForRuns(3));
  RunFor(kSettleTime);
  BOOST_TEST(worker_.sentStarts_ == 3);
  BOOST_TEST(Demand().used_.cpu_ == 3'000);
  BOOST_TEST(Demand().held_.cpu_ == 3'000);
  worker_.End(worker_.running_.begin()->first, jobs::EndKind::kDone);
  BOOST_TEST(RunUntil([&] { return worker_.sentStarts_ == 4; }, 5'000));
  BOOST_TEST(worker_.running_.size() == 3U);
}

// Jobs that are held back by a quota must not end the round as if the workers were full.
BOOST_AUTO_TEST_CASE(Jobs_HeldByTheirQuota_DoNotStopOtherOrganisations)
{
  for (int i = 0; i < 40; ++i) {
    SubmitFor("ada", "a" + std::to_string(i), Spec(1));
  }
  SubmitFor("bo", "z1", Spec(2));
  SubmitFor("", "z2", Spec(1));
  BOOST_TEST(WaitForRuns(3));
}

// A lowered quota must not cost work that has been done.
BOOST_AUTO_TEST_CASE(Quota_Lowered_StopsNewStartsOnly)
{
  Grant(3'000);
  SubmitFor("ada", "job1", Spec(5));
  BOOST_TEST(WaitForRuns(3));
  SetQuota(1'000);
  Grant(1'000);
  RunFor(kSettleTime);
  BOOST_TEST(worker_.running_.size() == 3U);
  worker_.End({ "job1", 0, 0, 0 }, jobs::EndKind::kDone);
  worker_.End({ "job1", 0, 0, 1 }, jobs::EndKind::kDone);
  RunFor(kSettleTime);
  BOOST_TEST(worker_.sentStarts_ == 3);
  BOOST_TEST(Demand().used_.cpu_ == 1'000);
}

// A run that is being stopped still uses the worker.
BOOST_AUTO_TEST_CASE(Run_IsBeingStopped_StillCounts)
{
  Grant(2'000);
  worker_.endsAtStop_ = false;
  SubmitFor("ada", "job1", Spec(2));
  BOOST_TEST(WaitForRuns(2));
  cell_->Cancel("job1", {}, [](const Answer&) {});
  SubmitFor("ada", "job2", Spec(1));
  RunFor(kSettleTime);
  BOOST_TEST(worker_.sentStarts_ == 2);
  BOOST_TEST(Demand().used_.cpu_ == 2'000);
  worker_.End({ "job1", 0, 0, 0 }, jobs::EndKind::kDone);
  BOOST_TEST(RunUntil([&] { return worker_.sentStarts_ == 3; }, 5'000));
}

// A start order without an answer may have been carried out.
BOOST_AUTO_TEST_CASE(Start_Unanswered_Counts)
{
  Grant(1'000);
  worker_.startFates_ = { OrderFate::kLate };
  SubmitFor("ada", "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return worker_.sentStarts_ == 1; }, 5'000));
  BOOST_TEST(Demand().used_.cpu_ == 1'000);
}

// A gang that is started in part could exceed the grant, or wait for its other half for ever.
BOOST_AUTO_TEST_CASE(Gang_LargerThanTheGrant_IsHeldAsAWhole)
{
  Grant(2'000);
  jobs::JobSpec spec = Spec(3);
  spec.steps_.front().gang_ = true;
  SubmitFor("ada", "job1", spec);
  RunFor(kSettleTime);
  BOOST_TEST(worker_.sentStarts_ == 0);
  BOOST_TEST(Demand().nextNeed_.cpu_ == 3'000);
  Grant(3'000);
  BOOST_TEST(WaitForRuns(3));
}

// While predecessors' runs are kept apart by the fleet's owner, a count of them would be a second.
BOOST_AUTO_TEST_CASE(Cell_HasANewOwner_CountsInheritedRunsOnceSynchronized)
{
  Grant(2'000);
  SubmitFor("ada", "job1", Spec(2));
  BOOST_TEST(WaitForRuns(2));
  worker_.reachable_ = false;
  cell_ = TakeOver("b");
  BOOST_TEST(!cell_->Report().isSynchronized_);
  BOOST_TEST(Demand().used_.cpu_ == 0);
  worker_.reachable_ = true;
  BOOST_TEST(RunUntil([&] { return cell_->Report().isSynchronized_; }, 5'000));
  BOOST_TEST(Demand().used_.cpu_ == 2'000);
}

// A fleet owner of the previous release sends no grants; nothing would ever start.
BOOST_AUTO_TEST_CASE(Answer_HasNoGrants_CellUsesAnEqualPart)
{
  platformState_.configuration_.services_.push_back({ "other", false, true });
  cell_->TakeGrants(cell_->Report().sequence_, false, {});
  SubmitFor("ada", "job1", Spec(4));
  BOOST_TEST(WaitForRuns(2));
  RunFor(kSettleTime);
  BOOST_TEST(worker_.sentStarts_ == 2);
}

// Deployments without quotas must be served as before.
BOOST_AUTO_TEST_CASE(Quota_NotConfigured_NothingIsHeldOrReported)
{
  platformState_.configuration_.organisations_.clear();
  SubmitFor("ada", "job1", Spec(8));
  BOOST_TEST(WaitForRuns(8));
  BOOST_TEST(cell_->Report().organisations_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
