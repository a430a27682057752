#include "include/quetzal/node/NodeProcess.h"

#include "src/node/Messages.h"
#include "tests/unit/FakeWorkers.h"
#include "tests/unit/MemoryStore.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <QtNetwork/QTcpServer>
#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::node;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** A process that owns no cell, and another entry host that calls it. */
struct NodeProcessFixture
{
  NodeProcessFixture()
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

BOOST_FIXTURE_TEST_SUITE(CallsOfOtherHosts, NodeProcessFixture)

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

} // namespace
