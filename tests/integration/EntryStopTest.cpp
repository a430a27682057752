#include "include/quetzal/wire/Frame.h"
#include "tests/harness/Deployment.h"

#include <QtNetwork/QTcpSocket>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>

namespace {

using namespace harness;
using namespace std::chrono_literals;

constexpr int kStopping = 0; ///< The entry host that is told to stop.
constexpr std::chrono::milliseconds kStopTime{ 3'000 };
constexpr const char* kLongWork = "/?work_ms=15000"; ///< Takes far longer than the stop time.

/** One entry host with a short stop time, and requests whose deadlines are far behind it. Each of
 * the two backend servers runs one request at a time. */
struct EntryStopFixture
{
  EntryStopFixture()
    : deployment_(MakeOptions())
  {
    deployment_.Serve();
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.backendServers_ = 2;
    options.promises_ = "    slots: 1\n    deadline_ms: 20000\n    longest_deadline_ms: 20000\n    "
                        "answer_bytes: 8388608\n";
    options.entrySettings_ = "stop_time_s: 3\n";
    return options;
  }

  std::unique_ptr<Call> BeginPost(const std::string& aPath,
                                  const std::string& aId,
                                  const std::string& aKey = {})
  {
    return std::make_unique<Call>(deployment_.Callers(kStopping),
                                  deployment_.MakeRequest("POST", aPath, aId, aKey));
  }

  /** Starts a POST of long work and waits until a backend server runs it. */
  std::unique_ptr<Call> BeginLongPost(const std::string& aId)
  {
    auto call = BeginPost(kLongWork, aId);
    BOOST_REQUIRE(WaitUntil([&] { return deployment_.RunsOf(aId) == 1; }));
    return call;
  }

  /** Connects and sends some bytes. */
  void BeginRaw(QTcpSocket& aCaller, const std::string& aBytes)
  {
    const Endpoint callers = deployment_.Callers(kStopping);
    aCaller.connectToHost(QString::fromStdString(callers.address_), callers.port_);
    BOOST_REQUIRE(aCaller.waitForConnected());
    aCaller.write(aBytes.data(), static_cast<qint64>(aBytes.size()));
    Pause(100ms);
  }

  void Stop()
  {
    stopSentAt_ = std::chrono::steady_clock::now();
    deployment_.EntryHost(kStopping).Signal(SIGTERM);
  }

  bool IsWithinStopTime() const
  {
    return std::chrono::steady_clock::now() - stopSentAt_ < kStopTime;
  }

  void CheckEndsInTime()
  {
    BOOST_TEST(deployment_.EntryHost(kStopping).Wait() == 0);
    BOOST_TEST(IsWithinStopTime());
  }

  Deployment deployment_;
  std::chrono::steady_clock::time_point stopSentAt_;
};

BOOST_FIXTURE_TEST_SUITE(EntryAtAPlannedStop, EntryStopFixture)

BOOST_AUTO_TEST_CASE(Request_RunsPastTheStopTime_IsAnsweredUnknown)
{
  const auto call = BeginLongPost("running");
  Stop();
  BOOST_TEST(OutcomeOf(call->Wait()) == "unknown deadline-passed");
  BOOST_TEST(IsWithinStopTime());
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Request_WaitsForASlotPastTheStopTime_IsRefusedAndNeverRuns)
{
  const auto first = BeginLongPost("first");
  const auto second = BeginLongPost("second");
  const auto queued = BeginPost("/", "queued");
  Pause(100ms);
  Stop();
  const auto& answer = queued->Wait();
  BOOST_TEST(OutcomeOf(answer) == "not-run deadline-in-queue");
  BOOST_TEST(!FieldOf(answer, "Retry-After").empty());
  CheckEndsInTime();
  BOOST_TEST(deployment_.RunsOf("queued") == 0);
}

BOOST_AUTO_TEST_CASE(Request_ArrivesDuringTheStop_IsAnsweredBeforeTheExit)
{
  const auto keepsOpen = BeginLongPost("first");
  Stop();
  Pause(100ms);
  const auto late = BeginPost(kLongWork, "late");
  BOOST_TEST(OutcomeOf(late->Wait()) == "unknown deadline-passed");
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Request_WaitsForASilentStorePastTheStopTime_IsRefusedAndNeverRuns)
{
  deployment_.ControlPlatform("/control/faults", R"({"delay_ms": 20000})");
  const auto call = BeginPost("/", "claiming", "key-claiming");
  Pause(100ms);
  Stop();
  BOOST_TEST(OutcomeOf(call->Wait()) == "not-run claim-unavailable");
  CheckEndsInTime();
  BOOST_TEST(deployment_.RunsOf("claiming") == 0);
}

BOOST_AUTO_TEST_CASE(Process_StoreTakesNoAnswers_EndsWithinTheStopTime)
{
  const auto call = BeginPost("/?work_ms=500", "unsaved", "key-unsaved");
  BOOST_REQUIRE(WaitUntil([this] { return deployment_.RunsOf("unsaved") == 1; }));
  deployment_.ControlPlatform("/control/faults", R"({"delay_ms": 20000})");
  Stop();
  BOOST_TEST(OutcomeOf(call->Wait()) == "answered");
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Process_CallerSendsHalfARequest_EndsWithinTheStopTime)
{
  QTcpSocket caller;
  BeginRaw(caller,
           "POST /v1/services/quotes/ HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n\r\nhalf");
  Stop();
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Request_IsIncompleteAtTheLastAnswer_IsAnsweredAsTooSlow)
{
  const std::string bytes = Serialize(deployment_.MakeRequest("POST", "/", "incomplete"));
  QTcpSocket caller;
  BeginRaw(caller, bytes.substr(0, bytes.size() - 2));
  Stop();
  std::string answer;
  WaitUntil([&] {
    answer += caller.readAll().toStdString();
    return caller.state() == QAbstractSocket::UnconnectedState;
  });
  BOOST_TEST(answer.find("Quetzal-Reason: slow-caller") != std::string::npos);
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Request_IsCompleteTooLateForAnAnswer_IsRefusedAtOnceAndNeverRuns)
{
  const std::string bytes = Serialize(deployment_.MakeRequest("POST", "/", "too-late"));
  QTcpSocket caller;
  BeginRaw(caller, bytes.substr(0, bytes.size() - 2));
  Stop();
  Pause(1'550ms);
  caller.write(bytes.data() + bytes.size() - 2, 2);
  std::string answer;
  WaitUntil([&] {
    answer += caller.readAll().toStdString();
    return caller.state() == QAbstractSocket::UnconnectedState;
  });
  BOOST_TEST(answer.find("Quetzal-Reason: deadline-too-short") != std::string::npos);
  CheckEndsInTime();
  BOOST_TEST(deployment_.RunsOf("too-late") == 0);
}

BOOST_AUTO_TEST_CASE(Process_GetsMoreSignalsDuringTheStop_StillAnswersAndEndsInTime)
{
  const auto call = BeginLongPost("running");
  Stop();
  for (const int signal : { SIGHUP, SIGTERM, SIGINT }) {
    Pause(200ms);
    deployment_.EntryHost(kStopping).Signal(signal);
  }
  BOOST_TEST(OutcomeOf(call->Wait()) == "unknown deadline-passed");
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Settings_StopTimeNotAboveTheNotice_EndWithCode2)
{
  const QTemporaryDir directory;
  const std::string file = directory.filePath("entry.yaml").toStdString();
  std::ofstream(file) << "name: a\navailability_zone: z\nenvironment: e\n"
                         "callers: 127.0.0.1:1\noperators: 127.0.0.1:2\nplatform: 127.0.0.1:3\n"
                         "entry_hosts: [{name: a, availability_zone: z, peer: \"127.0.0.1:4\"}]\n"
                         "stop_notice_ms: 2800\nstop_time_s: 4\n";
  const auto result = Run("quetzal-entryd", { "-s", file });
  BOOST_TEST(result.exitCode_ == 2);
  BOOST_TEST(result.errors_ == file + ":8: stop_notice_ms: expected stop_time_s more than 1200 ms "
                                      "above stop_notice_ms\n");
}

BOOST_AUTO_TEST_CASE(Process_PeerDeclaresAMessageOfImpossibleSize_GoesOnServing)
{
  const QByteArray frame = quetzal::wire::MakeFrame("\xdd\xff\xff\xff\xff");
  QTcpSocket peer;
  peer.connectToHost(QString::fromStdString(deployment_.Callers(kStopping).address_), 7070);
  BOOST_REQUIRE(peer.waitForConnected());
  peer.write(frame);
  Pause(300ms);
  BOOST_TEST(OutcomeOf(deployment_.Get(kStopping, "/", "next")) == "answered");
}

BOOST_AUTO_TEST_CASE(Process_StoppedAsSoonAsItStarts_EndsInTime)
{
  deployment_.StartEntryHost(kStopping);
  Stop();
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Connection_WaitsToBeAcceptedWhenListeningStops_IsServed)
{
  Stop();
  Pause(100ms);
  deployment_.EntryHost(kStopping).Signal(SIGSTOP);
  const auto call = BeginPost("/", "waiting");
  Pause(500ms);
  deployment_.EntryHost(kStopping).Signal(SIGCONT);
  BOOST_TEST(OutcomeOf(call->Wait()) == "answered");
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Request_ArrivesOnAnIdleConnectionWhenListeningStops_IsServed)
{
  const std::string bytes = Serialize(deployment_.MakeRequest("POST", "/", "unread"));
  QTcpSocket caller;
  BeginRaw(caller, {});
  Stop();
  Pause(100ms);
  deployment_.EntryHost(kStopping).Signal(SIGSTOP);
  caller.write(bytes.data(), static_cast<qint64>(bytes.size()));
  caller.flush();
  Pause(500ms);
  deployment_.EntryHost(kStopping).Signal(SIGCONT);
  std::string answer;
  WaitUntil([&] {
    answer += caller.readAll().toStdString();
    return caller.state() == QAbstractSocket::UnconnectedState;
  });
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  CheckEndsInTime();
}

BOOST_AUTO_TEST_CASE(Answer_CallerReceivesItSlowly_IsReceivedWhole)
{
  constexpr std::size_t kBytes = 8'000'000;
  QTcpSocket caller;
  caller.setReadBufferSize(64 * 1024);
  auto request = deployment_.MakeRequest("GET", "/?bytes=" + std::to_string(kBytes), "large");
  request.fields_.push_back({ "Connection", "close" });
  BeginRaw(caller, Serialize(request));
  std::size_t received = 0;
  WaitUntil([&] {
    Pause(60ms);
    received += static_cast<std::size_t>(caller.read(64 * 1024).size());
    return caller.state() == QAbstractSocket::UnconnectedState && caller.bytesAvailable() == 0;
  });
  BOOST_TEST(received > kBytes);
}

BOOST_AUTO_TEST_SUITE_END()

/** Requests whose attempt ends while their host or their caller leaves. */
struct EntryRetryFixture : EntryStopFixture
{
  /** Starts a request and waits until a backend server runs it. @return the server's index. */
  int Begin(const Request& aRequest, const std::string& aId, std::unique_ptr<Call>& aCall)
  {
    aCall = std::make_unique<Call>(deployment_.Callers(kStopping), aRequest);
    BOOST_REQUIRE(WaitUntil([&] { return deployment_.RunsOf(aId) == 1; }));
    return deployment_.RunsOn(0, aId) == 1 ? 0 : 1;
  }

  /** Writes the deployment's document without one host. @return the file. */
  std::string WriteDocumentWithout(int aHost) const
  {
    const std::string host = deployment_.HostName(aHost);
    std::istringstream lines(deployment_.DocumentText());
    std::string file = directory_.filePath(QString::fromStdString("without-" + host)).toStdString();
    std::ofstream output(file);
    std::string line;
    while (std::getline(lines, line)) {
      if (line.find("name: " + host) == std::string::npos) {
        const bool isPool = line.find(" hosts: [") != std::string::npos;
        output << (isPool ? "    hosts: [" + deployment_.HostName(1 - aHost) + "]" : line) << '\n';
      }
    }
    return file;
  }

  QTemporaryDir directory_;
};

BOOST_FIXTURE_TEST_SUITE(EntryRetries, EntryRetryFixture)

BOOST_AUTO_TEST_CASE(Request_SilentOnAHostThatLeavesTheDocument_IsRetriedOnAnother)
{
  std::array<std::string, 2> files{ WriteDocumentWithout(0), WriteDocumentWithout(1) };
  std::array<std::string, 2> tokens;
  for (std::size_t i = 0; i < files.size(); ++i) {
    tokens.at(i) = TokenOf(deployment_.Trial(files.at(i)));
  }
  deployment_.SetMode("silent");
  std::unique_ptr<Call> call;
  const auto silent =
    static_cast<std::size_t>(Begin(deployment_.MakeRequest("GET", "/", "silent"), "silent", call));
  deployment_.SetMode("normal");
  BOOST_REQUIRE(deployment_.Promote(files.at(silent), tokens.at(silent)).exitCode_ == 0);
  BOOST_TEST(OutcomeOf(call->Wait()) == "answered");
  BOOST_TEST(OutcomeOf(deployment_.Get(kStopping, "/", "next")) == "answered");
}

/** The caller leaves while the retry waits for a server that was not tried. */
BOOST_AUTO_TEST_CASE(Request_CallerLeavesWhileItsRetryIsDeferred_DoesNotRunAgain)
{
  std::unique_ptr<Call> blocking;
  const auto post = deployment_.MakeRequest("POST", "/?work_ms=1000", "blocking");
  const int busy = Begin(post, "blocking", blocking);
  const int free = 1 - busy;
  deployment_.ControlBackend(free, "/control/mode", "close-after-read");
  auto call = std::make_unique<Call>(deployment_.Callers(kStopping),
                                     deployment_.MakeRequest("GET", "/", "left"));
  Pause(20ms);
  call.reset();
  BOOST_TEST(OutcomeOf(blocking->Wait()) == "answered");
  BOOST_TEST(deployment_.RunsOn(free, "left") == 1);
  BOOST_TEST(deployment_.RunsOn(busy, "left") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
