#include "include/quetzal/shares/GrantTable.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace {

using namespace quetzal::shares;
using namespace std::chrono_literals;
using quetzal::clock::Moment;

struct GrantFixture
{
  int Request(const std::string& aHolder, int aHeld, int aInUse, int aWanted)
  {
    return Grant(table_, aHolder, { aHeld, aInUse, aWanted }, terms_, now_);
  }

  Moment now_ = Moment{} + 1h;
  ShareTerms terms_{ 1s, 2s };
  GrantTable table_{ 8, Moment{}, {} };
};

BOOST_FIXTURE_TEST_SUITE(Grants, GrantFixture)

BOOST_AUTO_TEST_CASE(FairShares_DemandExceedsSlots_DividesEvenly)
{
  BOOST_TEST(FairShares(8, { 1, 10, 10 }) == (std::vector<int>{ 1, 4, 3 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Grant_OnlyHolder_GetsWhatItWants)
{
  BOOST_TEST(Request("a", 0, 0, 8) == 8);
}

BOOST_AUTO_TEST_CASE(Grant_AllSlotsHeldByAnother_GetsNothingUntilSomeAreReturned)
{
  BOOST_TEST(Request("a", 0, 0, 8) == 8);
  BOOST_TEST(Request("b", 0, 0, 4) == 0);
  BOOST_TEST(Request("a", 8, 2, 8) == 4);
  BOOST_TEST(Request("b", 0, 0, 4) == 0);
  BOOST_TEST(Request("a", 4, 2, 8) == 4);
  BOOST_TEST(Request("b", 0, 0, 4) == 4);
}

BOOST_AUTO_TEST_CASE(Grant_AllSlotsInUse_OthersGetThemOnlyAsRequestsEnd)
{
  Request("a", 0, 0, 8);
  BOOST_TEST(Request("a", 8, 8, 16) == 8);
  BOOST_TEST(Request("b", 0, 0, 8) == 0);
  BOOST_TEST(Request("a", 8, 8, 16) == 4);
  BOOST_TEST(Request("b", 0, 0, 8) == 0);
  BOOST_TEST(Request("a", 4, 6, 16) == 4);
  BOOST_TEST(Request("b", 0, 0, 8) == 2);
  BOOST_TEST(Request("a", 4, 4, 16) == 4);
  BOOST_TEST(Request("b", 2, 2, 8) == 4);
}

BOOST_AUTO_TEST_CASE(Grant_HolderAlwaysBusy_DoesNotKeepMoreThanItsFairShare)
{
  Request("a", 0, 0, 8);
  int held = 8;
  int inUse = 8;
  for (int i = 0; i < 10; ++i) {
    Request("b", 0, 0, 16);
    held = Request("a", held, inUse, 16);
    inUse = std::max(held, inUse - 2);
  }
  BOOST_TEST(held == 4);
}

BOOST_AUTO_TEST_CASE(Grant_HolderStopsReporting_SlotsAreFreeAfterTermAndMaxRequestTime)
{
  Request("a", 0, 0, 8);
  now_ += 2900ms;
  BOOST_TEST(Request("b", 0, 0, 4) == 0);
  now_ += 200ms;
  BOOST_TEST(Request("b", 0, 0, 4) == 4);
}

BOOST_AUTO_TEST_CASE(Grant_TableFrozen_RenewsOnlyHeldShares)
{
  table_.frozenUntil_ = now_ + 3s;
  BOOST_TEST(Request("a", 3, 1, 8) == 3);
  BOOST_TEST(Request("b", 0, 0, 8) == 0);
  now_ += 3s;
  BOOST_TEST(Request("b", 0, 0, 8) > 0);
}

/** Simulates holders to which answers are lost at random, and checks after every step that no more
 * slots are in use than the backend server has. */
BOOST_AUTO_TEST_CASE(Grant_AnswersLostAtRandom_NeverMoreInUseThanSlots)
{
  struct Holder
  {
    int held_ = 0;
    int inUse_ = 0;
    Moment until_{};
  };
  std::mt19937 random(11);
  const auto draw = [&random](int aBelow) {
    return static_cast<int>(random() % static_cast<unsigned>(aBelow));
  };
  std::vector<Holder> holders(5);
  for (int step = 0; step < 20'000; ++step) {
    now_ += std::chrono::milliseconds(draw(60));
    const auto index = static_cast<std::size_t>(draw(5));
    Holder& holder = holders[index];
    holder.held_ = now_ < holder.until_ ? holder.held_ : 0;
    holder.inUse_ = draw(2) == 0 ? std::max(0, holder.inUse_ - draw(3)) : holder.inUse_;
    const int granted =
      Request(std::to_string(index), holder.held_, holder.inUse_, holder.inUse_ + draw(9));
    if (draw(4) != 0) {
      holder.held_ = granted;
      holder.until_ = now_ + terms_.term_;
    }
    if (now_ < holder.until_ && holder.held_ > holder.inUse_) {
      holder.inUse_ += draw(holder.held_ - holder.inUse_ + 1);
    }
    int sum = 0;
    for (const Holder& each : holders) {
      sum += each.inUse_;
    }
    BOOST_REQUIRE(sum <= 8);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
