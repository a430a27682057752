#include "include/quetzal/http/Status.h"
#include "tests/harness/JobsDeployment.h"
#include "tests/harness/RawCaller.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;
using namespace std::chrono_literals;
using quetzal::http::status::kBadRequest;
using quetzal::http::status::kGatewayTimeout;
using quetzal::http::status::kServiceUnavailable;

constexpr int kStopping = 0; ///< The entry host that is told to stop.
constexpr auto kStopTime = 6'000ms;

using Callers = std::vector<std::unique_ptr<RawCaller>>;

std::ptrdiff_t
CountCut(const Callers& aCallers)
{
  return std::count_if(
    aCallers.begin(), aCallers.end(), [](const auto& aCaller) { return aCaller->IsCut(); });
}

std::ptrdiff_t
CountAnswered(const Callers& aCallers)
{
  return std::count_if(
    aCallers.begin(), aCallers.end(), [](const auto& aCaller) { return aCaller->IsAnswered(); });
}

bool
AreDone(const Callers& aCallers)
{
  return std::all_of(
    aCallers.begin(), aCallers.end(), [](const auto& aCaller) { return aCaller->IsDone(); });
}

/** Three entry hosts, of which host 0 is told to stop. */
struct StopFixture
{
  StopFixture()
    : jobs_(3, 6, 150)
  {
    for (int i = 0; i < 3; ++i) {
      BOOST_REQUIRE(jobs_.WaitUntilServing(i));
    }
  }

  void Stop()
  {
    jobs_.Entry(kStopping).Signal(SIGTERM);
    stopSentAt_ = std::chrono::steady_clock::now();
  }

