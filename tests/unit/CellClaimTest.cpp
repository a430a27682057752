#include "include/quetzal/node/CellClaim.h"
#include "tests/unit/MemoryStore.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;

struct CellClaimFixture
{
  void StoreJob(const std::string& aId, const std::string& aCell)
  {
    store_.Put(cells::JobKey(aId),
               jobs::Encode(jobs::MakeJobRecord(aCell, { "q", aId, {}, {} }, 7)));
  }

  /** Returns the keys of the job records that the new owner of a cell gets. */
  std::vector<std::string> KeysGivenToOwnerOf(const std::string& aCell)
  {
    std::optional<node::ClaimedCell> claimed;
    node::CellClaim claim(store_, aCell, {}, 1, 0, nullptr);
    QObject::connect(
      &claim, &node::CellClaim::Won, &claim, [&claimed](const auto& aWon) { claimed = aWon; });
    claim.Start();
    store_.AnswerAll();
    BOOST_REQUIRE(claimed.has_value());
    std::vector<std::string> keys;
    for (const store::KeyValue& item : claimed->predecessorState_.jobs_) {
      keys.push_back(item.key_);
    }
    return keys;
  }

  test::MemoryStore store_;
};

BOOST_FIXTURE_TEST_SUITE(CellClaimRead, CellClaimFixture)

BOOST_AUTO_TEST_CASE(Claim_MostJobsAreOfOtherCells_OwnerGetsOnlyItsOwn)
{
  constexpr int kOthers = 500;
  for (int i = 0; i < kOthers; ++i) {
    StoreJob("other" + std::to_string(i), i % 2 == 0 ? "svc2" : "sv");
  }
  StoreJob("job1", "svc");
  StoreJob("zjob", "svc");
  const std::vector<std::string> expected{ cells::JobKey("job1"), cells::JobKey("zjob") };
  BOOST_TEST(KeysGivenToOwnerOf("svc") == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Claim_RecordIsMalformed_IsLeftToTheOwnerToReport)
{
  store_.Put(cells::JobKey("job1"), "x");
  BOOST_TEST(KeysGivenToOwnerOf("svc").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
