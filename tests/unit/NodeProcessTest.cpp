#include "include/quetzal/node/NodeProcess.h"
#include "tests/unit/FakeWorkers.h"
#include "tests/unit/MemoryStore.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
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
  NodeFixture()
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
    settings.peers_ = { "127.0.0.1", 0 };
    settings.stopTime_ = 6'000ms;
    process_.emplace(settings,
                     node::Ports{ &store_, &platformState_, &hosts_, nullptr, fleet_.Factory() },
                     metrics_);
    process_->Start();
  }

  /** Lets the store answer, one call at a time, until a condition holds. */
  bool AnswerUntil(const std::function<bool()>& aCondition,
                   std::chrono::milliseconds aTimeout = 5'000ms)
  {
    QElapsedTimer timer;
    timer.start();
    while (!aCondition()) {
      if (timer.elapsed() > aTimeout.count()) {
        return false;
      }
      QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
      store_.AnswerNext();
    }
    return true;
  }

  bool IsOwned() const { return store_.RevisionOf(node::CellKey("svc")) != 0; }

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

BOOST_AUTO_TEST_CASE(Stop_CellIsOwned_ReleasesTheCellAtOnce)
{
  BOOST_TEST_REQUIRE(AnswerUntil([this] { return IsOwned() && process_->ClaimsInFlight() == 0; }));
  process_->Stop();
  BOOST_TEST(AnswerUntil([this] { return !IsOwned(); }, 600ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
