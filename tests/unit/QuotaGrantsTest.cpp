#include "include/quetzal/organisations/QuotaGrants.h"
#include "include/quetzal/organisations/QuotaUse.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace std::chrono_literals;
using organisations::Demand;
using organisations::MayStart;
using workers::Capacity;

/** Two cells "a" and "b" that share a quota of 10,000. */
struct QuotaGrantsFixture
{
  /** Reports a cell's use, want, next need and grant. @return the grant of the answer. */
  std::int64_t Report(const std::string& aCell,
                      std::int64_t aUsed,
                      std::int64_t aWanted,
                      std::int64_t aNext,
                      std::int64_t aHeld,
                      bool aIsSynchronized = true)
  {
    now_ += 60ms;
    Demand demand{ "ada", Cpu(aUsed), Cpu(aWanted), Cpu(aNext), Cpu(aHeld), 0 };
    const auto grants =
      GrantQuotas(table_, plan_, { aCell, fence_, ++sequence_, aIsSynchronized, { demand } }, now_);
    return grants.empty() ? 0 : grants.front().limit_.cpu_;
  }

  static Capacity Cpu(std::int64_t aCpu) { return { aCpu, 0, 0 }; }

  void Begin()
  {
    Report("a", 0, 0, 0, 0);
    Report("b", 0, 0, 0, 0);
  }

