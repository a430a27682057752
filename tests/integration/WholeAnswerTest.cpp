#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;

/** A caller must be sent the whole answer to its own request or an error. Wrong answers come about
 * where a damaged answer is passed on, or where bytes left on a kept connection are read as the
 * answer to the next request. */
struct WholeAnswerFixture
{
  WholeAnswerFixture()
    : deployment_(MakeOptions())
  {
    deployment_.Serve();
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.proxied_ = true;
    options.promises_ = "    deadline_ms: 600\n    longest_deadline_ms: 5000\n";
    return options;
  }

  /** Checks that a bad answer is not passed on, and that the next request gets its own answer. */
  void CheckBadAnswer(const std::string& aMode, const std::string& aReason)
  {
    deployment_.SetMode(aMode);
    BOOST_TEST(OutcomeOf(deployment_.Post(0, "/", "bad")) == "unknown " + aReason);
    deployment_.SetMode("normal");
    CheckServed("after-" + aMode);
  }

  void CheckServed(const std::string& aId)
  {
    std::optional<Response> response;
    BOOST_TEST(WaitUntil([&] {
      response = deployment_.Post(0, "/own", aId);
      return OutcomeOf(response) == "answered";
    }));
    BOOST_TEST(response->body_ == "POST /own " + aId + "\n");
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(WholeAnswer, WholeAnswerFixture)

BOOST_AUTO_TEST_CASE(Answer_Truncated_IsNotPassedOn)
{
  CheckBadAnswer("truncate", "answer-truncated");
}

BOOST_AUTO_TEST_CASE(Answer_Oversized_IsNotPassedOn)
{
  CheckBadAnswer("oversized", "answer-too-large");
}

BOOST_AUTO_TEST_CASE(Answer_Malformed_IsNotPassedOn)
{
  CheckBadAnswer("malformed", "answer-malformed");
}

/** An answer without a length ends with its connection, so that a cut cannot be told from its end.
 */
BOOST_AUTO_TEST_CASE(Answer_WithoutFraming_IsNotPassedOn)
{
  CheckBadAnswer("unframed", "answer-malformed");
}

/** The backend server sends two answers to one request. The connection must be closed, so that the
 * second answer does not reach the next caller. */
BOOST_AUTO_TEST_CASE(Answer_FollowedBySurplus_SurplusMeetsNoOtherRequest)
{
  deployment_.SetMode("surplus");
  const auto first = deployment_.Post(0, "/", "surplus");
  BOOST_TEST(OutcomeOf(first) == "answered");
  BOOST_TEST(first->body_ == "one");
  deployment_.SetMode("normal");
  CheckServed("after-surplus");
}

/** An answer that comes 300 ms after the deadline must not be read as the answer to the next
 * request. */
BOOST_AUTO_TEST_CASE(Answer_LateAfterTimeout_MeetsNoOtherRequest)
{
  for (int i = 0; i < 3; ++i) {
    const std::string id = "late-" + std::to_string(i);
    BOOST_TEST(OutcomeOf(deployment_.Post(0, "/?work_ms=900", id)) == "unknown deadline-passed");
    CheckServed("after-late-" + std::to_string(i));
  }
}

/** The connection is closed after 200 bytes of an answer with more than 5,000. */
BOOST_AUTO_TEST_CASE(Answer_CutInsideTheBody_IsNotPassedOn)
{
  deployment_.ControlProxy(0, "/control/reset");
  deployment_.ControlProxy(0, "/control/faults", R"({"truncate_after": 200})");
  const auto response = deployment_.Post(0, "/?bytes=5000", "cut");
  BOOST_TEST(FieldOf(response, "Quetzal-Outcome") == "unknown");
  deployment_.ControlProxy(0, "/control/faults", "{}");
  CheckServed("after-cut");
}

/** Later requests are answered earlier. Answers must be matched by connection, not by order. */
BOOST_AUTO_TEST_CASE(Answers_InOppositeOrder_EachReachesItsOwnCaller)
{
  std::vector<std::unique_ptr<Call>> calls;
  for (int i = 0; i < 6; ++i) {
    const std::string path = "/order?work_ms=" + std::to_string(300 - 50 * i);
    calls.push_back(std::make_unique<Call>(
      deployment_.Callers(0), deployment_.MakeRequest("POST", path, "order-" + std::to_string(i))));
  }
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const auto& response = calls[i]->Wait();
    BOOST_TEST(OutcomeOf(response) == "answered");
    BOOST_TEST(response->body_.find("order-" + std::to_string(i)) != std::string::npos);
  }
}

/** The second of two pipelined requests is quicker by 200 ms; HTTP requires its answer to come
 * second. */
BOOST_AUTO_TEST_CASE(Answers_ToPipelinedRequests_ComeInOrder)
{
  const std::string head = " HTTP/1.1\r\nHost: test\r\n\r\n";
  const std::string last = " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";
  const std::string answers = SendRaw(deployment_.Callers(0),
                                      "GET /v1/services/quotes/slow?work_ms=200" + head +
                                        "GET /v1/services/quotes/fast" + last);
  const auto slow = answers.find("GET /slow");
  const auto fast = answers.find("GET /fast");
  BOOST_TEST(slow != std::string::npos);
  BOOST_TEST(fast != std::string::npos);
  BOOST_TEST(slow < fast);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
