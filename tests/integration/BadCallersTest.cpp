#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;

/** The users' limit on the memory that the control part of a node may use. */
constexpr std::int64_t kMostResidentBytes = 64LL * 1024 * 1024;

/** Callers that break the HTTP rules, send too much or leave must not reach a backend server, use
 * up the entry host's memory or disturb other callers. */
struct BadCallersFixture
{
  BadCallersFixture()
    : deployment_({})
  {
    deployment_.Serve();
  }

  /** Checks that raw bytes are refused with a status and run nothing, and that other callers are
   * served. */
  void CheckRefused(const std::string& aBytes, const std::string& aStatus)
  {
    const std::string answer = SendRaw(deployment_.Callers(0), aBytes);
    BOOST_TEST(answer.starts_with("HTTP/1.1 " + aStatus), "answered " + answer.substr(0, 40));
    BOOST_TEST(OutcomeOf(deployment_.Get(0, "/", "other")) == "answered");
    BOOST_TEST(deployment_.RunsOf("bad") == 0);
  }

  static std::string Head(const std::string& aFields)
  {
    return "POST /v1/services/quotes/ HTTP/1.1\r\nHost: test\r\nQuetzal-Request-Id: bad\r\n" +
           aFields + "\r\n";
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(BadCallers, BadCallersFixture)

BOOST_AUTO_TEST_CASE(Caller_SendsGarbage_IsRefused)
{
  CheckRefused("\x01\x02\x03 what\r\n\r\n", "400");
}

/** Two lengths let an entry host and a backend server disagree on where the request ends (request
 * smuggling). */
BOOST_AUTO_TEST_CASE(Caller_SendsTwoLengths_IsRefused)
{
  CheckRefused(Head("Content-Length: 3\r\nContent-Length: 5\r\n") + "hello", "400");
}

/** A length together with a chunked body allows request smuggling in the same way. */
BOOST_AUTO_TEST_CASE(Caller_SendsBothFramings_IsRefused)
{
  CheckRefused(Head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", "400");
}

BOOST_AUTO_TEST_CASE(Caller_SendsNegativeLength_IsRefused)
{
  CheckRefused(Head("Content-Length: -5\r\n"), "400");
}

BOOST_AUTO_TEST_CASE(Caller_SendsHugeHeader_IsRefusedInBoundedMemory)
{
  CheckRefused(Head("X-Large: " + std::string(2 * 1024 * 1024, 'h') + "\r\n"), "431");
  BOOST_TEST(deployment_.EntryHost(0).ResidentBytes() < kMostResidentBytes);
}

/** A body over the limit must be refused by its announced length, before any of it is stored. */
BOOST_AUTO_TEST_CASE(Caller_AnnouncesHugeBody_IsRefusedAtTheHeader)
{
  CheckRefused(Head("Content-Length: 104857600\r\n"), "413");
  BOOST_TEST(deployment_.EntryHost(0).ResidentBytes() < kMostResidentBytes);
}

/** Each caller closes its connection 5 ms after sending a request of 30 ms, so that the answer has
 * no receiver any more. The entry host must not crash or stop serving. */
BOOST_AUTO_TEST_CASE(Callers_LeaveInMidRequest_LeaveTheOthersServed)
{
  for (int i = 0; i < 50; ++i) {
    const Call call(deployment_.Callers(0),
                    deployment_.MakeRequest("GET", "/?work_ms=30", "leaving"));
    Pause(std::chrono::milliseconds(5));
  }
  BOOST_TEST(OutcomeOf(deployment_.Get(0, "/", "other")) == "answered");
  BOOST_TEST(deployment_.EntryHost(0).IsRunning());
}

/** Service names that callers make up must not become labels of metrics: their number has no limit,
 * and each would keep a series in memory. */
BOOST_AUTO_TEST_CASE(Callers_OfManyServiceNames_LeaveNoSeriesBehind)
{
  Request request = deployment_.MakeRequest("GET", "/", "names");
  for (int i = 0; i < 20; ++i) {
    request.target_ = "/v1/services/made-up-" + std::to_string(i) + "/";
    Send(deployment_.Callers(0), request);
  }
  const auto metrics =
    Send(deployment_.Operators(0), { "GET", "/metrics", { { "Host", "test" } }, {} });
  BOOST_TEST(metrics->body_.find("made-up") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
