#include "include/quetzal/node/FleetManager.h"
#include "tests/unit/FakeWorkers.h"
#include "tests/unit/MemoryStore.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <QtCore/QTimer>
#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** Hosts in memory. Records every order with its owner's name and fence. */
class FakeHosts : public fleet::HostPort
{
public:
  struct Order
  {
    std::string host_;
    fleet::OrderAuthority by_;
    clock::Moment at_{};
  };

  void List(std::function<void(const fleet::HostList&)> aDone) override
  {
    fleet::HostList list{ true, 1, hosts_ };
    QTimer::singleShot(0, [aDone, list] { aDone(list); });
  }

  void Move(const std::string& aHost,
            const std::string& aPool,
            const fleet::OrderAuthority& aAuthority,
            std::function<void(fleet::HostOrderStatus)> aDone) override
  {
    orders_.push_back({ aHost, aAuthority, std::chrono::steady_clock::now() });
    for (fleet::Host& host : hosts_) {
      host.pool_ = host.name_ == aHost ? aPool : host.pool_;
    }
    QTimer::singleShot(0, [aDone] { aDone(fleet::HostOrderStatus::kAccepted); });
  }

  void Maintain(const std::string& aHost,
                std::int64_t /*aWave*/,
                const fleet::OrderAuthority& aAuthority,
                std::function<void(fleet::HostOrderStatus)> aDone) override
  {
    orders_.push_back({ aHost, aAuthority, std::chrono::steady_clock::now() });
    QTimer::singleShot(0, [aDone] { aDone(fleet::HostOrderStatus::kAccepted); });
  }

  std::vector<fleet::Host> hosts_;
  std::vector<Order> orders_;
};

/** A standby pool of ten hosts, and a service with demand for them. */
struct FleetFixture
{
  FleetFixture()
  {
    feed_.configuration_.services_ = { { "svc", false, true }, { "spare", true, true } };
    for (int i = 0; i < 10; ++i) {
      fleet::Host host;
      host.name_ = "m" + std::to_string(i);
      host.pool_ = "spare";
      host.state_ = fleet::HostState::kUp;
      host.milliCores_ = 10'000;
      host.memoryMb_ = 64'000;
      hosts_.hosts_.push_back(host);
    }
    options_.orderGap_ = 700ms;
    options_.ordersPerSecond_ = 100;
    options_.readsPerSecond_ = 100;
  }

  std::unique_ptr<node::FleetManager> Begin(const std::string& aName,
                                            std::int64_t aFence,
                                            std::int64_t aPredecessor)
  {
    node::FleetOwnership ownership{ aName, aFence, aPredecessor, aName == ownerBefore_, [this] {
                                     return leaseHeld_;
                                   } };
    return std::make_unique<node::FleetManager>(
      hosts_, store_, feed_, metrics_, ownership, options_, nullptr);
  }

  /** Runs an owner whose service needs wantedCores_. */
  void Run(node::FleetManager& aOwner, std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < aTime.count()) {
      cells::CellReport report;
      report.service_ = "svc";
      report.urgentCores_ = wantedCores_;
      aOwner.OnReport(report);
      ProcessEvents();
    }
  }

  void ProcessEvents()
  {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 20);
    store_.AnswerAll();
  }

  /** Hands over the fleet as a stopping host does. */
  void HandOver(node::FleetManager& aOwner)
  {
    aOwner.Stop();
    store_.Put(node::kFleetHandOverKey, jobs::Encode(aOwner.HandOver()));
  }

  FakePlatformState feed_;
  MemoryStore store_;
  metrics::Registry metrics_;
  FakeHosts hosts_;
  node::FleetOptions options_;
  double wantedCores_ = 20;
  bool leaseHeld_ = true;
  std::string ownerBefore_; ///< Host whose earlier process owned the fleet last.
};

BOOST_FIXTURE_TEST_SUITE(FleetOwnership, FleetFixture)

