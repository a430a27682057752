#include "include/quetzal/node/CellClaim.h"
#include "tests/unit/MemoryStore.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(CellClaimOrder)

BOOST_AUTO_TEST_CASE(Rank_HostWithFewestCells_IsFirst)
{
  const std::map<std::string, jobs::HostRecord> hosts{ { "a", {} }, { "b", {} }, { "c", {} } };
  const std::map<std::string, int> counts{ { "a", 1 }, { "c", 2 } };
  BOOST_TEST(node::ClaimRank("b", "x", hosts, counts) == 0U);
  BOOST_TEST(node::ClaimRank("a", "x", hosts, counts) == 1U);
  BOOST_TEST(node::ClaimRank("c", "x", hosts, counts) == 2U);
}

BOOST_AUTO_TEST_CASE(Rank_HostWithMoreCores_TakesMoreCells)
{
  std::map<std::string, jobs::HostRecord> hosts{ { "big", {} }, { "small", {} } };
  hosts["big"].processorShare_ = 0.5;
  hosts["small"].processorShare_ = 0.12;
  BOOST_TEST(node::ClaimRank("big", "x", hosts, { { "big", 3 } }) == 0U);
  BOOST_TEST(node::ClaimRank("big", "x", hosts, { { "big", 4 } }) == 1U);
}

BOOST_AUTO_TEST_CASE(Claim_HostJustStarted_WaitsForOtherHosts)
{
  const clock::Moment start = clock::Moment() + 1h;
  BOOST_TEST(!node::IsClaimDue({ start, start + 100ms, 0 }, start + 110ms));
  BOOST_TEST(
    !node::IsClaimDue({ start, start + 100ms, 0 }, start + node::kStartupClaimDelay - 1ms));
  BOOST_TEST(node::IsClaimDue({ start, start + 100ms, 0 }, start + node::kStartupClaimDelay));
}

BOOST_AUTO_TEST_CASE(Claim_HostJustStartedWithLowerRank_WaitsLongerThanTheFirst)
{
  const clock::Moment start = clock::Moment() + 1h;
  BOOST_TEST(
    !node::IsClaimDue({ start, start + 10ms, 1 }, start + node::kStartupClaimDelay + 100ms));
  BOOST_TEST(
    node::IsClaimDue({ start, start + 10ms, 1 }, start + node::kStartupClaimDelay + 200ms));
}

BOOST_AUTO_TEST_CASE(Claim_HostUpForLongAndRankedFirst_ClaimsAtOnce)
{
  const clock::Moment start = clock::Moment() + 1h;
  BOOST_TEST(node::IsClaimDue({ start, start + 60s, 0 }, start + 60s));
  BOOST_TEST(!node::IsClaimDue({ start, start + 60s, 2 }, start + 60s + 200ms));
}

BOOST_AUTO_TEST_CASE(HandOver_AnotherHostOwnsNoCell_IsDueForHostWithTwoCells)
{
  const std::map<std::string, jobs::HostRecord> hosts{ { "a", {} }, { "b", {} }, { "c", {} } };
  BOOST_TEST(node::ShouldHandOver("a", hosts, { { "a", 2 }, { "b", 1 } }));
  BOOST_TEST(!node::ShouldHandOver("b", hosts, { { "a", 2 }, { "b", 1 } }));
  BOOST_TEST(!node::ShouldHandOver("a", hosts, { { "a", 2 }, { "b", 1 }, { "c", 1 } }));
}

BOOST_AUTO_TEST_CASE(HandOver_SmallHostOwnsCellAndLargeHostNone_IsDue)
{
  std::map<std::string, jobs::HostRecord> hosts{ { "big", {} }, { "small", {} } };
  hosts["big"].processorShare_ = 0.5;
  hosts["small"].processorShare_ = 0.12;
  BOOST_TEST(node::ShouldHandOver("small", hosts, { { "small", 1 } }));
  BOOST_TEST(!node::ShouldHandOver("big", hosts, { { "big", 1 } }));
}

/** Guards against cells that move back and forth forever: hosts hand over cells until none should,
 * from different initial assignments. */
BOOST_AUTO_TEST_CASE(HandOver_RepeatedUntilNoneIsDue_Converges)
{
  std::map<std::string, jobs::HostRecord> hosts;
  for (int i = 0; i < 8; ++i) {
    hosts["h" + std::to_string(i)].processorShare_ = i < 3 ? 0.5 : 0.12;
  }
  for (int first = 0; first < 8; ++first) {
    std::map<std::string, int> counts{ { "h" + std::to_string(first), 5 } };
    int moves = 0;
    for (bool moved = true; moved && moves < 100;) {
      moved = false;
      for (const auto& [name, record] : hosts) {
        if (node::ShouldHandOver(name, hosts, counts)) {
          --counts[name];
          ++moves;
          moved = true;
          for (const auto& [other, otherRecord] : hosts) {
            if (node::ClaimRank(other, "x", hosts, counts) == 0) {
              ++counts[other];
              break;
            }
          }
        }
      }
    }
    BOOST_TEST(moves < 10);
    BOOST_TEST(counts["h0"] + counts["h1"] + counts["h2"] == 5);
  }
}

BOOST_AUTO_TEST_SUITE_END()

struct CellClaimFixture
{
  void StoreJob(const std::string& aId, const std::string& aCell)
  {
    store_.Put(cells::JobKey(aId), jobs::Encode(jobs::MakeJobRecord(aCell, "q", {}, 7)));
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
