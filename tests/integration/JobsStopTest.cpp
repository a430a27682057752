#include "include/quetzal/http/Status.h"
#include "tests/harness/JobsDeployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;
using namespace std::chrono_literals;
using quetzal::http::status::kGatewayTimeout;
using quetzal::http::status::kServiceUnavailable;

constexpr int kStopping = 0; ///< The entry host that is told to stop.

/** Entry host 0 is told to stop and has handed over its cells. Then the other two are paused, so
 * that nobody answers for any cell. */
struct StopFixture
{
  StopFixture()
    : jobs_(3, 6, 150)
  {
    for (int i = 0; i < 3; ++i) {
      BOOST_REQUIRE(jobs_.WaitUntilServing(i));
    }
    jobs_.Entry(kStopping).Signal(SIGTERM);
    stopSentAt_ = std::chrono::steady_clock::now();
    PauseUntil(2'200ms);
    jobs_.Entry(1).Signal(SIGSTOP);
    jobs_.Entry(2).Signal(SIGSTOP);
  }

  void PauseUntil(std::chrono::milliseconds aSinceStop)
  {
    const auto elapsed = std::chrono::steady_clock::now() - stopSentAt_;
    Pause(std::chrono::duration_cast<std::chrono::milliseconds>(aSinceStop - elapsed));
  }

  /** Submits jobs with these numbers to the host that stops, without waiting for the answers. */
  std::vector<std::unique_ptr<Call>> BeginSubmits(int aFirst, int aLast)
  {
    std::vector<std::unique_ptr<Call>> calls;
    for (int i = aFirst; i <= aLast; ++i) {
      calls.push_back(jobs_.BeginSubmit(kStopping, JobsDeployment::IdOf(i), 2));
    }
    return calls;
  }

  JobsDeployment jobs_;
  std::chrono::steady_clock::time_point stopSentAt_;
};

BOOST_FIXTURE_TEST_SUITE(JobsAtAPlannedStop, StopFixture)

/** The requests' own timeouts end after the process. */
BOOST_AUTO_TEST_CASE(Requests_WaitForASilentOwnerWhenTheHostEnds_AreAllAnswered)
{
  PauseUntil(3'000ms);
  for (const auto& call : BeginSubmits(1, 6)) {
    const auto& answer = call->Wait();
    BOOST_TEST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status_ == kGatewayTimeout);
  }
  BOOST_TEST(jobs_.Entry(kStopping).Wait() == 0);
}

/** The host has no time to run when its last answers are due. */
BOOST_AUTO_TEST_CASE(Requests_HostIsPausedUntilItHasToEnd_AreAllAnswered)
{
  PauseUntil(3'000ms);
  const auto calls = BeginSubmits(31, 34);
  PauseUntil(3'300ms);
  jobs_.Entry(kStopping).Signal(SIGSTOP);
  PauseUntil(5'400ms);
  jobs_.Entry(kStopping).Signal(SIGCONT);
  for (const auto& call : calls) {
    const auto& answer = call->Wait();
    BOOST_TEST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status_ == kGatewayTimeout);
  }
  BOOST_TEST(jobs_.Entry(kStopping).Wait() == 0);
}

/** A request that arrives shortly before the process ends is refused at once, and never runs. */
BOOST_AUTO_TEST_CASE(Requests_ComeTooLateForTheHost_AreRefusedAtOnceAndNeverRun)
{
  PauseUntil(3'000ms);
  const auto early = BeginSubmits(21, 22); // They keep the process until the end of its stop time.
  PauseUntil(4'500ms);
  const auto sentAt = std::chrono::steady_clock::now();
  for (const auto& call : BeginSubmits(11, 14)) {
    const auto& answer = call->Wait();
    BOOST_TEST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status_ == kServiceUnavailable);
    BOOST_TEST(!FieldOf(answer, "Retry-After").empty());
  }
  BOOST_TEST((std::chrono::steady_clock::now() - sentAt < 250ms));
  jobs_.Entry(1).Signal(SIGCONT);
  jobs_.Entry(2).Signal(SIGCONT);
  BOOST_TEST(jobs_.WaitUntilServing(1));
  Pause(1'000ms);
  for (int i = 11; i <= 14; ++i) {
    BOOST_TEST(jobs_.StartsOf(JobsDeployment::IdOf(i)) == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
