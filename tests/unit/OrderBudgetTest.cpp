#include "include/quetzal/fleet/OrderBudget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace {

using namespace quetzal;
using namespace quetzal::fleet;
using namespace std::chrono_literals;

struct OrderBudgetFixture
{
  /** Sends as many orders as the budget allows, with one plan in each interval. */
  std::vector<clock::Moment> Send(double aPerSecond,
                                  std::chrono::milliseconds aInterval,
                                  std::chrono::milliseconds aTime)
  {
    std::vector<clock::Moment> sent;
    OrderBudget budget{ 0, start_ };
    for (clock::Moment now = start_; now < start_ + aTime; now += aInterval) {
      while (TakeOrder(budget, aPerSecond, now)) {
        sent.push_back(now);
      }
    }
    return sent;
  }

  static std::ptrdiff_t MostInOneSecond(const std::vector<clock::Moment>& aSent)
  {
    std::ptrdiff_t most = 0;
    for (auto first = aSent.begin(); first != aSent.end(); ++first) {
      const auto end = std::lower_bound(first, aSent.end(), *first + 1s);
      most = std::max(most, end - first);
    }
    return most;
  }

  const clock::Moment start_ = clock::Moment{} + 1h;
};

BOOST_FIXTURE_TEST_SUITE(OrderBudgetTest, OrderBudgetFixture)

/** A fleet of a thousand hosts may order 600 moves a second, and plans every 150 ms. */
BOOST_AUTO_TEST_CASE(Orders_OfALargeFleet_UseThreeQuartersOfTheLimit)
{
  const auto sent = Send(600, 150ms, 10s);
  BOOST_TEST(sent.size() >= 0.75 * 600 * 10);
}

BOOST_AUTO_TEST_CASE(Orders_AfterARest_StayWithinTheLimitInEachSecond)
{
  for (const auto interval : { 20ms, 150ms, 190ms }) {
    BOOST_TEST(MostInOneSecond(Send(600, interval, 10s)) <= 600);
  }
  OrderBudget budget{ 0, start_ };
  std::vector<clock::Moment> sent;
  for (clock::Moment now = start_ + 1h; now < start_ + 1h + 3s; now += 50ms) {
    while (TakeOrder(budget, 600, now)) {
      sent.push_back(now);
    }
  }
  BOOST_TEST(MostInOneSecond(sent) <= 600);
}

BOOST_AUTO_TEST_CASE(Order_WithoutBudget_Waits)
{
  OrderBudget budget{ 0, start_ };
  BOOST_TEST(!TakeOrder(budget, 10, start_));
  BOOST_TEST(TakeOrder(budget, 10, start_ + 200ms));
  BOOST_TEST(!TakeOrder(budget, 10, start_ + 201ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