BOOST_AUTO_TEST_CASE(Owner_PredecessorMayStillOrder_WaitsForTheOrderGap)
{
  const auto startedAt = std::chrono::steady_clock::now();
  const auto owner = Begin("b", 20, 10);
  Run(*owner, 1'200ms);
  BOOST_REQUIRE(!hosts_.orders_.empty());
  BOOST_TEST((hosts_.orders_.front().at_ - startedAt >= options_.orderGap_));
}

/** After a power failure a host claims what it owned before. It must not wait for itself. */
BOOST_AUTO_TEST_CASE(Owner_WasTheOwnerBeforeItsRestart_OrdersSoon)
{
  options_.orderGap_ = 5s;
  const auto startedAt = std::chrono::steady_clock::now();
  ownerBefore_ = "a";
  const auto owner = Begin("a", 20, 10);
  Run(*owner, 1'800ms);
  BOOST_REQUIRE(!hosts_.orders_.empty());
  BOOST_TEST((hosts_.orders_.front().at_ - startedAt >= 600ms));
}

/** What the earlier process ordered is not known, so a successor must wait for the whole gap. */
BOOST_AUTO_TEST_CASE(Owner_HandsOverSoonAfterItsRestart_RecordIsNotComplete)
{
  options_.orderGap_ = 5s;
  ownerBefore_ = "a";
  const auto owner = Begin("a", 20, 10);
  Run(*owner, 1'200ms);
  owner->Stop();
  BOOST_TEST(owner->HandOver().fence_ == 0);
}

BOOST_AUTO_TEST_CASE(Owner_FleetHandedOver_OrdersAtOnceExceptRecentlyOrderedHosts)
{
  auto first = Begin("a", 10, 0);
  Run(*first, 1'200ms);
  std::set<std::string> ordered;
  for (const auto& order : hosts_.orders_) {
    ordered.insert(order.host_);
  }
  BOOST_REQUIRE(!ordered.empty());
  HandOver(*first);
  first.reset();
  const std::size_t before = hosts_.orders_.size();
  wantedCores_ = 60;
  const auto second = Begin("b", 20, 10);
  Run(*second, 500ms);
  BOOST_TEST(hosts_.orders_.size() > before);
  for (std::size_t i = before; i < hosts_.orders_.size(); ++i) {
    BOOST_TEST(hosts_.orders_[i].by_.fence_ == 20);
    BOOST_TEST(!ordered.contains(hosts_.orders_[i].host_));
  }
}

BOOST_AUTO_TEST_CASE(Owner_HandOverRecordOfEarlierOwner_Waits)
{
  auto first = Begin("a", 10, 0);
  Run(*first, 1'000ms);
  HandOver(*first);
  first.reset();
  // The owner with fence 15 took over in between and was killed.
  const std::size_t before = hosts_.orders_.size();
  wantedCores_ = 60;
  const auto third = Begin("c", 20, 15);
  Run(*third, 400ms);
  BOOST_TEST(hosts_.orders_.size() == before);
}

BOOST_AUTO_TEST_CASE(Owner_StoppedBeforeOrderGapPassed_SuccessorWaits)
{
  auto second = Begin("b", 20, 10);
  Run(*second, 200ms);
  HandOver(*second);
  second.reset();
  wantedCores_ = 60;
  const auto third = Begin("c", 30, 20);
  Run(*third, 400ms);
  BOOST_TEST(hosts_.orders_.empty());
}

BOOST_AUTO_TEST_CASE(Owner_LeaseNotHeld_OrdersNothing)
{
  leaseHeld_ = false;
  const auto owner = Begin("b", 20, 10);
  Run(*owner, 1'200ms);
  BOOST_TEST(hosts_.orders_.empty());
}

/** The answer let the cell start tasks on the worker after its report. */
BOOST_AUTO_TEST_CASE(Owner_LastAnswerDidNotCordonTheWorker_DoesNotMoveItsHost)
{
  for (fleet::Host& host : hosts_.hosts_) {
    host.pool_ = "svc";
    host.worker_ = "w-" + host.name_;
  }
  wantedCores_ = 1'000;
  const auto owner = Begin("b", 20, 0);
  const auto report = [&] {
    cells::CellReport idle;
    idle.service_ = "svc";
    idle.urgentCores_ = wantedCores_;
    for (const fleet::Host& host : hosts_.hosts_) {
      idle.workers_.push_back({ host.worker_, 0, false, true, true });
    }
    return owner->OnReport(idle);
  };
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < 1'200) {
    BOOST_TEST(report().cordoned_.empty());
    ProcessEvents();
  }
  // The next plans cordon workers. No report has been answered since.
  wantedCores_ = 0;
  feed_.waves_[1] = { 1, { "m0" }, 1 };
  timer.start();
  while (timer.elapsed() < 500) {
    ProcessEvents();
  }
  BOOST_TEST(hosts_.orders_.empty());
  timer.start();
  while (hosts_.orders_.empty() && timer.elapsed() < 5'000) {
    report();
    ProcessEvents();
  }
  BOOST_TEST(!hosts_.orders_.empty());
}

BOOST_AUTO_TEST_CASE(Owner_HostOrderedOnce_IsNotOrderedAgain)
{
  const auto owner = Begin("b", 20, 0);
  Run(*owner, 1'500ms);
  std::map<std::string, int> orders;
  for (const auto& order : hosts_.orders_) {
    BOOST_TEST(++orders[order.host_] == 1);
  }
}

// An owner without its lease may have a successor, which does not know what it grants.
BOOST_AUTO_TEST_CASE(Quota_OwnerHasLostItsLease_GrantsAreNotRaised)
{
  feed_.configuration_.organisations_ = { { "ada", 1, { 8'000, 0, 0 } } };
  const auto owner = Begin("b", 20, 10);
  cells::CellReport report;
  report.service_ = "svc";
  report.fence_ = 5;
  report.sequence_ = 1;
  report.isSynchronized_ = true;
  report.organisations_ = { { "ada", {}, { 6'000, 0, 0 }, { 1'000, 0, 0 }, {}, 0 } };
  const node::CellOrders first = owner->OnReport(report);
  BOOST_TEST(first.hasGrants_);
  BOOST_REQUIRE(first.grants_.size() == 1U);
  BOOST_TEST(first.grants_.front().limit_.cpu_ >= 6'000);
  leaseHeld_ = false;
  report.sequence_ = 2;
  report.organisations_.front().held_ = { 2'000, 0, 0 };
  const node::CellOrders second = owner->OnReport(report);
  BOOST_REQUIRE(second.grants_.size() == 1U);
  BOOST_TEST(second.grants_.front().limit_.cpu_ == 2'000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
