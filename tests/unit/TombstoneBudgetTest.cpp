#include "include/quetzal/node/TombstoneBudget.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::node;
using namespace std::chrono_literals;

/** A full budget, and a load of cancels for it. */
struct TombstoneBudgetFixture
{
  /** Returns how many of a number of tombstones may be stored now. */
  int Take(const std::string& aOrganisation, int aCount)
  {
    int taken = 0;
    for (int i = 0; i < aCount; ++i) {
      taken += TakeTombstone(budget_, aOrganisation, now_) ? 1 : 0;
    }
    return taken;
  }

  TombstoneBudget budget_;
  clock::Moment now_{ 1h };
};

BOOST_FIXTURE_TEST_SUITE(BudgetOfTombstones, TombstoneBudgetFixture)

// Load: 100,000 cancels of random ids at once. Each host that claims a cell reads every tombstone.
BOOST_AUTO_TEST_CASE(Take_CrowdOfCancels_IsBounded)
{
  BOOST_TEST(Take({}, 100'000) == static_cast<int>(kMaxTombstones));
}

BOOST_AUTO_TEST_CASE(Take_CrowdOfOneOrganisation_LeavesRoomForOthers)
{
  BOOST_TEST(Take("crowd", 100'000) == static_cast<int>(kMaxTombstonesOfOrganisation));
  BOOST_TEST(Take("calm", 20) == 20);
}

BOOST_AUTO_TEST_CASE(Take_RefusedForItsOrganisation_CostsOthersNothing)
{
  Take("crowd", 100'000);
  const double left = budget_.all_.tokens_;
  BOOST_TEST(Take("crowd", 1'000) == 0);
  BOOST_TEST(budget_.all_.tokens_ == left);
}

BOOST_AUTO_TEST_CASE(Take_TermIsOver_BudgetIsFullAgain)
{
  Take({}, 100'000);
  now_ += kTombstoneTerm / 2;
  BOOST_TEST(Take({}, 100'000) == static_cast<int>(kMaxTombstones / 2));
  now_ += 10 * kTombstoneTerm;
  BOOST_TEST(Take({}, 100'000) == static_cast<int>(kMaxTombstones));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
