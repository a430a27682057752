#include "include/quetzal/node/NodeProcess.h"
#include "include/quetzal/clock/Now.h"

#include "include/quetzal/wire/Frame.h"
#include "src/node/Envelope.h"
#include "src/node/Messages.h"
#include "tests/unit/FakeWorkers.h"
#include "tests/unit/MemoryStore.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <thread>

namespace {

using namespace quetzal;
using namespace quetzal::node;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** A platform without hosts. */
class NoHosts : public fleet::HostPort
{
public:
  void List(std::function<void(const fleet::HostList&)> aDone) override
  {
    QTimer::singleShot(0, [aDone] { aDone({ true, 1, {} }); });
  }

  void Move(const std::string& /*aHost*/,
            const std::string& /*aPool*/,
            const fleet::OrderAuthority& /*aAuthority*/,
            std::function<void(fleet::HostOrderStatus)> /*aDone*/) override
  {
  }

  void Maintain(const std::string& /*aHost*/,
                std::int64_t /*aWave*/,
                const fleet::OrderAuthority& /*aAuthority*/,
                std::function<void(fleet::HostOrderStatus)> /*aDone*/) override
  {
  }
};

/** The only entry host "a", whose store answers one call at a time. */
struct NodeFixture
{
  explicit NodeFixture(std::uint16_t aPort = 0)
    : peers_{ "127.0.0.1", aPort }
  {
    jobs::Queue queue;
    queue.name_ = "q";
    queue.service_ = "svc";
    platformState_.configuration_.version_ = 1;
    platformState_.configuration_.queues_ = { queue };
    platformState_.configuration_.services_ = { { "svc", false, true } };
    node::NodeSettings settings;
    settings.name_ = "a";
    settings.address_ = "127.0.0.1";
    settings.peers_ = peers_;
    settings.stopTime_ = 6'000ms;
    process_.emplace(settings,
                     node::Ports{ &store_, &platformState_, &hosts_, nullptr, fleet_.Factory() },
                     metrics_);
    process_->Start();
  }

  /** Lets the store answer, one call in each @p aAnswerTime, until a condition holds. */
  bool AnswerUntil(const std::function<bool()>& aCondition,
                   std::chrono::milliseconds aTimeout = 5'000ms,
                   std::chrono::milliseconds aAnswerTime = 0ms)
  {
    QElapsedTimer timer;
    timer.start();
    while (!aCondition()) {
      if (timer.elapsed() > aTimeout.count()) {
        return false;
      }
      QElapsedTimer answerTimer;
      answerTimer.start();
      do {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
      } while (answerTimer.elapsed() < aAnswerTime.count());
      store_.AnswerNext();
    }
    return true;
  }

  /** Lets time pass while the store answers nothing. */
  static void ProcessEventsFor(std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < aTime.count()) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
  }

  bool IsOwned() const { return store_.RevisionOf(CellKey("svc")) != 0; }
  bool IsFleetOwned() const { return store_.RevisionOf(CellKey(kFleetCell)) != 0; }

  /** Injects a fault into the claims of both cells, and stops the process once they are sent. */
  void StopWithClaims(CommitFault aFault)
  {
    BOOST_TEST_REQUIRE(AnswerUntil([this] { return process_->ClaimsInFlight() > 1; }));
    const std::size_t commits = store_.CommitCount();
    store_.InjectFault(aFault);
    store_.InjectFault(aFault);
    BOOST_TEST_REQUIRE(AnswerUntil([&] { return store_.CommitCount() >= commits + 2; }));
    process_->Stop();
  }

  settings::Endpoint peers_;
  MemoryStore store_;
  FakePlatformState platformState_;
  FakeFleet fleet_;
  NoHosts hosts_;
  metrics::Registry metrics_;
  std::optional<node::NodeProcess> process_;
};

BOOST_FIXTURE_TEST_SUITE(NodeOfAnEntryHost, NodeFixture)

BOOST_AUTO_TEST_CASE(Stop_ClaimHasBeenWrittenAndJobsAreBeingRead_ReleasesTheCellAtOnce)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsOwned(); }));
  process_->Stop();
  BOOST_TEST(AnswerUntil([this] { return !IsOwned(); }, 600ms));
}

