#include "include/quetzal/node/Tombstones.h"

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/jobs/RecordCell.h"
#include "tests/unit/MemoryStore.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::node;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** Tombstones on a store in memory. */
struct TombstonesFixture
{
  TombstoneResult Store(const std::string& aJob, const std::string& aOrganisation = {})
  {
    std::optional<TombstoneResult> result;
    tombstones_.Store(
      aJob, aOrganisation, [&result](const TombstoneResult& aResult) { result = aResult; });
    store_.AnswerAll();
    BOOST_TEST_REQUIRE(result.has_value());
    return *result;
  }

  std::optional<jobs::TombstoneRecord> Stored(const std::string& aJob) const
  {
    const auto item = store_.Items().find(cells::JobKey(aJob));
    return item == store_.Items().end() ? std::nullopt : jobs::ReadTombstone(item->second.value_);
  }

  MemoryStore store_;
  metrics::Registry metrics_;
  Tombstones tombstones_{ store_, metrics_, nullptr };
};

BOOST_FIXTURE_TEST_SUITE(TombstonesInTheStore, TombstonesFixture)

BOOST_AUTO_TEST_CASE(Store_JobIsUnknown_IsStoredWithItsOrganisation)
{
  BOOST_CHECK(Store("job1", "org").outcome_ == TombstoneOutcome::kStored);
  BOOST_TEST_REQUIRE(Stored("job1").has_value());
  BOOST_TEST(Stored("job1")->organisation_ == "org");
}

BOOST_AUTO_TEST_CASE(Store_JobWasAcceptedFirst_RecordIsReturnedUnchanged)
{
  store_.Put(cells::JobKey("job1"), "record");
  const TombstoneResult result = Store("job1");
  BOOST_CHECK(result.outcome_ == TombstoneOutcome::kJobExists);
  BOOST_TEST(result.record_ == "record");
  BOOST_TEST(store_.Items().at(cells::JobKey("job1")).value_ == "record");
}

BOOST_AUTO_TEST_CASE(Store_TombstoneExists_IsRenewedUnderTheCurrentLease)
{
  Store("job1");
  const std::int64_t revision = store_.RevisionOf(cells::JobKey("job1"));
  BOOST_CHECK(Store("job1").outcome_ == TombstoneOutcome::kStored);
  BOOST_TEST(store_.RevisionOf(cells::JobKey("job1")) > revision);
}

BOOST_AUTO_TEST_CASE(Store_TombstoneIsOfAnotherOrganisation_IsForbidden)
{
  Store("job1", "first");
  BOOST_CHECK(Store("job1", "second").outcome_ == TombstoneOutcome::kForbidden);
  BOOST_TEST(Stored("job1")->organisation_ == "first");
}

BOOST_AUTO_TEST_CASE(Store_AnswerIsLost_IsStoredAgain)
{
  store_.InjectFault(CommitFault::kAnswerLost);
  BOOST_CHECK(Store("job1").outcome_ == TombstoneOutcome::kStored);
}

// The caller must not be told that no such job exists before that is certain.
BOOST_AUTO_TEST_CASE(Store_AllAnswersAreLost_OutcomeIsUnknown)
{
  for (int i = 0; i < 10; ++i) {
    store_.InjectFault(CommitFault::kDelayed);
  }
  BOOST_CHECK(Store("job1").outcome_ == TombstoneOutcome::kUnknown);
  BOOST_TEST(!Stored("job1").has_value());
}

// The first commit may still be carried out, so that nothing may be said of the job.
BOOST_AUTO_TEST_CASE(Store_RefusedAfterALostAnswer_OutcomeIsUnknown)
{
  store_.InjectFault(CommitFault::kDelayed);
  store_.InjectFault(CommitFault::kRefused);
  BOOST_CHECK(Store("job1").outcome_ == TombstoneOutcome::kUnknown);
}

BOOST_AUTO_TEST_CASE(Store_StoreRefuses_NothingIsStored)
{
  store_.InjectFault(CommitFault::kRefused);
  BOOST_CHECK(Store("job1").outcome_ == TombstoneOutcome::kRefused);
  BOOST_TEST(!Stored("job1").has_value());
}

BOOST_AUTO_TEST_CASE(Store_LeaseHasEnded_IsStoredUnderAnother)
{
  Store("job1");
  store_.EndLease(store_.LastLease());
  BOOST_TEST(!Stored("job1").has_value());
  BOOST_CHECK(Store("job2").outcome_ == TombstoneOutcome::kStored);
  BOOST_TEST(Stored("job2").has_value());
}

BOOST_AUTO_TEST_CASE(Store_LeaseIsTooShort_IsRefused)
{
  store_.LimitLeases(kMinTombstoneLifetime);
  BOOST_CHECK(Store("job1").outcome_ == TombstoneOutcome::kRefused);
  BOOST_TEST(!Stored("job1").has_value());
}

// Load: 1,000 cancels of random ids while the store answers nothing.
BOOST_AUTO_TEST_CASE(Store_CrowdWhileTheStoreIsSlow_MostAreRefusedAtOnce)
{
  int refused = 0;
  int stored = 0;
  for (int i = 0; i < 1'000; ++i) {
    tombstones_.Store("job" + std::to_string(i), {}, [&](const TombstoneResult& aResult) {
      refused += aResult.outcome_ == TombstoneOutcome::kRefused ? 1 : 0;
      stored += aResult.outcome_ == TombstoneOutcome::kStored ? 1 : 0;
    });
  }
  BOOST_TEST(refused > 900);
  store_.AnswerAll();
  BOOST_TEST(refused + stored == 1'000);
  BOOST_CHECK(Store("job").outcome_ == TombstoneOutcome::kStored);
}

BOOST_AUTO_TEST_CASE(Record_TombstoneAndJob_AreNotTakenForEachOther)
{
  const std::string tombstone = jobs::Encode(jobs::TombstoneRecord{ {}, 1, "org" });
  jobs::JobRecord job;
  BOOST_TEST(!jobs::Decode(tombstone, job));
  BOOST_TEST(!jobs::ReadTombstone(jobs::Encode(jobs::MakeJobRecord("svc", {}, 1))).has_value());
  BOOST_TEST(!jobs::ReadTombstone("\x91\xa0").has_value());
  BOOST_TEST(jobs::CellOf(tombstone).value_or("svc").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
