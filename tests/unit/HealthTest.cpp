#include "include/quetzal/connection/Health.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::connection;

BOOST_AUTO_TEST_SUITE(HealthRequests)

BOOST_AUTO_TEST_CASE(Health_FirstRequestFails_IsFailing)
{
  BOOST_CHECK(AfterFailure({}).state_ == HealthState::kFailing);
}

BOOST_AUTO_TEST_CASE(Health_OneFailureAfterAnAnswer_StaysHealthy)
{
  const Health healthy = AfterAnswer({}, 200);
  BOOST_CHECK(AfterFailure(healthy).state_ == HealthState::kHealthy);
  BOOST_CHECK(AfterFailure(AfterFailure(healthy)).state_ == HealthState::kFailing);
  BOOST_CHECK(AfterFailure(AfterAnswer(AfterFailure(healthy), 204)).state_ ==
              HealthState::kHealthy);
}

BOOST_AUTO_TEST_CASE(Health_Answers503_IsLeavingWithoutAFailure)
{
  const Health leaving = AfterAnswer({ HealthState::kHealthy, 0 }, 503);
  BOOST_CHECK(leaving.state_ == HealthState::kLeaving);
  BOOST_TEST(leaving.failures_ == 0);
  BOOST_CHECK(AfterAnswer({ HealthState::kHealthy, 1 }, 500).state_ == HealthState::kFailing);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
