#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;

/** A planned stop (SIGTERM) must not cut a request that was accepted. Requests are lost where the
 * process ends or closes connections while requests are queued, running or still arriving. */
struct PlannedStopFixture
{
  PlannedStopFixture()
    : deployment_(MakeOptions())
  {
    deployment_.Serve();
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.zones_ = 2;
    options.backendServers_ = 2;
    options.promises_ = "    deadline_ms: 5000\n    longest_deadline_ms: 5000\n";
    return options;
  }

  /** Starts POSTs of 150 ms at one entry host. */
  void StartPostings(int aEntry, int aCount, const std::string& aPrefix)
  {
    for (int i = 0; i < aCount; ++i) {
      const std::string id = aPrefix + std::to_string(i);
      ids_.push_back(id);
      calls_.push_back(std::make_unique<Call>(
        deployment_.Callers(aEntry), deployment_.MakeRequest("POST", "/?work_ms=150", id)));
    }
  }

  /** Checks that every POST was answered and ran once. */
  void CheckAllAnswered()
  {
    for (std::size_t i = 0; i < calls_.size(); ++i) {
      BOOST_TEST(OutcomeOf(calls_[i]->Wait()) == "answered", ids_[i] << " was cut or refused");
      BOOST_TEST(deployment_.RunsOf(ids_[i]) == 1);
    }
  }

  Deployment deployment_;
  std::vector<std::string> ids_;
  std::vector<std::unique_ptr<Call>> calls_;
};

BOOST_FIXTURE_TEST_SUITE(PlannedStop, PlannedStopFixture)

BOOST_AUTO_TEST_CASE(EntryHost_StoppedUnderLoad_AnswersEveryAcceptedRequest)
{
  StartPostings(0, 60, "load-");
  BOOST_TEST(WaitUntil([this] { return deployment_.RunsOn(0, "load-") > 0; }));
  deployment_.EntryHost(0).Signal(SIGTERM);
  CheckAllAnswered();
  BOOST_TEST(deployment_.EntryHost(0).Wait() == 0);
}

/** A second SIGTERM must not end the process at once. */
BOOST_AUTO_TEST_CASE(EntryHost_StoppedTwice_StillAnswersEveryAcceptedRequest)
{
  StartPostings(0, 40, "twice-");
  BOOST_TEST(WaitUntil([this] { return deployment_.RunsOn(0, "twice-") > 0; }));
  deployment_.EntryHost(0).Signal(SIGTERM);
  Pause(std::chrono::milliseconds(50));
  deployment_.EntryHost(0).Signal(SIGTERM);
  CheckAllAnswered();
  BOOST_TEST(deployment_.EntryHost(0).Wait() == 0);
}

/** The load balancer sends new requests until it has seen the failing health check. These must be
 * served, on connections that close after the answer. */
BOOST_AUTO_TEST_CASE(EntryHost_Stopping_HealthFailsWhileNewRequestsAreServed)
{
  StartPostings(0, 1, "held-");
  deployment_.EntryHost(0).Signal(SIGTERM);
  std::optional<Response> health;
  BOOST_TEST(WaitUntil([this, &health] {
    health = Send(deployment_.Callers(0), { "GET", "/health", { { "Host", "balancer" } }, {} });
    return health && health->status_ == 503U;
  }));
  const auto late = deployment_.Post(0, "/", "late");
  BOOST_TEST(OutcomeOf(late) == "answered");
  BOOST_TEST(!late->keepAlive_);
  CheckAllAnswered();
  BOOST_TEST(deployment_.EntryHost(0).Wait() == 0);
}

/** A caller's idle connection must not keep the process from ending. */
BOOST_AUTO_TEST_CASE(EntryHost_StoppedWithIdleConnections_Ends)
{
  Call idle(deployment_.Callers(0), deployment_.MakeRequest("GET", "/", "idle"));
  BOOST_TEST(OutcomeOf(idle.Wait()) == "answered");
  deployment_.EntryHost(0).Signal(SIGTERM);
  BOOST_TEST(deployment_.EntryHost(0).Wait() == 0);
}

/** The process must not end before the answer is stored for its key. Otherwise a resubmission would
 * find a claim without an answer. */
BOOST_AUTO_TEST_CASE(EntryHost_StoppedWithAKeyedPostInFlight_KeepsItsAnswer)
{
  const Request request = deployment_.MakeRequest("POST", "/?work_ms=300", "kept", "key-kept");
  Call call(deployment_.Callers(0), request);
  BOOST_TEST(WaitUntil([this] { return deployment_.RunsOf("kept") == 1; }));
  deployment_.EntryHost(0).Signal(SIGTERM);
  BOOST_TEST(OutcomeOf(call.Wait()) == "answered");
  BOOST_TEST(deployment_.EntryHost(0).Wait() == 0);
  const auto again = Send(deployment_.Callers(1), request);
  BOOST_TEST(OutcomeOf(again) == "answered");
  BOOST_TEST(FieldOf(again, "Quetzal-Replayed") == "true");
  BOOST_TEST(deployment_.RunsOf("kept") == 1);
}

/** Entry hosts must move requests to other servers before a stopping backend server closes its
 * connections. */
BOOST_AUTO_TEST_CASE(BackendServer_StoppedUnderLoad_CutsNothing)
{
  deployment_.BackendServer(0).Signal(SIGTERM);
  for (int round = 0; round < 20; ++round) {
    StartPostings(round % 2, 4, "round-" + std::to_string(round) + "-");
    Pause(std::chrono::milliseconds(200));
  }
  for (const auto& call : calls_) {
    BOOST_TEST(OutcomeOf(call->Wait()) == "answered");
  }
  BOOST_TEST(deployment_.BackendServer(0).Wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
