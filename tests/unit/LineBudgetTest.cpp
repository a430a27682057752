#include "include/quetzal/log/LineBudget.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::log;
using namespace std::chrono_literals;

constexpr std::size_t kLineBytes = 150;

/** Takes lines until one is dropped. @return how many were written. */
std::size_t
WriteAll(LineBudget& aBudget, Level aLevel, std::size_t aMaxLines)
{
  std::size_t lines = 0;
  while (lines < aMaxLines && TakeLine(aBudget, aLevel, kLineBytes)) {
    ++lines;
  }
  return lines;
}

BOOST_AUTO_TEST_SUITE(LineBudgetOfASecond)

BOOST_AUTO_TEST_CASE(Lines_MoreDetailsThanFit_InfoAndWarningsAreKept)
{
  LineBudget budget;
  AdvanceTo(budget, 1s);
  BOOST_TEST(WriteAll(budget, Level::kDetail, 10'000) < 10'000U);
  BOOST_TEST(budget.droppedLines_ == 1U);
  BOOST_TEST(WriteAll(budget, Level::kInfo, 1'000) == 1'000U);
  BOOST_TEST(!TakeLine(budget, Level::kDetail, kLineBytes));
  BOOST_TEST(budget.droppedLines_ == 2U);
}

BOOST_AUTO_TEST_CASE(Lines_MoreInfoThanFits_OnlyWarningsAreKept)
{
  LineBudget budget;
  BOOST_TEST(WriteAll(budget, Level::kInfo, 100'000) < 100'000U);
  BOOST_TEST(WriteAll(budget, Level::kWarning, 1'000) == 1'000U);
}

BOOST_AUTO_TEST_CASE(Second_Next_HasABudgetOfItsOwn)
{
  LineBudget budget;
  WriteAll(budget, Level::kDetail, 100'000);
  AdvanceTo(budget, 0s);
  BOOST_TEST(!TakeLine(budget, Level::kDetail, kLineBytes));
  AdvanceTo(budget, 1s);
  BOOST_TEST(TakeLine(budget, Level::kDetail, kLineBytes));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
