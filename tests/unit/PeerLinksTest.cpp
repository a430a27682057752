#include "include/quetzal/node/PeerLinks.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/wire/Frame.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <msgpack.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

namespace {

using namespace quetzal;
using namespace quetzal::node;
using namespace std::chrono_literals;

constexpr auto kJobMethod = static_cast<int>(PeerMethod::kJob);

/** Runs the event loop until a condition holds. @return whether it held within the bound. */
bool
RunUntil(const std::function<bool()>& aCondition, clock::Milliseconds aBound = 8s)
{
  QElapsedTimer timer;
  timer.start();
  while (!aCondition()) {
    if (timer.elapsed() > aBound.count()) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return true;
}

void
RunFor(clock::Milliseconds aTime)
{
  RunUntil([] { return false; }, aTime);
}

/** A message between entry hosts, as other versions of the program send it. */
struct Message
{
  std::int64_t number_ = 0;
  int method_ = 0;
  std::string body_;

  MSGPACK_DEFINE_ARRAY(number_, method_, body_)
};

QByteArray
FrameOf(const Message& aMessage)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aMessage);
  return wire::MakeFrame({ buffer.data(), buffer.size() });
}

/** Another entry host, whose connections answer as a test decides. */
class FakePeer
{
public:
  struct Connection
  {
    std::unique_ptr<QTcpSocket> socket_;
    QByteArray unread_;
    bool reads_ = true;
    std::vector<Message> calls_;
  };

  FakePeer()
  {
    BOOST_REQUIRE(server_.listen(QHostAddress::LocalHost));
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      while (QTcpSocket* socket = server_.nextPendingConnection()) {
        auto& connection = connections_.emplace_back(std::make_unique<Connection>());
        connection->socket_.reset(socket);
        socket->setParent(nullptr);
        connection->reads_ = !silent_;
        QObject::connect(
          socket, &QTcpSocket::readyRead, socket, [&peer = *connection] { Read(peer); });
      }
    });
  }

  settings::Endpoint Endpoint() const { return { "127.0.0.1", server_.serverPort() }; }
  Connection& At(std::size_t aIndex) { return *connections_.at(aIndex); }
  std::size_t ConnectionCount() const { return connections_.size(); }

  bool IsOpen(std::size_t aIndex) const
  {
    return connections_.at(aIndex)->socket_->state() == QAbstractSocket::ConnectedState;
  }

  /** Returns whether that many calls have arrived on a connection. */
  bool HasCalls(std::size_t aConnection, std::size_t aCount) const
  {
    return aConnection < connections_.size() && connections_[aConnection]->calls_.size() >= aCount;
  }

  void Answer(std::size_t aConnection, const std::string& aBody)
  {
    Connection& connection = At(aConnection);
    for (const Message& call : connection.calls_) {
      if (call.body_ == aBody) {
        connection.socket_->write(FrameOf({ call.number_, 0, "answer to " + aBody }));
      }
    }
  }

  void Write(std::size_t aConnection, const QByteArray& aBytes)
  {
    At(aConnection).socket_->write(aBytes);
  }

  /** Sets whether connections accepted from now on carry nothing in either direction. */
  bool silent_ = false;

private:
  static void Read(Connection& aConnection)
  {
    const QByteArray bytes = aConnection.socket_->readAll();
    if (!aConnection.reads_) {
      return;
    }
    aConnection.unread_ += bytes;
    while (const auto payload = wire::TakeFrame(aConnection.unread_)) {
      Message message;
      msgpack::unpack(payload->data(), payload->size()).get().convert(message);
      if (message.method_ == kJobMethod) {
        aConnection.calls_.push_back(message);
      } else {
        aConnection.socket_->write(FrameOf({ message.number_, 0, {} }));
      }
    }
  }

  QTcpServer server_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

/** A port of this host that is bound, but accepts no connection. */
class UnreachablePeer
{
public:
  UnreachablePeer()
    : listener_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address_);
    auto* address = reinterpret_cast<sockaddr*>(&address_);
    BOOST_REQUIRE(::bind(listener_, address, length) == 0);
    BOOST_REQUIRE(::listen(listener_, 0) == 0);
    BOOST_REQUIRE(::getsockname(listener_, address, &length) == 0);
    // Connections that nobody accepts fill the backlog.
    for (int& descriptor : backlog_) {
      descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      std::ignore = ::connect(descriptor, address, length);
    }
  }
  ~UnreachablePeer()
  {
    for (const int descriptor : backlog_) {
      ::close(descriptor);
    }
    ::close(listener_);
  }
  UnreachablePeer(const UnreachablePeer&) = delete;
  UnreachablePeer& operator=(const UnreachablePeer&) = delete;

  settings::Endpoint Endpoint() const { return { "127.0.0.1", ntohs(address_.sin_port) }; }