BOOST_AUTO_TEST_CASE(Stop_ClaimIsInFlight_LeavesNoCellBehind)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return process_->ClaimsInFlight() > 0; }));
  process_->Stop();
  BOOST_TEST(!AnswerUntil([] { return false; }, 600ms));
  BOOST_TEST(!IsOwned());
}

BOOST_AUTO_TEST_CASE(Stop_ClaimsAreCarriedOutWithoutAnAnswer_ReleasesTheCells)
{
  StopWithClaims(CommitFault::kAnswerLost);
  BOOST_TEST(!AnswerUntil([] { return false; }, 1'000ms));
  BOOST_TEST(!IsOwned());
  BOOST_TEST(!IsFleetOwned());
}

BOOST_AUTO_TEST_CASE(Stop_ClaimsAreCarriedOutLate_ReleasesTheCells)
{
  StopWithClaims(CommitFault::kDelayed);
  BOOST_TEST(!AnswerUntil([] { return false; }, 600ms));
  store_.ApplyDelayed();
  BOOST_TEST(AnswerUntil([this] { return !IsOwned() && !IsFleetOwned(); }, 1'000ms));
}

BOOST_AUTO_TEST_CASE(Stop_ReleasesAreRefused_AreRepeated)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsOwned() && process_->ClaimsInFlight() == 0; }));
  for (int i = 0; i < 4; ++i) {
    store_.InjectFault(CommitFault::kRefused);
  }
  process_->Stop();
  BOOST_TEST(AnswerUntil([this] { return !IsOwned() && !IsFleetOwned(); }, 2'000ms));
}

BOOST_AUTO_TEST_CASE(Stop_ServiceHasLeftTheConfiguration_ReleasesItsCell)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsOwned(); }));
  platformState_.configuration_.services_.clear();
  process_->Stop();
  BOOST_TEST(AnswerUntil([this] { return !IsOwned(); }, 2'000ms));
}

BOOST_AUTO_TEST_CASE(Stop_FleetWasClaimedOnASlowStore_KeepsTheOrdersOfEarlierOwners)
{
  jobs::OwnerRecord earlier;
  earlier.owner_ = "z";
  const std::string chain = cells::WriteChainKeys(kFleetCell).front();
  const std::int64_t fence = store_.Put(chain, jobs::Encode(earlier));
  const jobs::FleetHandOver record{ fence, { { "h1", clock::UnixMs() } } };
  store_.Put(kFleetHandOverKey, jobs::Encode(record));
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsFleetOwned(); }));
  process_->Stop();
  BOOST_TEST(AnswerUntil([this] { return !IsFleetOwned(); }, 12'000ms, 150ms));
  jobs::FleetHandOver after;
  BOOST_TEST_REQUIRE(jobs::Decode(store_.Items().at(kFleetHandOverKey).value_, after));
  BOOST_TEST(after.fence_ == store_.RevisionOf(chain));
  BOOST_TEST(after.lastOrderMs_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Stop_StoreIsSlow_ProcessStaysUntilItsCellsAreReleased)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsOwned() && process_->ClaimsInFlight() == 0; }));
  process_->Stop();
  ProcessEventsFor(3'400ms);
  BOOST_TEST(!process_->MayExit(true));
  BOOST_TEST(AnswerUntil([this] { return process_->MayExit(true); }, 1'000ms));
  BOOST_TEST(!IsOwned());
  BOOST_TEST(!IsFleetOwned());
}

BOOST_AUTO_TEST_CASE(Stop_StoreIsAway_ProcessExitsInTime)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsOwned() && process_->ClaimsInFlight() == 0; }));
  process_->Stop();
  ProcessEventsFor(5'300ms);
  BOOST_TEST(process_->MayExit(false));
}

BOOST_AUTO_TEST_CASE(GetState_StoredStateDoesNotExist_OutcomeIsUnknown)
{
  jobs::JobRecord record = jobs::MakeEndRecord("svc", "q", jobs::JobState::kCompleted, 7);
  record.state_ = 77;
  store_.Put(cells::JobKey("job1"), jobs::Encode(record));
  JobRequest request;
  request.cell_ = "svc";
  request.id_ = "job1";
  std::optional<cells::AnswerStatus> status;
  process_->Handle(request, [&status](const auto& aAnswer) { status = aAnswer.status_; });
  BOOST_TEST_REQUIRE(AnswerUntil([&status] { return status.has_value(); }));
  BOOST_TEST((*status == cells::AnswerStatus::kUnknownOutcome));
}

