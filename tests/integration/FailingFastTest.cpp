#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;

/** A backend server that answers 500 at once always has free slots. A choice by free slots alone
 * would send it more requests than any healthy server gets. */
struct FailingFastFixture
{
  FailingFastFixture()
    : deployment_(MakeOptions())
  {
    deployment_.Serve();
    deployment_.ControlBackend(0, "/control/mode", "fail");
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.backendServers_ = 10;
    return options;
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(FailingFast, FailingFastFixture)

/** One of ten backend servers answers 500 at once. It must get at most half of an even share, which
 * is a tenth of the requests. */
BOOST_AUTO_TEST_CASE(Posts_OneServerFailsAtOnce_ItGetsAtMostHalfItsEvenShare)
{
  constexpr int kRequests = 400;
  int lost = 0;
  for (int i = 0; i < kRequests; i += 4) {
    std::vector<std::unique_ptr<Call>> calls;
    calls.reserve(4);
    for (int j = 0; j < 4; ++j) {
      calls.push_back(std::make_unique<Call>(
        deployment_.Callers(0),
        deployment_.MakeRequest("POST", "/?work_ms=10", "post-" + std::to_string(i + j))));
    }
    for (const auto& call : calls) {
      lost += call->Wait()->status_ == 500U ? 1 : 0;
    }
  }
  BOOST_TEST(lost <= kRequests / 10 / 2);
  BOOST_TEST_MESSAGE("lost " << lost << " of " << kRequests);
}

/** An idempotent request that the failing server answered with 500 must be sent to another server.
 */
BOOST_AUTO_TEST_CASE(Gets_OneServerFailsAtOnce_NoneIsLost)
{
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(deployment_.Get(0, "/?work_ms=2", "get")->status_ == 200U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
