#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;

/** A request that is not idempotent must run at most once. It could run twice where it is sent
 * again after its connection was lost, or after a second submission with the same Idempotency-Key.
 */
struct AtMostOnceFixture
{
  AtMostOnceFixture()
    : deployment_(MakeOptions())
  {
    deployment_.Serve();
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.zones_ = 2;
    options.promises_ = "    deadline_ms: 1500\n    longest_deadline_ms: 5000\n";
    return options;
  }

  /** Answers a few GETs, so that later requests use kept connections to the backend servers. */
  void WarmUp()
  {
    for (int i = 0; i < 4; ++i) {
      BOOST_TEST(OutcomeOf(deployment_.Get(0, "/", "warm")) == "answered");
    }
  }

  /** Checks that a POST whose backend server reads it and then misbehaves runs once, and that its
   * caller is sent the outcome "unknown". */
  void CheckLostAnswer(const std::string& aMode, const std::string& aOutcome)
  {
    deployment_.SetMode(aMode);
    const std::string id = "post-" + aMode;
    const auto response = deployment_.Post(0, "/ledger", id);
    BOOST_TEST(OutcomeOf(response) == aOutcome);
    BOOST_TEST(response->status_ == 504U);
    BOOST_TEST(deployment_.RunsOf(id) == 1);
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(AtMostOnce, AtMostOnceFixture)

BOOST_AUTO_TEST_CASE(Post_BackendClosesAfterRead_RunsOnceAndIsUnknown)
{
  CheckLostAnswer("close-after-read", "unknown connection-lost");
}

BOOST_AUTO_TEST_CASE(Post_BackendClosesAfterReadOnReusedConnection_RunsOnceAndIsUnknown)
{
  WarmUp();
  CheckLostAnswer("close-after-read", "unknown connection-lost");
}

BOOST_AUTO_TEST_CASE(Post_BackendResetsAfterReadOnReusedConnection_RunsOnceAndIsUnknown)
{
  WarmUp();
  CheckLostAnswer("reset-after-read", "unknown connection-lost");
}

BOOST_AUTO_TEST_CASE(Post_BackendSilentAfterRead_RunsOnceAndIsUnknown)
{
  WarmUp();
  CheckLostAnswer("silent", "unknown deadline-passed");
}

/** An idempotent request must not fail because one backend server closes its connection: a second
 * attempt goes to another server. */
BOOST_AUTO_TEST_CASE(Get_BackendClosesAfterRead_IsSentAgain)
{
  deployment_.ControlBackend(0, "/control/mode", "close-after-read");
  BOOST_TEST(OutcomeOf(deployment_.Get(0, "/", "get")) == "answered");
  BOOST_TEST(deployment_.RunsOf("get") == 2);
}

/** The entry host that claimed the key is killed while the request runs. Its claim stays in the
 * store, so that a resubmission at another entry host must not run the request again. */
BOOST_AUTO_TEST_CASE(KeyedPost_EntryHostKilledInMidRequest_ResubmissionElsewhereDoesNotRun)
{
  Call first(deployment_.Callers(0),
             deployment_.MakeRequest("POST", "/ledger?work_ms=1000", "killed", "key-killed"));
  BOOST_TEST(WaitUntil([this] { return deployment_.RunsOf("killed") == 1; }));
  deployment_.EntryHost(0).Signal(SIGKILL);
  BOOST_TEST(OutcomeOf(first.Wait()) == "cut");
  const auto second = deployment_.Post(1, "/ledger?work_ms=1000", "killed", "key-killed");
  BOOST_TEST(OutcomeOf(second) == "unknown claim-held");
  BOOST_TEST(deployment_.RunsOf("killed") == 1);
}

/** Two entry hosts that both find the key free must not both claim it: the store's comparison lets
 * only one of the two writes succeed. */
BOOST_AUTO_TEST_CASE(KeyedPost_SameKeyAtTwoEntryHostsAtOnce_RunsOnce)
{
  for (int i = 0; i < 20; ++i) {
    const std::string id = "race-" + std::to_string(i);
    const Request request = deployment_.MakeRequest("POST", "/ledger?work_ms=20", id, id);
    Call first(deployment_.Callers(0), request);
    Call second(deployment_.Callers(1), request);
    first.Wait();
    second.Wait();
    BOOST_TEST(deployment_.RunsOf(id) == 1);
  }
}

/** The store carries out the write of the claim, and its answer is lost. The entry host must not
 * take its own claim for that of another submission. */
BOOST_AUTO_TEST_CASE(KeyedPost_AnswerOfClaimWriteLost_RunsOnceAndIsAnswered)
{
  deployment_.ControlPlatform("/control/faults", R"({"lose_write_answers": 1})");
  const auto response = deployment_.Post(0, "/ledger", "lost-claim", "key-lost-claim");
  BOOST_TEST(OutcomeOf(response) == "answered");
  BOOST_TEST(deployment_.RunsOf("lost-claim") == 1);
}

/** Without the store nobody knows whether the key is claimed, so the request must not run. */
BOOST_AUTO_TEST_CASE(KeyedPost_StoreDown_DoesNotRunAndIsNotRun)
{
  deployment_.ControlPlatform("/control/faults", R"({"down": true})");
  const auto response = deployment_.Post(0, "/ledger", "store-down", "key-store-down");
  BOOST_TEST(OutcomeOf(response) == "not-run claim-unavailable");
  BOOST_TEST(deployment_.RunsOf("store-down") == 0);
}

/** A request that was refused during an outage of the store must not leave its key claimed. */
BOOST_AUTO_TEST_CASE(KeyedPost_StoreBackAfterOutage_KeyCanBeUsed)
{
  deployment_.ControlPlatform("/control/faults", R"({"down": true})");
  deployment_.Post(0, "/ledger", "outage", "key-outage");
  deployment_.ControlPlatform("/control/faults", "{}");
  BOOST_TEST(WaitUntil([this] {
    return OutcomeOf(deployment_.Post(1, "/ledger", "outage", "key-outage")) == "answered";
  }));
  BOOST_TEST(deployment_.RunsOf("outage") == 1);
}

/** A resubmission after the answer must be sent the stored answer, also at another entry host. */
BOOST_AUTO_TEST_CASE(KeyedPost_SubmittedAgainAfterItsAnswer_GetsTheSameAnswerWithoutARun)
{
  const auto first = deployment_.Post(0, "/ledger", "again", "key-again");
  BOOST_TEST(OutcomeOf(first) == "answered");
  std::optional<Response> second;
  BOOST_TEST(WaitUntil([this, &second] {
    second = deployment_.Post(1, "/ledger", "again", "key-again");
    return OutcomeOf(second) == "answered";
  }));
  BOOST_TEST(second->body_ == first->body_);
  BOOST_TEST(FieldOf(second, "Quetzal-Replayed") == "true");
  BOOST_TEST(deployment_.RunsOf("again") == 1);
}

/** A caller that uses one key for two requests must not be sent the answer of the first for the
 * second. */
BOOST_AUTO_TEST_CASE(KeyedPost_KeyOfAnotherRequest_IsRefused)
{
  deployment_.Post(0, "/ledger", "one", "key-shared");
  const auto second = deployment_.Post(1, "/other", "two", "key-shared");
  BOOST_TEST(OutcomeOf(second) == "not-run key-reused");
  BOOST_TEST(deployment_.RunsOf("two") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