// A job that has left its cell is shown from its record, which must not bypass the check.
BOOST_AUTO_TEST_CASE(GetState_RecordIsOfAnotherOrganisation_IsForbidden)
{
  store_.Put(cells::JobKey("job1"),
             jobs::Encode(jobs::MakeEndRecord("svc", "q", jobs::JobState::kCompleted, 7, "ada")));
  JobRequest request;
  request.cell_ = "no-such-cell";
  request.id_ = "job1";
  request.organisation_ = "bo";
  std::optional<cells::AnswerStatus> status;
  process_->Handle(request, [&status](const auto& aAnswer) { status = aAnswer.status_; });
  BOOST_TEST_REQUIRE(AnswerUntil([&status] { return status.has_value(); }));
  BOOST_TEST((*status == cells::AnswerStatus::kForbidden));
}

BOOST_AUTO_TEST_CASE(Stop_EarlierHostRecordIsWrittenLate_StopIsAnnouncedAgain)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsOwned() && process_->ClaimsInFlight() == 0; }));
  const std::string key = "quetzal/live/host/a";
  const std::string early = store_.Items().at(key).value_;
  const auto isAnnounced = [&] {
    jobs::HostRecord record;
    return jobs::Decode(store_.Items().at(key).value_, record) && record.stopping_;
  };
  process_->Stop();
  BOOST_TEST_REQUIRE(AnswerUntil(isAnnounced));
  store_.Put(key, early);
  BOOST_TEST(AnswerUntil(isAnnounced, 2'000ms));
}

BOOST_AUTO_TEST_CASE(Stop_CellIsOwned_ReleasesTheCellAtOnce)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsOwned() && process_->ClaimsInFlight() == 0; }));
  process_->Stop();
  BOOST_TEST(AnswerUntil([this] { return !IsOwned(); }, 600ms));
}

BOOST_AUTO_TEST_SUITE_END()

/** A process that owns no cell, and another entry host that calls it. */
struct CalledNodeFixture
{
  CalledNodeFixture()
  {
    QTcpServer server;
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    settings_.name_ = "entry-1";
    settings_.peers_ = { "127.0.0.1", server.serverPort() };
    server.close();
    ports_.store_ = &store_;
    ports_.platformState_ = &platformState_;
    node_ = std::make_unique<NodeProcess>(settings_, ports_, metrics_);
    node_->Start();
  }

