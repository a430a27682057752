#include "include/quetzal/placement/Speculation.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::placement;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Speculation)

BOOST_AUTO_TEST_CASE(Task_FarOlderThanItsSiblings_IsAStraggler)
{
  BOOST_TEST(IsStraggler({ 1'300ms, 5'000ms, 8, 6, 700ms }));
  BOOST_TEST(!IsStraggler({ 1'100ms, 5'000ms, 8, 6, 700ms }));
}

BOOST_AUTO_TEST_CASE(Task_FewSiblingsDone_IsComparedWithItsEstimate)
{
  BOOST_TEST(!IsStraggler({ 1'300ms, 700ms, 8, 2, 100ms }));
  BOOST_TEST(IsStraggler({ 2'200ms, 700ms, 8, 2, 100ms }));
}

BOOST_AUTO_TEST_CASE(Task_JustStarted_IsNotAStraggler)
{
  BOOST_TEST(!IsStraggler({ 200ms, 10ms, 1, 0, 0ms }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