  /** Pauses the other hosts once host 0 has handed over its cells, so that nobody answers for any
   * cell. */
  void PauseOwners()
  {
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

  std::string NextSubmit() { return JobsDeployment::SubmitBytes(JobsDeployment::IdOf(next_++)); }

  void BeginRequest(RawCaller& aCaller) { aCaller.Send(NextSubmit()); }

  /** Opens connections of callers that send nothing yet. */
  Callers Connect(int aCount) const { return Connect(aCount, jobs_.Callers(kStopping)); }

  static Callers Connect(int aCount, const Endpoint& aEndpoint)
  {
    Callers callers;
    for (int i = 0; i < aCount; ++i) {
      callers.push_back(std::make_unique<RawCaller>(aEndpoint));
    }
    return callers;
  }

  /** Connects to one of the host's other servers while it is paused, and sends a request once its
   * stop has ended listening. */
  Callers AskAsListeningEnds(const Endpoint& aEndpoint)
  {
    Stop();
    PauseUntil(3'100ms);
    jobs_.Entry(kStopping).Signal(SIGSTOP);
    Callers callers = Connect(3, aEndpoint);
    PauseUntil(3'500ms);
    jobs_.Entry(kStopping).Signal(SIGCONT);
    Pause(80ms);
    for (const auto& caller : callers) {
      caller->Send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    }
    return callers;
  }

  /** Opens connections that stay open after a first request. */
  Callers ConnectAndAsk(int aCount)
  {
    Callers callers = Connect(aCount);
    for (const auto& caller : callers) {
      BeginRequest(*caller);
    }
    BOOST_REQUIRE(WaitUntil([&] { return CountAnswered(callers) == aCount; }));
    return callers;
  }

  /** Sends a request on a new connection and on one of the open ones every few milliseconds, until
   * connecting is refused. @return all connections. */
  Callers AskUntilRefused(Callers aOpen)
  {
    const std::size_t open = aOpen.size();
    Callers callers = std::move(aOpen);
    for (std::size_t i = 0;; ++i) {
      callers.push_back(std::make_unique<RawCaller>(jobs_.Callers(kStopping)));
      BeginRequest(*callers.back());
      if (i < open) {
        BeginRequest(*callers.at(i));
      }
      Pause(10ms);
      const bool isRefused = std::any_of(callers.begin() + static_cast<std::ptrdiff_t>(open),
                                         callers.end(),
                                         [](const auto& aCaller) { return aCaller->WasRefused(); });
      if (isRefused || std::chrono::steady_clock::now() - stopSentAt_ > kStopTime) {
        return callers;
      }
    }
  }

  /** Lets requests arrive on new and on open connections while the host that stops is paused. */
  Callers AskWhilePaused(Callers aOpen,
                         std::chrono::milliseconds aFrom,
                         std::chrono::milliseconds aTo)
  {
    PauseUntil(aFrom);
    jobs_.Entry(kStopping).Signal(SIGSTOP);
    Callers callers = Connect(5);
    std::move(aOpen.begin(), aOpen.end(), std::back_inserter(callers));
    for (const auto& caller : callers) {
      BeginRequest(*caller);
    }
    PauseUntil(aTo);
    jobs_.Entry(kStopping).Signal(SIGCONT);
    return callers;
  }

  void CheckAllAnswered(const Callers& aCallers)
  {
    BOOST_TEST(WaitUntil([&] { return AreDone(aCallers); }, kStopTime));
    BOOST_TEST(CountCut(aCallers) == 0);
  }

  void CheckEndsInTime()
  {
    BOOST_TEST(jobs_.Entry(kStopping).Wait() == 0);
    BOOST_TEST((std::chrono::steady_clock::now() - stopSentAt_ < kStopTime));
  }

  JobsDeployment jobs_;
  std::chrono::steady_clock::time_point stopSentAt_;
  int next_ = 1'000; ///< Lower ids serve as probes and must remain unknown.
};

BOOST_FIXTURE_TEST_SUITE(JobsAtAPlannedStop, StopFixture)

/** The requests' own timeouts end after the process. */
BOOST_AUTO_TEST_CASE(Requests_WaitForASilentOwnerWhenTheHostEnds_AreAllAnswered)
{
  Stop();
  PauseOwners();
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
  Stop();
  PauseOwners();
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
  Stop();
  PauseOwners();
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

BOOST_AUTO_TEST_CASE(Requests_ComeAllThroughAStop_AreAllAnswered)
{
  Callers open = ConnectAndAsk(400);
  Stop();
  const Callers callers = AskUntilRefused(std::move(open));
  CheckAllAnswered(callers);
  BOOST_TEST(CountAnswered(callers) > 450);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Requests_ComeAllThroughAStopWithSilentOwners_AreAllAnswered)
{
  Callers open = ConnectAndAsk(400);
  Stop();
  PauseOwners();
  const Callers callers = AskUntilRefused(std::move(open));
  CheckAllAnswered(callers);
  BOOST_TEST(CountAnswered(callers) > 450);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Requests_LieUnreadAtTheIdleExit_AreAnswered)
{
  Callers open = ConnectAndAsk(5);
  Stop();
  const Callers callers = AskWhilePaused(std::move(open), 3'100ms, 3'500ms);
  CheckAllAnswered(callers);
  BOOST_TEST(CountAnswered(callers) == 10);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Requests_LieUnreadAtTheLastAnswer_AreAnswered)
{
  Callers open = ConnectAndAsk(5);
  Stop();
  PauseOwners();
  PauseUntil(3'000ms);
  const auto waiting =
    BeginSubmits(21, 22); // They keep the process until the end of its stop time.
  const Callers callers = AskWhilePaused(std::move(open), 4'600ms, 4'900ms);
  CheckAllAnswered(callers);
  BOOST_TEST(CountAnswered(callers) == 10);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Connection_OpensAsListeningEnds_HasTimeForItsRequest)
{
  Stop();
  PauseUntil(3'100ms);
  jobs_.Entry(kStopping).Signal(SIGSTOP);
  const Callers callers = Connect(3);
  PauseUntil(3'500ms);
  jobs_.Entry(kStopping).Signal(SIGCONT);
  Pause(50ms);
  for (const auto& caller : callers) {
    BeginRequest(*caller);
  }
  CheckAllAnswered(callers);
  BOOST_TEST(CountAnswered(callers) == 3);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Request_IsIncompleteWhenTheHostEnds_IsAnsweredAsTooSlow)
{
  const std::string bytes = NextSubmit();
  const Callers callers = ConnectAndAsk(1);
  callers.front()->SendPart(bytes.substr(0, bytes.size() - 2));
  Stop();
  BOOST_TEST(WaitUntil([&] { return callers.front()->IsClosed(); }, kStopTime));
  BOOST_TEST(callers.front()->Received().find("HTTP/1.1 408") != std::string::npos);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(ReadinessCheck_ConnectsAsListeningEnds_IsAnswered)
{
  const Callers callers = AskAsListeningEnds(jobs_.Readiness(kStopping));
  CheckAllAnswered(callers);
  BOOST_TEST(CountAnswered(callers) == 3);
  BOOST_TEST(callers.front()->Status() == kServiceUnavailable);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Metrics_AreReadAsListeningEnds_AreAnswered)
{
  const Callers callers = AskAsListeningEnds(jobs_.Metrics(kStopping));
  CheckAllAnswered(callers);
  BOOST_TEST(CountAnswered(callers) == 3);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(OtherServers_GetAnUnreadableRequest_AnswerItAndClose)
{
  for (const Endpoint& endpoint : { jobs_.Readiness(kStopping), jobs_.Metrics(kStopping) }) {
    const Callers callers = Connect(1, endpoint);
    callers.front()->Send("no request\r\n\r\n");
    BOOST_TEST(WaitUntil([&] { return callers.front()->IsDone(); }, 1'000ms));
    BOOST_TEST(callers.front()->Status() == kBadRequest);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
