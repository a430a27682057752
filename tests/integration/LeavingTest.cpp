#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;

/** The users' "a few seconds" after which a leaving backend server receives no new work. */
constexpr std::chrono::milliseconds kFewSeconds{ 5'000 };
constexpr int kRequestsAfter = 60;

/** A backend server that is about to end must not get new work, or its requests are cut when it
 * ends. Entry hosts learn of this from the platform's list of hosts or from the server's health
 * check. */
struct LeavingFixture
{
  LeavingFixture()
    : deployment_(MakeOptions())
  {
    deployment_.Serve();
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.zones_ = 2;
    options.backendServers_ = 2;
    return options;
  }

  /** Checks that the first backend server gets no new work after a few seconds. */
  void CheckNoNewWork()
  {
    Pause(kFewSeconds);
    for (int i = 0; i < kRequestsAfter; ++i) {
      const int entry = i % deployment_.EntryHostCount();
      const std::string id = "after-" + std::to_string(i);
      BOOST_TEST(OutcomeOf(deployment_.Post(entry, "/", id)) == "answered");
    }
    BOOST_TEST(deployment_.RunsOn(0, "after-") == 0);
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(Leaving, LeavingFixture)

BOOST_AUTO_TEST_CASE(BackendServer_LeavingInThePlatformsList_GetsNoNewWork)
{
  deployment_.ControlPlatform("/control/hosts", R"({"host-0": "leaving"})");
  CheckNoNewWork();
}

BOOST_AUTO_TEST_CASE(BackendServer_LeavingByItsOwnHealth_GetsNoNewWork)
{
  deployment_.ControlBackend(0, "/control/leaving", "true");
  CheckNoNewWork();
}

/** Without the platform the list of hosts is not updated. The health check alone must be enough. */
BOOST_AUTO_TEST_CASE(BackendServer_LeavingWhileThePlatformIsCutOff_GetsNoNewWork)
{
  deployment_.ControlPlatform("/control/faults", R"({"down": true})");
  deployment_.ControlPlatform("/control/hosts", R"({"host-0": "leaving"})");
  deployment_.ControlBackend(0, "/control/leaving", "true");
  CheckNoNewWork();
}

/** A server that stays after all must not be left without work. */
BOOST_AUTO_TEST_CASE(BackendServer_NoLongerLeaving_GetsWorkAgain)
{
  deployment_.ControlBackend(0, "/control/leaving", "true");
  Pause(kFewSeconds);
  deployment_.ControlBackend(0, "/control/leaving", "false");
  BOOST_TEST(WaitUntil([this] {
    deployment_.Post(0, "/", "back-again");
    return deployment_.RunsOn(0, "back-") > 0;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
