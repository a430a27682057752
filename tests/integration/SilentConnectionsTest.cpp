#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;

/** A silent connection is established, carries nothing and is not closed, as after a firewall
 * dropped its state. A request that is written to it gets no answer and, where it is not
 * idempotent, cannot be sent again. */
struct SilentFixture
{
  SilentFixture()
    : deployment_(MakeOptions())
  {
    deployment_.Serve();
    for (int i = 0; i < 20; ++i) {
      deployment_.Get(0, "/?work_ms=5", "warm");
    }
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.backendServers_ = 2;
    options.proxied_ = true;
    options.promises_ = "    deadline_ms: 2000\n    longest_deadline_ms: 2000\n";
    return options;
  }

  /** Makes every established connection to the backend servers silent; new ones work. */
  void SilenceAll()
  {
    for (int i = 0; i < deployment_.BackendServerCount(); ++i) {
      deployment_.ControlProxy(i, "/control/silence");
    }
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(SilentConnections, SilentFixture)

BOOST_AUTO_TEST_CASE(Get_EveryConnectionSilent_IsAnsweredWithinItsDeadline)
{
  SilenceAll();
  BOOST_TEST(OutcomeOf(deployment_.Get(0, "/", "get")) == "answered");
}

/** After 700 ms without a byte, more than the 500 ms for which a connection is trusted, a POST must
 * be written only after a probe has shown that its connection works. */
BOOST_AUTO_TEST_CASE(Post_ConnectionsSilentForLongerThanTheProof_IsAnsweredAndRunsOnce)
{
  SilenceAll();
  Pause(std::chrono::milliseconds(700));
  BOOST_TEST(OutcomeOf(deployment_.Post(0, "/", "post")) == "answered");
  BOOST_TEST(deployment_.RunsOf("post") == 1);
}

/** The connections go silent while POSTs of 200 ms run on them. None may be sent again, and a later
 * POST must not be written to one of these connections. */
BOOST_AUTO_TEST_CASE(Posts_ConnectionsSilentInABurst_NoneRunsTwiceAndNewOnesAreAnswered)
{
  std::vector<std::unique_ptr<Call>> calls;
  calls.reserve(8);
  for (int i = 0; i < 8; ++i) {
    calls.push_back(std::make_unique<Call>(
      deployment_.Callers(0),
      deployment_.MakeRequest("POST", "/?work_ms=200", "burst-" + std::to_string(i))));
  }
  BOOST_TEST(WaitUntil(
    [this] { return deployment_.RunsOn(0, "burst-") + deployment_.RunsOn(1, "burst-") >= 4; }));
  SilenceAll();
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const std::string outcome = OutcomeOf(calls[i]->Wait());
    const int runs = deployment_.RunsOf("burst-" + std::to_string(i));
    const bool notRun = outcome.starts_with("not-run");
    BOOST_TEST((notRun ? runs == 0 : runs <= 1), outcome << " ran " << runs);
  }
  BOOST_TEST(OutcomeOf(deployment_.Post(0, "/", "next")) == "answered");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