private:
  sockaddr_in address_{};
  int listener_;
  std::array<int, 4> backlog_{};
};

/** How one call ended. */
struct Result
{
  int count_ = 0; ///< Number of results; must not exceed 1.
  CallFailure failure_ = CallFailure::kNone;
  std::string body_;
  clock::Moment at_{};
};

struct PeerLinksFixture
{
  Result& Call(const settings::Endpoint& aPeer,
               const std::string& aBody,
               clock::Milliseconds aTimeout)
  {
    Result& result = *results_.emplace_back(std::make_unique<Result>());
    links_.Call(aPeer, PeerMethod::kJob, aBody, aTimeout, [&result](const CallResult& aResult) {
      ++result.count_;
      result.failure_ = aResult.failure_;
      result.body_ = aResult.body_;
      result.at_ = clock::Now();
    });
    return result;
  }

  static bool WaitFor(const Result& aResult)
  {
    return RunUntil([&aResult] { return aResult.count_ > 0; });
  }

  static settings::Endpoint FreeEndpoint()
  {
    QTcpServer server;
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    return { "127.0.0.1", server.serverPort() };
  }

  std::vector<std::unique_ptr<Result>> results_;
  PeerLinks links_{ nullptr };
};

BOOST_FIXTURE_TEST_SUITE(PeerLinksSuite, PeerLinksFixture)

