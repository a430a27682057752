#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;

DeploymentOptions
MakeOptions()
{
  DeploymentOptions options;
  options.promises_ = "    deadline_ms: 1000\n"
                      "    longest_deadline_ms: 20000\n"
                      "    queue_length: 8\n"
                      "    not_run_statuses: [503]\n";
  options.entrySettings_ = "limits: {header_bytes: 2048, body_bytes: 4096, request_time_ms: 300, "
                           "callers: 40}\n";
  return options;
}

/** A caller may safely submit a request again after the outcome "not-run". Each case provokes one
 * reason for a refusal, and checks that the request has not run on a backend server. */
struct NotRunFixture
{
  NotRunFixture()
    : deployment_(MakeOptions())
  {
  }

  /** Checks that a request was refused as not run for a reason, that it did not run, and that the
   * refusal was counted. */
  void CheckNotRun(const std::optional<Response>& aResponse,
                   const std::string& aReason,
                   const std::string& aId)
  {
    BOOST_TEST(OutcomeOf(aResponse) == "not-run " + aReason);
    BOOST_TEST(deployment_.RunsOf(aId) == 0);
    BOOST_TEST(deployment_.Metric(0, "quetzal_refusals_total{reason=\"" + aReason + "\"}") >= 1);
  }

  /** Sends requests of 2.5 s that use one slot each, and returns their calls. */
  std::vector<std::unique_ptr<Call>> FillSlots(int aCount)
  {
    std::vector<std::unique_ptr<Call>> calls;
    for (int i = 0; i < aCount; ++i) {
      Request request = deployment_.MakeRequest("POST", "/?work_ms=2500", "fill");
      request.fields_.push_back({ "Quetzal-Deadline-Ms", "20000" });
      calls.push_back(std::make_unique<Call>(deployment_.Callers(0), request));
    }
    return calls;
  }