  /** Calls the process and returns how the call ended. */
  CallResult Call(PeerMethod aMethod, const std::string& aBody)
  {
    std::optional<CallResult> result;
    caller_.Call(settings_.peers_, aMethod, aBody, 1s, [&result](const CallResult& aResult) {
      result = aResult;
    });
    QElapsedTimer timer;
    timer.start();
    while (!result && timer.elapsed() < 3'000) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  MemoryStore store_;
  FakePlatformState platformState_;
  metrics::Registry metrics_;
  NodeSettings settings_;
  Ports ports_;
  std::unique_ptr<NodeProcess> node_;
  PeerLinks caller_{ nullptr };
};

BOOST_FIXTURE_TEST_SUITE(CallsOfOtherHosts, CalledNodeFixture)

BOOST_AUTO_TEST_CASE(JobCall_NotReadable_IsAnsweredAsNotOwned)
{
  for (const std::string body : { "", "\xc1", "\xa5hello", "\x91\xa1x" }) {
    const CallResult result = Call(PeerMethod::kJob, body);
    JobReply reply;
    reply.owned_ = true;
    BOOST_CHECK(result.failure_ == CallFailure::kNone);
    BOOST_TEST(jobs::Decode(result.body_, reply));
    BOOST_TEST(!reply.owned_);
  }
}

BOOST_AUTO_TEST_CASE(Call_OfAnUnknownMethod_IsAnswered)
{
  constexpr auto kUnknown = static_cast<PeerMethod>(99);
  BOOST_CHECK(Call(kUnknown, "\x90").failure_ == CallFailure::kNone);
  BOOST_CHECK(Call(kUnknown, "unreadable").failure_ == CallFailure::kNone);
}

BOOST_AUTO_TEST_CASE(Report_NotReadable_IsAnsweredAsNotOwned)
{
  const CallResult result = Call(PeerMethod::kReport, "unreadable");
  ReportReply reply;
  reply.owned_ = true;
  BOOST_CHECK(result.failure_ == CallFailure::kNone);
  BOOST_TEST(jobs::Decode(result.body_, reply));
  BOOST_TEST(!reply.owned_);
}

BOOST_AUTO_TEST_SUITE_END()

/** A process that owns the cell "svc" and the fleet, and another entry host that calls it. */
struct CalledOwnerFixture : NodeFixture
{
  CalledOwnerFixture()
    : NodeFixture(FreePort())
  {
    BOOST_REQUIRE(AnswerUntil([this] { return IsFleetOwned() && IsCellReady(); }));
  }

  static std::uint16_t FreePort()
  {
    QTcpServer server;
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    return server.serverPort();
  }

  bool IsCellReady() const { return IsOwned() && process_->ClaimsInFlight() == 0; }

  /** Calls the process. @return its answer; std::nullopt if there is none. */
  template<typename Reply>
  std::optional<Reply> Call(PeerMethod aMethod, const std::string& aBody)
  {
    std::optional<CallResult> result;
    caller_.Call(
      peers_, aMethod, aBody, 800ms, [&result](const auto& aResult) { result = aResult; });
    BOOST_REQUIRE(AnswerUntil([&result] { return result.has_value(); }));
    Reply reply;
    const bool isRead =
      result->failure_ == CallFailure::kNone && jobs::Decode(result->body_, reply);
    return isRead ? std::optional(reply) : std::nullopt;
  }

  static JobCall MakeSubmission(int aTasks)
  {
    jobs::StepSpec step;
    step.count_ = aTasks;
    jobs::JobSpec spec;
    spec.steps_ = { step };
    JobCall call;
    call.kind_ = static_cast<int>(RequestKind::kSubmit);
    call.cell_ = "svc";
    call.queue_ = "q";
    call.id_ = "job1";
    call.job_ = jobs::Encode(jobs::MakeJobRecord("svc", { "q", "job1", spec, {} }, 0));
    return call;
  }

  /** Cancels a job at the process, as a caller does. */
  cells::AnswerStatus Cancel(const std::string& aJob)
  {
    JobRequest request;
    request.kind_ = RequestKind::kCancel;
    request.cell_ = "svc";
    request.queue_ = "q";
    request.id_ = aJob;
    std::optional<cells::AnswerStatus> status;
    process_->Handle(request, [&status](const auto& aAnswer) { status = aAnswer.status_; });
    BOOST_TEST(AnswerUntil([&status] { return status.has_value(); }));
    return status.value_or(cells::AnswerStatus::kUnknownOutcome);
  }

  /** Returns the answer to a call of another entry host. */
  cells::AnswerStatus StatusOf(const JobCall& aCall)
  {
    const auto reply = Call<JobReply>(PeerMethod::kJob, jobs::Encode(aCall));
    const auto answer = reply ? FromReply(*reply) : std::nullopt;
    BOOST_TEST(answer.has_value());
    return answer ? answer->status_ : cells::AnswerStatus::kUnknownOutcome;
  }

  bool IsServed(const JobCall& aCall)
  {
    const auto reply = Call<JobReply>(PeerMethod::kJob, jobs::Encode(aCall));
    BOOST_TEST(reply.has_value());
    return reply && reply->owned_;
  }

  PeerLinks caller_{ nullptr };
};

BOOST_FIXTURE_TEST_SUITE(CallsOfOtherHostsToAnOwner, CalledOwnerFixture)

BOOST_AUTO_TEST_CASE(JobCall_CanBeRun_IsServed)
{
  BOOST_TEST(IsServed(MakeSubmission(1)));
}

// Guards against a job that runs after its caller was told that it does not exist: its submission
// waited in another entry host while the cancel was answered.
BOOST_AUTO_TEST_CASE(Cancel_SubmissionIsStillOnItsWay_SubmissionIsRefused)
{
  BOOST_TEST((Cancel("job1") == cells::AnswerStatus::kUnknownJob));
  BOOST_TEST((StatusOf(MakeSubmission(1)) == cells::AnswerStatus::kRefused));
  BOOST_TEST((Cancel("job1") == cells::AnswerStatus::kUnknownJob));
}

// Guards against the same where the caller cancels at a host of the last release, which reads the
// store itself and stores no tombstone.
BOOST_AUTO_TEST_CASE(CancelCall_OfAnEarlierRelease_SubmissionThatFollowsIsRefused)
{
  JobCall cancel = MakeSubmission(1);
  cancel.kind_ = static_cast<int>(RequestKind::kCancel);
  cancel.job_.clear();
  BOOST_TEST((StatusOf(cancel) == cells::AnswerStatus::kUnknownJob));
  BOOST_TEST((StatusOf(MakeSubmission(1)) == cells::AnswerStatus::kRefused));
}

// A host of this release stores the tombstone itself.
BOOST_AUTO_TEST_CASE(CancelCall_OfThisRelease_NothingIsStored)
{
  JobCall cancel = MakeSubmission(1);
  cancel.kind_ = static_cast<int>(RequestKind::kCancel);
  cancel.job_.clear();
  cancel.entryHost_ = "b";
  BOOST_TEST((StatusOf(cancel) == cells::AnswerStatus::kUnknownJob));
  BOOST_TEST(store_.RevisionOf(cells::JobKey("job1")) == 0);
}

BOOST_AUTO_TEST_CASE(JobCall_KindDoesNotExist_IsAnsweredAsNotOwned)
{
  for (const int kind : { -1, 0, 5, 99 }) {
    JobCall call = MakeSubmission(1);
    call.kind_ = kind;
    BOOST_TEST(!IsServed(call));
  }
}

BOOST_AUTO_TEST_CASE(JobCall_JobIsNotReadable_IsAnsweredAsNotOwned)
{
  JobCall call = MakeSubmission(1);
  call.job_ = "unreadable";
  BOOST_TEST(!IsServed(call));
  call.job_.clear();
  BOOST_TEST(!IsServed(call));
}

BOOST_AUTO_TEST_CASE(JobCall_JobCannotBeRun_IsAnsweredAsNotOwned)
{
  BOOST_TEST(!IsServed(MakeSubmission(-1)));
}

BOOST_AUTO_TEST_CASE(Report_AmountIsNotANumber_IsAnsweredAsNotOwned)
{
  for (const double cores : { std::nan(""), HUGE_VAL, -1.0 }) {
    ReportCall call;
    call.service_ = "svc";
    call.forecastCores_ = cores;
    const auto reply = Call<ReportReply>(PeerMethod::kReport, jobs::Encode(call));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(!reply->owned_);
  }
}

BOOST_AUTO_TEST_SUITE_END()

/** A process whose cell "svc" is owned by another entry host. That host closes the connection of
 * the first call without an answer, and refuses every later one. */
struct RefusingOwnerFixture : NodeFixture
{
  RefusingOwnerFixture()
  {
    BOOST_REQUIRE(server_.listen(QHostAddress::LocalHost));
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { Accept(); });
    jobs::OwnerRecord owner;
    owner.owner_ = "z";
    owner.address_ = "127.0.0.1";
    owner.port_ = server_.serverPort();
    owner.incarnation_ = "z1";
    store_.Put(CellKey("svc"), jobs::Encode(owner));
    BOOST_REQUIRE(AnswerUntil([this] { return process_->IsReady(); }));
  }

  void Accept()
  {
    QTcpSocket* socket = server_.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, &server_, [this, socket] {
      bytes_ += socket->readAll();
      while (const auto payload = wire::TakeFrame(bytes_)) {
        if (++calls_ == 1) {
          socket->abort();
          return;
        }
        const std::int64_t number = UnpackEnvelope(*payload).number_;
        socket->write(wire::MakeFrame(Pack({ number, 0, jobs::Encode(reply_) })));
      }
    });
  }