// --- Calls that expire ---------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(Calls_OneExpires_OthersOnItsConnectionGetTheirAnswers)
{
  FakePeer peer;
  const Result& brief = Call(peer.Endpoint(), "brief", 200ms);
  const Result& first = Call(peer.Endpoint(), "first", 5s);
  const Result& second = Call(peer.Endpoint(), "second", 4s);
  BOOST_REQUIRE(RunUntil([&] { return peer.HasCalls(0, 3); }));
  BOOST_REQUIRE(WaitFor(brief));
  BOOST_TEST(first.count_ == 0);
  BOOST_TEST(second.count_ == 0);
  peer.Answer(0, "second");
  peer.Answer(0, "first");
  BOOST_REQUIRE(WaitFor(first));
  BOOST_CHECK(brief.failure_ == CallFailure::kNoAnswer);
  BOOST_TEST(first.body_ == "answer to first");
  BOOST_TEST(second.body_ == "answer to second");
  BOOST_TEST(peer.ConnectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(Answer_ArrivesAfterItsCallExpired_IsIgnored)
{
  FakePeer peer;
  const Result& expired = Call(peer.Endpoint(), "expired", 150ms);
  BOOST_REQUIRE(RunUntil([&] { return peer.HasCalls(0, 1); }));
  BOOST_REQUIRE(WaitFor(expired));
  const Result& next = Call(peer.Endpoint(), "next", 3s);
  BOOST_REQUIRE(RunUntil([&] { return peer.HasCalls(0, 2); }, 1s));
  peer.Answer(0, "expired");
  RunFor(50ms);
  BOOST_TEST(next.count_ == 0);
  peer.Answer(0, "next");
  BOOST_REQUIRE(WaitFor(next));
  BOOST_TEST(next.body_ == "answer to next");
  BOOST_TEST(expired.count_ == 1);
}

BOOST_AUTO_TEST_CASE(Peer_AnswersLateButIsResponsive_KeepsItsConnection)
{
  FakePeer peer;
  const Result& slow = Call(peer.Endpoint(), "slow", 6s);
  RunFor(3s);
  BOOST_TEST(slow.count_ == 0);
  BOOST_TEST(peer.ConnectionCount() == 1U);
  peer.Answer(0, "slow");
  BOOST_REQUIRE(WaitFor(slow));
  BOOST_TEST(slow.body_ == "answer to slow");
}

// --- Silent connections --------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(Connection_CarriesNothingWhileANewOneDoes_IsReplacedInBoundedTime)
{
  FakePeer peer;
  peer.silent_ = true;
  const clock::Moment start = clock::Now();
  const Result& lost = Call(peer.Endpoint(), "lost", 20s);
  BOOST_REQUIRE(RunUntil([&] { return peer.ConnectionCount() == 1; }));
  peer.silent_ = false;
  BOOST_REQUIRE(WaitFor(lost));
  BOOST_CHECK(lost.failure_ == CallFailure::kNoAnswer);
  BOOST_CHECK(lost.at_ - start < 2s);
  const Result& next = Call(peer.Endpoint(), "next", 3s);
  BOOST_REQUIRE(RunUntil([&] { return peer.HasCalls(1, 1); }));
  peer.Answer(1, "next");
  BOOST_REQUIRE(WaitFor(next));
  BOOST_TEST(next.body_ == "answer to next");
  BOOST_TEST(!peer.IsOpen(0));
}

BOOST_AUTO_TEST_CASE(Connection_OnlyShortCallsWaitOnIt_IsReplacedOnceSilent)
{
  FakePeer peer;
  peer.silent_ = true;
  Call(peer.Endpoint(), "first", 200ms);
  BOOST_REQUIRE(RunUntil([&] { return peer.ConnectionCount() == 1; }));
  peer.silent_ = false;
  const bool replaced = RunUntil(
    [&] {
      RunFor(150ms);
      Call(peer.Endpoint(), "next", 200ms);
      return peer.HasCalls(1, 1);
    },
    3s);
  BOOST_TEST(replaced);
}

BOOST_AUTO_TEST_CASE(Peer_AnswersNothingOnAnyConnection_CallsEndInBoundedTime)
{
  FakePeer peer;
  peer.silent_ = true;
  const clock::Moment start = clock::Now();
  const Result& lost = Call(peer.Endpoint(), "lost", 20s);
  BOOST_REQUIRE(WaitFor(lost));
  BOOST_CHECK(lost.failure_ == CallFailure::kNoAnswer);
  BOOST_CHECK(lost.at_ - start < 5s);
}

BOOST_AUTO_TEST_CASE(Peer_StallsAndGoesOn_CallsOnTheFirstConnectionGetTheirAnswers)
{
  FakePeer peer;
  peer.silent_ = true;
  const Result& stalled = Call(peer.Endpoint(), "stalled", 5s);
  BOOST_REQUIRE(RunUntil([&] { return peer.ConnectionCount() == 1; }));
  RunFor(3s);
  BOOST_TEST(stalled.count_ == 0);
  BOOST_TEST(peer.ConnectionCount() <= 2U);
  peer.Write(0, FrameOf({ 1, 0, "answer to stalled" }));
  BOOST_REQUIRE(WaitFor(stalled));
  BOOST_TEST(stalled.body_ == "answer to stalled");
}

// --- Connections that cannot be made -------------------------------------------------------------

BOOST_AUTO_TEST_CASE(Peer_RefusesConnections_CallsEndAtOnceAsNotSent)
{
  const clock::Moment start = clock::Now();
  const Result& refused = Call(FreeEndpoint(), "refused", 5s);
  BOOST_TEST(refused.count_ == 0);
  BOOST_REQUIRE(WaitFor(refused));
  BOOST_CHECK(refused.failure_ == CallFailure::kNotSent);
  BOOST_CHECK(refused.at_ - start < 500ms);
}

BOOST_AUTO_TEST_CASE(Peer_CannotBeReached_CallsEndAsNotSentInBoundedTime)
{
  const UnreachablePeer peer;
  const clock::Moment start = clock::Now();
  const Result& brief = Call(peer.Endpoint(), "brief", 200ms);
  const Result& patient = Call(peer.Endpoint(), "patient", 5s);
  BOOST_REQUIRE(WaitFor(patient));
  BOOST_CHECK(brief.failure_ == CallFailure::kNotSent);
  BOOST_CHECK(patient.failure_ == CallFailure::kNotSent);
  BOOST_CHECK(patient.at_ - start < 1'500ms);
}

BOOST_AUTO_TEST_CASE(Connection_ClosedByThePeer_SentCallsEndAtOnceAsNoAnswer)
{
  FakePeer peer;
  const Result& call = Call(peer.Endpoint(), "call", 5s);
  BOOST_REQUIRE(RunUntil([&] { return peer.HasCalls(0, 1); }));
  const clock::Moment start = clock::Now();
  peer.At(0).socket_->abort();
  BOOST_REQUIRE(WaitFor(call));
  BOOST_CHECK(call.failure_ == CallFailure::kNoAnswer);
  BOOST_CHECK(call.at_ - start < 500ms);
}

// --- Malformed messages --------------------------------------------------------------------------

struct MalformedCase
{
  const char* name_;
  QByteArray bytes_;
};

std::vector<MalformedCase>
MalformedCases()
{
  return { { "a frame beyond the size limit", QByteArray("\xff\xff\xff\xff", 4) },
           { "not msgpack", wire::MakeFrame("\xc1\xc1") },
           { "an array that is cut short", wire::MakeFrame("\xdd\xff\xff\xff\xff") },
           { "not an envelope", wire::MakeFrame("\xa5hello") },
           { "an envelope of wrong types", wire::MakeFrame("\x93\xa1x\xa1y\xa1z") } };
}

BOOST_AUTO_TEST_CASE(Answer_Malformed_DropsOnlyItsConnection)
{
  for (const MalformedCase& malformed : MalformedCases()) {
    BOOST_TEST_CONTEXT(malformed.name_)
    {
      FakePeer peer;
      FakePeer other;
      const Result& call = Call(peer.Endpoint(), "call", 4s);
      const Result& elsewhere = Call(other.Endpoint(), "elsewhere", 7s);
      BOOST_REQUIRE(RunUntil([&] { return peer.HasCalls(0, 1) && other.HasCalls(0, 1); }));
      const clock::Moment start = clock::Now();
      peer.Write(0, malformed.bytes_);
      BOOST_REQUIRE(WaitFor(call));
      BOOST_CHECK(call.failure_ == CallFailure::kNoAnswer);
      BOOST_CHECK(call.at_ - start < 500ms);
      BOOST_TEST(elsewhere.count_ == 0);
      other.Answer(0, "elsewhere");
      BOOST_REQUIRE(WaitFor(elsewhere));
      BOOST_TEST(elsewhere.body_ == "answer to elsewhere");
      const Result& next = Call(peer.Endpoint(), "next", 3s);
      BOOST_REQUIRE(RunUntil([&] { return peer.HasCalls(1, 1); }));
      peer.Answer(1, "next");
      BOOST_TEST(WaitFor(next));
    }
  }
}

BOOST_AUTO_TEST_CASE(Call_Malformed_ClosesOnlyItsConnection)
{
  const settings::Endpoint self = FreeEndpoint();
  links_.Serve(self, [](PeerMethod, const std::string& aBody, const auto& aReply) {
    aReply("served " + aBody);
  });
  for (const MalformedCase& malformed : MalformedCases()) {
    BOOST_TEST_CONTEXT(malformed.name_)
    {
      const Result& before = Call(self, "before", 3s);
      BOOST_REQUIRE(WaitFor(before));
      QTcpSocket intruder;
      intruder.connectToHost(QHostAddress(QHostAddress::LocalHost), self.port_);
      BOOST_REQUIRE(
        RunUntil([&intruder] { return intruder.state() == QAbstractSocket::ConnectedState; }));
      intruder.write(malformed.bytes_ + FrameOf({ 1, kJobMethod, "after" }));
      BOOST_TEST(RunUntil(
        [&intruder] { return intruder.state() == QAbstractSocket::UnconnectedState; }, 1s));
      BOOST_TEST(intruder.readAll().isEmpty());
      const Result& after = Call(self, "after", 3s);
      BOOST_REQUIRE(WaitFor(after));
      BOOST_TEST(after.body_ == "served after");
    }
  }
}

BOOST_AUTO_TEST_CASE(Frame_CutShortByTheEndOfItsConnection_IsNotServed)
{
  const settings::Endpoint self = FreeEndpoint();
  int served = 0;
  links_.Serve(self, [&served](PeerMethod, const std::string&, const auto& aReply) {
    ++served;
    aReply({});
  });
  QTcpSocket intruder;
  intruder.connectToHost(QHostAddress(QHostAddress::LocalHost), self.port_);
  BOOST_REQUIRE(
    RunUntil([&intruder] { return intruder.state() == QAbstractSocket::ConnectedState; }));
  intruder.write(FrameOf({ 1, kJobMethod, "cut short" }).chopped(3));
  intruder.disconnectFromHost();
  RunFor(100ms);
  BOOST_TEST(served == 0);
  BOOST_TEST(WaitFor(Call(self, "whole", 3s)));
  BOOST_TEST(served == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
