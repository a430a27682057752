#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;

/** A service whose answers have been quick so far. */
struct SlowAnswerFixture
{
  SlowAnswerFixture()
    : deployment_(MakeOptions())
  {
    deployment_.Serve();
    for (int i = 0; i < 40; ++i) {
      deployment_.Get(0, "/?work_ms=2", "warm");
    }
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.backendServers_ = 4;
    options.promises_ = "    deadline_ms: 6000\n    longest_deadline_ms: 6000\n";
    return options;
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(SlowAnswers, SlowAnswerFixture)

BOOST_AUTO_TEST_CASE(Get_AnswerFarSlowerThanUsual_IsAnsweredWithinItsDeadline)
{
  const auto answer = deployment_.Get(0, "/?work_ms=1500", "slow");
  BOOST_TEST(OutcomeOf(answer) == "answered");
}

BOOST_AUTO_TEST_CASE(Get_AnswerFarSlowerThanUsual_RunsTwiceAtMost)
{
  deployment_.Get(0, "/?work_ms=1500", "slow");
  BOOST_TEST(deployment_.RunsOf("slow") <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