  organisations::QuotaTable table_;
  organisations::QuotaPlan plan_{ { { "ada", Cpu(10'000) } }, { "a", "b" } };
  clock::Moment now_{ 1h };
  std::int64_t fence_ = 1;
  std::int64_t sequence_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(QuotaGrants, QuotaGrantsFixture)

// A new owner of the fleet that grants before it knows all cells exceeds the quota.
BOOST_AUTO_TEST_CASE(Table_NotAllCellsAreKnown_ConfirmsOnly)
{
  BOOST_TEST(Report("a", 1'000, 9'000, 1'000, 4'000) == 4'000);
  BOOST_TEST(Report("b", 0, 9'000, 1'000, 0, false) == 0);
  BOOST_TEST(Report("a", 1'000, 9'000, 1'000, 4'000) == 4'000);
  BOOST_TEST(table_.isFrozen_);
  BOOST_TEST(Report("b", 0, 9'000, 1'000, 0) > 0);
  BOOST_TEST(!table_.isFrozen_);
}

// A cell that never synchronizes must not hold up all others.
BOOST_AUTO_TEST_CASE(Table_ACellStaysUnknown_ThawsAfterTheFreeze)
{
  Report("a", 0, 9'000, 1'000, 0);
  now_ += organisations::kMaxFreeze;
  BOOST_TEST(Report("a", 0, 9'000, 1'000, 0) >= 9'000);
}

// Half of a quota for each cell would leave the other half unused while one cell is idle.
BOOST_AUTO_TEST_CASE(Quota_OneCellWantsAll_GetsAllWithinReports)
{
  Begin();
  std::int64_t held = 0;
  for (int i = 0; i < 4; ++i) {
    held = Report("a", 0, 10'000, 1'000, held);
    Report("b", 0, 0, 0, 0);
  }
  BOOST_TEST(held == 10'000);
}

// A cell may use its earlier grant until it reports that it holds less.
BOOST_AUTO_TEST_CASE(Grant_AnotherCellStillHoldsTheRest_IsNotRaised)
{
  Begin();
  std::int64_t held = 0;
  for (int i = 0; i < 4; ++i) {
    held = Report("a", 0, 10'000, 1'000, held);
  }
  BOOST_TEST(held == 10'000);
  BOOST_TEST(Report("b", 0, 10'000, 1'000, 0) == 0);
  const std::int64_t lowered = Report("a", 0, 10'000, 1'000, held);
  BOOST_TEST(lowered < held);
  BOOST_TEST(Report("b", 0, 10'000, 1'000, 0) == 0);
  Report("a", 0, 10'000, 1'000, lowered);
  const std::int64_t other = Report("b", 0, 10'000, 1'000, 0);
  BOOST_TEST(other > 0);
  BOOST_TEST(other + lowered <= 10'000);
}

// An older report would release what the cell has been granted since.
BOOST_AUTO_TEST_CASE(Report_OlderThanAKnownOne_ChangesNothing)
{
  Begin();
  Report("a", 8'000, 8'000, 0, 8'000);
  const organisations::QuotaTable before = table_;
  --sequence_;
  --sequence_;
  BOOST_TEST(Report("a", 0, 0, 0, 0) == 0);
  BOOST_TEST(
    (table_.organisations_.at("ada").reserved_ == before.organisations_.at("ada").reserved_));
}

// A new owner of a cell does not know yet what its predecessor has started.
BOOST_AUTO_TEST_CASE(Cell_HasANewOwner_PredecessorStaysReservedUntilSynchronized)
{
  Begin();
  Report("a", 8'000, 8'000, 0, 8'000);
  fence_ = 2;
  Report("a", 0, 0, 0, 0, false);
  BOOST_TEST(Report("b", 0, 10'000, 1'000, 0) <= 2'000);
  Report("a", 500, 500, 0, 500);
  BOOST_TEST(Report("b", 0, 10'000, 1'000, 0) > 2'000);
}

// What is left must not be split into parts too small for any task.
BOOST_AUTO_TEST_CASE(Division_RoomForOneTaskOnly_GoesToTheLongestWaiting)
{
  Begin();
  Report("a", 3'000, 6'000, 3'000, 3'000);
  Report("b", 3'000, 6'000, 3'000, 3'000);
  const std::int64_t first = Report("a", 3'000, 6'000, 3'000, 3'000);
  const std::int64_t second = Report("b", 3'000, 6'000, 3'000, 3'000);
  BOOST_TEST(std::max(first, second) >= 6'000);
}

// A cell that kept its old grant would start more tasks under a lowered quota.
BOOST_AUTO_TEST_CASE(Quota_Lowered_GrantFallsToTheQuota)
{
  Begin();
  Report("a", 8'000, 10'000, 1'000, 9'000);
  plan_.quotas_ = { { "ada", Cpu(4'000) } };
  Report("a", 8'000, 10'000, 1'000, 9'000);
  BOOST_TEST(Report("a", 8'000, 10'000, 1'000, 9'000) == 4'000);
}

// A deployment without quotas must have no state that grows with its cells.
BOOST_AUTO_TEST_CASE(Plan_NoQuotas_TableIsEmpty)
{
  plan_.quotas_.clear();
  BOOST_TEST(Report("a", 1'000, 1'000, 0, 0) == 0);
  BOOST_TEST(table_.cells_.empty());
  BOOST_TEST(table_.organisations_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(QuotaUse)

BOOST_AUTO_TEST_CASE(Use_RunsAddedAndRemoved_IsTheirSum)
{
  organisations::QuotaUse use;
  CountRun(use, "ada", { 1'000, 10, 0 }, true, organisations::UseChange::kAdded);
  CountRun(use, "ada", { 500, 5, 1 }, false, organisations::UseChange::kAdded);
  CountRun(use, "", { 500, 5, 1 }, false, organisations::UseChange::kAdded);
  BOOST_TEST((UseOf(use, "ada", true) == Capacity{ 1'500, 15, 1 }));
  BOOST_TEST((UseOf(use, "ada", false) == Capacity{ 1'000, 10, 0 }));
  CountRun(use, "ada", { 500, 5, 1 }, false, organisations::UseChange::kRemoved);
  CountRun(use, "ada", { 1'000, 10, 0 }, true, organisations::UseChange::kRemoved);
  BOOST_TEST(use.organisations_.empty());
}

// A task that is larger than the whole quota would wait for ever.
BOOST_AUTO_TEST_CASE(Task_LargerThanItsQuota_StartsAlone)
{
  const Capacity quota{ 4'000, 0, 0 };
  const Capacity need = organisations::CountedNeed({ 6'000, 100, 0 }, quota);
  BOOST_TEST(MayStart(quota, {}, need, quota));
  BOOST_TEST(!MayStart(quota, { 1, 0, 0 }, need, quota));
}

// A resource without a limit must not hold back a task.
BOOST_AUTO_TEST_CASE(Task_NeedsAnUnlimitedResource_IsNotHeldBack)
{
  const Capacity quota{ 4'000, 0, 0 };
  BOOST_TEST(MayStart(quota, { 0, 9'000, 8 }, { 1'000, 100, 1 }, quota));
}

// The fleet's owner keeps room only for the grant that answers the last report.
BOOST_AUTO_TEST_CASE(Grants_AnswerToAnEarlierReport_AreIgnored)
{
  organisations::HeldGrants held;
  const clock::Moment now{ 1h };
  const auto first = BeginReport(held, now);
  const auto second = BeginReport(held, now + 1s);
  BOOST_TEST(!TakeGrants(held, first, { { "ada", { 9, 0, 0 } } }));
  BOOST_TEST(TakeGrants(held, second, { { "ada", { 5, 0, 0 } } }));
  BOOST_TEST(GrantFor(held, "ada", now + 2s).cpu_ == 5);
  BOOST_TEST(GrantFor(held, "ada", now + 1s + organisations::kGrantValidity).cpu_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
