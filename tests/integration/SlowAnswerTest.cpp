#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;

/** A service whose answers have taken 2 ms so far. An idempotent request that takes 1.5 s looks
 * like one on a silent connection: its first attempt is given up and another server is tried. Only
 * the first attempt may be given up for this. */
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

/** Every attempt takes 1.5 s. If each were given up early, the request would never be answered. */
BOOST_AUTO_TEST_CASE(Get_AnswerFarSlowerThanUsual_IsAnsweredWithinItsDeadline)
{
  const auto answer = deployment_.Get(0, "/?work_ms=1500", "slow");
  BOOST_TEST(OutcomeOf(answer) == "answered");
}

/** More than one further attempt would multiply the load of a service that has become slow. */
BOOST_AUTO_TEST_CASE(Get_AnswerFarSlowerThanUsual_RunsTwiceAtMost)
{
  deployment_.Get(0, "/?work_ms=1500", "slow");
  BOOST_TEST(deployment_.RunsOf("slow") <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
