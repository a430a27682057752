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

/** Hosts in memory. Every order is kept, with the owner's name and fence number. */
class FakeHosts : public fleet::HostPort
{
public:
  struct Order
  {
    std::string machine_;
    fleet::OrderAuthority by_;
    clock::Moment at_{};
  };

  void List(std::function<void(const fleet::HostList&)> aDone) override
  {
    fleet::HostList list{ true, 1, machines_ };
    QTimer::singleShot(0, [aDone, list] { aDone(list); });
  }

  void Move(const std::string& aMachine,
            const std::string& aPool,
            const fleet::OrderAuthority& aAuthority,
            std::function<void(fleet::HostOrderStatus)> aDone) override
  {
    orders_.push_back({ aMachine, aAuthority, std::chrono::steady_clock::now() });
    for (fleet::Host& machine : machines_) {
      machine.pool_ = machine.name_ == aMachine ? aPool : machine.pool_;
    }
    QTimer::singleShot(0, [aDone] { aDone(fleet::HostOrderStatus::kAccepted); });
  }

  void Maintain(const std::string& aMachine,
                std::int64_t /*aWave*/,
                const fleet::OrderAuthority& aAuthority,
                std::function<void(fleet::HostOrderStatus)> aDone) override
  {
    orders_.push_back({ aMachine, aAuthority, std::chrono::steady_clock::now() });
    QTimer::singleShot(0, [aDone] { aDone(fleet::HostOrderStatus::kAccepted); });
  }

  std::vector<fleet::Host> machines_;
  std::vector<Order> orders_;
};

/** A standby pool of ten hosts, and a service that wants them. */
struct FleetFixture
{
  FleetFixture()
  {
    feed_.configuration_.services_ = { { "svc", false, true }, { "spare", true, true } };
    for (int i = 0; i < 10; ++i) {
      fleet::Host machine;
      machine.name_ = "m" + std::to_string(i);
      machine.pool_ = "spare";
      machine.state_ = fleet::HostState::kUp;
      machine.milliCores_ = 10'000;
      machine.memoryMb_ = 64'000;
      machines_.machines_.push_back(machine);
    }
    options_.orderGap_ = 700ms;
    options_.ordersPerSecond_ = 100;
    options_.readsPerSecond_ = 100;
  }

  std::unique_ptr<node::FleetManager> Begin(const std::string& aName,
                                            std::int64_t aFence,
                                            std::int64_t aPredecessor)
  {
    node::FleetOwnership tenure{ aName, aFence, aPredecessor, [this] { return leaseHeld_; } };
    return std::make_unique<node::FleetManager>(
      machines_, store_, feed_, metrics_, tenure, options_, nullptr);
  }

  /** Runs an owner whose service asks for more and more cores. */
  void Run(node::FleetManager& aOwner, std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < aTime.count()) {
      cells::CellReport report;
      report.service_ = "svc";
      report.urgentCores_ = wantedCores_;
      aOwner.OnReport(report);
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 20);
      store_.AnswerAll();
    }
  }

  /** Hands the fleet over as a host does that is stopped. */
  void HandOver(node::FleetManager& aOwner)
  {
    aOwner.Stop();
    store_.Put(node::kFleetHandOverKey, jobs::Encode(aOwner.HandOver()));
  }

  FakePlatformState feed_;
  MemoryStore store_;
  metrics::Registry metrics_;
  FakeHosts machines_;
  node::FleetOptions options_;
  double wantedCores_ = 20;
  bool leaseHeld_ = true;
};

BOOST_FIXTURE_TEST_SUITE(FleetOwnership, FleetFixture)

BOOST_AUTO_TEST_CASE(Owner_PredecessorMayStillOrder_WaitsOutItsLease)
{
  const auto begun = std::chrono::steady_clock::now();
  const auto owner = Begin("b", 20, 10);
  Run(*owner, 1'200ms);
  BOOST_REQUIRE(!machines_.orders_.empty());
  BOOST_TEST((machines_.orders_.front().at_ - begun >= options_.orderGap_));
}

BOOST_AUTO_TEST_CASE(Owner_FleetHandedOver_OrdersAtOnceButNotWhatWasOrderedLately)
{
  auto first = Begin("a", 10, 0);
  Run(*first, 1'200ms);
  std::set<std::string> ordered;
  for (const auto& order : machines_.orders_) {
    ordered.insert(order.machine_);
  }
  BOOST_REQUIRE(!ordered.empty());
  HandOver(*first);
  first.reset();
  const std::size_t before = machines_.orders_.size();
  wantedCores_ = 60;
  const auto second = Begin("b", 20, 10);
  Run(*second, 500ms);
  BOOST_TEST(machines_.orders_.size() > before);
  for (std::size_t i = before; i < machines_.orders_.size(); ++i) {
    BOOST_TEST(machines_.orders_[i].by_.fence_ == 20);
    BOOST_TEST(!ordered.contains(machines_.orders_[i].machine_));
  }
}

BOOST_AUTO_TEST_CASE(Owner_HandOverOfAnEarlierOwnerThanItsPredecessor_Waits)
{
  auto first = Begin("a", 10, 0);
  Run(*first, 1'000ms);
  HandOver(*first);
  first.reset();
  // The owner with number 15 took over in between and was killed.
  const std::size_t before = machines_.orders_.size();
  wantedCores_ = 60;
  const auto third = Begin("c", 20, 15);
  Run(*third, 400ms);
  BOOST_TEST(machines_.orders_.size() == before);
}

BOOST_AUTO_TEST_CASE(Owner_StoppedBeforeItKnewItsPredecessor_LeavesNoRightToOrder)
{
  auto second = Begin("b", 20, 10);
  Run(*second, 200ms);
  HandOver(*second);
  second.reset();
  wantedCores_ = 60;
  const auto third = Begin("c", 30, 20);
  Run(*third, 400ms);
  BOOST_TEST(machines_.orders_.empty());
}

BOOST_AUTO_TEST_CASE(Owner_LeaseNotSure_OrdersNothing)
{
  leaseHeld_ = false;
  const auto owner = Begin("b", 20, 10);
  Run(*owner, 1'200ms);
  BOOST_TEST(machines_.orders_.empty());
}

BOOST_AUTO_TEST_CASE(Owner_OrderNotSettled_IsNotRepeated)
{
  const auto owner = Begin("b", 20, 0);
  Run(*owner, 1'500ms);
  std::map<std::string, int> orders;
  for (const auto& order : machines_.orders_) {
    BOOST_TEST(++orders[order.machine_] == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