  static JobRequest MakeRequest(RequestKind aKind)
  {
    JobRequest request;
    request.kind_ = aKind;
    request.cell_ = "svc";
    request.queue_ = "q";
    request.id_ = "job1";
    request.timeout_ = 1'500ms;
    return request;
  }

  cells::AnswerStatus Submit()
  {
    std::optional<cells::AnswerStatus> status;
    process_->Handle(MakeRequest(RequestKind::kSubmit),
                     [&status](const auto& aAnswer) { status = aAnswer.status_; });
    BOOST_TEST(AnswerUntil([&status] { return status.has_value(); }));
    return status.value();
  }

  /** Sends a request whose first attempt gets no answer. @return its number. */
  std::uint64_t SendWithoutAnswer(RequestKind aKind)
  {
    const std::uint64_t number =
      process_->Handle(MakeRequest(aKind), [this](const auto&) { ++answers_; });
    BOOST_TEST_REQUIRE(AnswerUntil([this] { return calls_ == 1; }));
    return number;
  }

  QTcpServer server_;
  QByteArray bytes_;
  int calls_ = 0;
  int answers_ = 0; ///< To SendWithoutAnswer().
  JobReply reply_ = ToReply({ cells::AnswerStatus::kRefused, {}, 0, 1'000ms });
};

BOOST_FIXTURE_TEST_SUITE(RequestsAtARefusingOwner, RefusingOwnerFixture)

BOOST_AUTO_TEST_CASE(Submit_EarlierAttemptMayStillBeCarriedOut_RefusalIsNotPassedOn)
{
  BOOST_TEST((Submit() == cells::AnswerStatus::kUnknownOutcome));
  BOOST_TEST(calls_ > 1);
}

BOOST_AUTO_TEST_CASE(Submit_AnsweredWhileTheNextAttemptIsDue_IsNotAttemptedAgain)
{
  BOOST_TEST((Submit() == cells::AnswerStatus::kUnknownOutcome));
  const int callsBefore = calls_;
  ProcessEventsFor(500ms);
  BOOST_TEST(calls_ == callsBefore);
}

// Guards against jobs that nobody waits for, and that their callers have cancelled meanwhile.
BOOST_AUTO_TEST_CASE(Submit_CallerHasLeft_IsNotAttemptedAgain)
{
  process_->OnCallerLeft(SendWithoutAnswer(RequestKind::kSubmit));
  ProcessEventsFor(500ms);
  BOOST_TEST(calls_ == 1);
  ProcessEventsFor(1'200ms);
  BOOST_TEST(answers_ == 0);
}

// A cancel without an answer may have to be carried out nevertheless.
BOOST_AUTO_TEST_CASE(Cancel_CallerHasLeft_IsAttemptedAgain)
{
  process_->OnCallerLeft(SendWithoutAnswer(RequestKind::kCancel));
  BOOST_TEST(AnswerUntil([this] { return calls_ > 1; }));
}

// Guards against attempts of a host that goes on after a pause: the caller has given up by then.
BOOST_AUTO_TEST_CASE(Submit_ProcessIsPausedUntilTheRequestsTimeIsOver_IsNotAttemptedAgain)
{
  SendWithoutAnswer(RequestKind::kSubmit);
  std::this_thread::sleep_for(1'600ms);
  ProcessEventsFor(500ms);
  BOOST_TEST(calls_ == 1);
  BOOST_TEST(answers_ == 1);
}

BOOST_AUTO_TEST_CASE(Submit_FirstAttemptIsRefused_IsRefusedAtOnce)
{
  calls_ = 1;
  BOOST_TEST((Submit() == cells::AnswerStatus::kRefused));
  BOOST_TEST(calls_ == 2);
}

BOOST_AUTO_TEST_CASE(Submit_ReplyIsOutOfRange_OutcomeIsUnknown)
{
  calls_ = 1;
  reply_.status_ = 99;
  BOOST_TEST((Submit() == cells::AnswerStatus::kUnknownOutcome));
  reply_ = ToReply({ cells::AnswerStatus::kAccepted });
  reply_.state_ = 77;
  BOOST_TEST((Submit() == cells::AnswerStatus::kUnknownOutcome));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