  bool SlotsAreFull()
  {
    return WaitUntil([this] {
      return deployment_.ControlBackend(0, "/control/report")["in_flight"].toInt() == 8;
    });
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(NotRun, NotRunFixture)

BOOST_AUTO_TEST_CASE(Request_NoDocumentInForce_IsNotRun)
{
  deployment_.StartAll();
  CheckNotRun(deployment_.Post(0, "/", "no-document"), "no-document", "no-document");
}

BOOST_AUTO_TEST_CASE(Request_UnusableInItself_IsNotRun)
{
  deployment_.Serve();
  Request request = deployment_.MakeRequest("POST", "/", "unusable");
  request.target_ = "/v1/services/unknown/";
  CheckNotRun(Send(deployment_.Callers(0), request), "no-such-service", "unusable");

  request = deployment_.MakeRequest("POST", "/", "unusable");
  request.fields_.push_back({ "Quetzal-Deadline-Ms", "soon" });
  CheckNotRun(Send(deployment_.Callers(0), request), "bad-deadline", "unusable");

  request = deployment_.MakeRequest("POST", "/", "unusable", std::string(200, 'k'));
  CheckNotRun(Send(deployment_.Callers(0), request), "bad-key", "unusable");

  request = deployment_.MakeRequest("POST", "/", "unusable");
  request.body_.assign(5'000, 'b');
  CheckNotRun(Send(deployment_.Callers(0), request), "body-too-large", "unusable");

  request = deployment_.MakeRequest("POST", "/", "unusable");
  request.fields_.push_back({ "X-Large", std::string(3'000, 'h') });
  CheckNotRun(Send(deployment_.Callers(0), request), "header-too-large", "unusable");
}

/** A caller that stops in the middle of a body must not keep its connection for ever: after 300 ms
 * it is answered with 408. */
BOOST_AUTO_TEST_CASE(Request_SlowerThanItsTime_IsNotRun)
{
  deployment_.Serve();
  const std::string answer = SendRaw(deployment_.Callers(0),
                                     "POST /v1/services/quotes/ HTTP/1.1\r\nHost: test\r\n"
                                     "Quetzal-Request-Id: slow\r\nContent-Length: 10\r\n\r\nhalf");
  BOOST_TEST(answer.find("HTTP/1.1 408") == 0U);
  BOOST_TEST(answer.find("Quetzal-Reason: slow-caller") != std::string::npos);
  BOOST_TEST(deployment_.RunsOf("slow") == 0);
}

BOOST_AUTO_TEST_CASE(Request_QueueFull_IsNotRun)
{
  deployment_.Serve();
  const auto running = FillSlots(8);
  BOOST_REQUIRE(SlotsAreFull());
  const auto queued = FillSlots(8);
  BOOST_TEST(WaitUntil([this] {
    Request request = deployment_.MakeRequest("POST", "/", "overflow");
    request.fields_.push_back({ "Quetzal-Deadline-Ms", "20000" });
    return OutcomeOf(Send(deployment_.Callers(0), request)) == "not-run queue-full";
  }));
  BOOST_TEST(deployment_.RunsOf("overflow") == 0);
}

BOOST_AUTO_TEST_CASE(Request_DeadlinePassesInQueue_IsNotRun)
{
  deployment_.Serve();
  const auto running = FillSlots(8);
  BOOST_REQUIRE(SlotsAreFull());
  Request request = deployment_.MakeRequest("POST", "/", "late");
  request.fields_.push_back({ "Quetzal-Deadline-Ms", "300" });
  CheckNotRun(Send(deployment_.Callers(0), request), "deadline-in-queue", "late");
}

/** Answers have taken 100 ms so far, and this request has 5 ms. It must be refused at once, instead
 * of using a slot for an answer that comes too late. */
BOOST_AUTO_TEST_CASE(Request_DeadlineShorterThanTheLearnedTime_IsNotRun)
{
  deployment_.Serve();
  for (int i = 0; i < 30; ++i) {
    deployment_.Get(0, "/?work_ms=100", "learn");
  }
  Request request = deployment_.MakeRequest("POST", "/", "hopeless");
  request.fields_.push_back({ "Quetzal-Deadline-Ms", "5" });
  CheckNotRun(Send(deployment_.Callers(0), request), "deadline-too-short", "hopeless");
}

/** A request whose caller left while it was queued must not use a slot. The long requests before it
 * raise the expected service time, and later requests must still be accepted. */
BOOST_AUTO_TEST_CASE(Request_CallerLeavesWhileItWaits_DoesNotRun)
{
  deployment_.Serve();
  const auto running = FillSlots(8);
  BOOST_REQUIRE(SlotsAreFull());
  {
    Request request = deployment_.MakeRequest("POST", "/", "left");
    request.fields_.push_back({ "Quetzal-Deadline-Ms", "20000" });
    const Call call(deployment_.Callers(0), request);
    Pause(std::chrono::milliseconds(100));
  }
  const std::string series = "quetzal_refusals_total{reason=\"caller-left\"}";
  BOOST_TEST(WaitUntil([&] { return deployment_.Metric(0, series) >= 1; }));
  for (const auto& call : running) {
    call->Wait();
  }
  // The long requests have raised the expected service time. It must fall again although requests
  // that are refused for it give no new samples.
  BOOST_TEST(
    WaitUntil([this] { return OutcomeOf(deployment_.Get(0, "/", "after")) == "answered"; }));
  BOOST_TEST(deployment_.RunsOf("left") == 0);
}

/** The service promises that its status 503 means that the request was not run. */
BOOST_AUTO_TEST_CASE(Request_BackendRefusesByPromise_IsNotRun)
{
  deployment_.Serve();
  deployment_.SetMode("refuse");
  CheckNotRun(deployment_.Post(0, "/", "refused"), "backend-refused", "refused");
}

/** The only backend server is killed. The first request may fail to connect; later ones must be
 * refused because no backend server is left. */
BOOST_AUTO_TEST_CASE(Request_BackendHostGone_IsNotRun)
{
  deployment_.Serve();
  deployment_.BackendServer(0).Signal(SIGKILL);
  deployment_.BackendServer(0).Wait();
  const auto first = deployment_.Post(0, "/", "gone");
  const bool refused =
    OutcomeOf(first) == "not-run connect-failed" || OutcomeOf(first) == "not-run no-backend-server";
  BOOST_TEST(refused, "was " + OutcomeOf(first));
  BOOST_TEST(WaitUntil(
    [this] { return OutcomeOf(deployment_.Post(0, "/", "gone")) == "not-run no-backend-server"; }));
  const std::string series = "quetzal_refusals_total{reason=\"no-backend-server\"}";
  BOOST_TEST(deployment_.Metric(0, series) >= 1);
}

/** The first attempt has run when its backend server is killed, and the retries cannot connect. The
 * outcome must not be that of the last attempt, which was not run. */
BOOST_AUTO_TEST_CASE(Get_LostBeforeItsRetriesCannotConnect_IsNotCalledNotRun)
{
  deployment_.Serve();
  Call call(deployment_.Callers(0), deployment_.MakeRequest("GET", "/?work_ms=450", "lost"));
  BOOST_TEST(WaitUntil([this] { return deployment_.RunsOf("lost") == 1; }));
  deployment_.BackendServer(0).Signal(SIGKILL);
  BOOST_TEST(FieldOf(call.Wait(), "Quetzal-Outcome") == "unknown");
}

/** A frozen backend server may have received a request that it runs only after it continues. Such a
 * request must not be called not run. */
BOOST_AUTO_TEST_CASE(Request_BackendFrozen_IsToldUnknownOrNotRunAndNeverFalse)
{
  deployment_.Serve();
  deployment_.BackendServer(0).Signal(SIGSTOP);
  std::vector<std::string> outcomes;
  outcomes.reserve(6);
  for (int i = 0; i < 6; ++i) {
    outcomes.push_back(OutcomeOf(deployment_.Post(0, "/", "frozen-" + std::to_string(i))));
  }
  deployment_.BackendServer(0).Signal(SIGCONT);
  BOOST_TEST(
    WaitUntil([this] { return OutcomeOf(deployment_.Get(0, "/", "thawed")) == "answered"; }));
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    const int runs = deployment_.RunsOf("frozen-" + std::to_string(i));
    const bool notRun = outcomes[i].starts_with("not-run");
    BOOST_TEST((notRun ? runs == 0 : runs <= 1), outcomes[i] << " ran " << runs);
  }
}

/** Of 60 connections at once, 40 are allowed. The others must be closed and counted, each once. */
BOOST_AUTO_TEST_CASE(Caller_MoreConnectionsThanAllowed_IsRefusedAndOthersAreServed)
{
  deployment_.Serve();
  std::vector<std::unique_ptr<Call>> calls;
  calls.reserve(60);
  for (int i = 0; i < 60; ++i) {
    calls.push_back(std::make_unique<Call>(
      deployment_.Callers(0), deployment_.MakeRequest("GET", "/?work_ms=200", "many")));
  }
  int refused = 0;
  for (const auto& call : calls) {
    refused += call->Wait() ? 0 : 1;
  }
  BOOST_TEST(refused >= 20);
  const std::string series = "quetzal_refusals_total{reason=\"too-many-callers\"}";
  calls.clear();
  BOOST_TEST(deployment_.Metric(0, series) == refused);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
