#include "include/quetzal/node/ConfigurationRelay.h"
#include "include/quetzal/clock/Now.h"
#include "tests/unit/FakeWorkers.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::node;
using namespace std::chrono_literals;

struct RelayDecisionFixture
{
  RelayDecisionFixture() { state_.confirmedAt_ = now_; }

  clock::Moment now_ = clock::Now();
  RelayState state_;
};

BOOST_FIXTURE_TEST_SUITE(RelayDecisions, RelayDecisionFixture)

// In calm, a watch call without changes confirms the copy each 1.2 s: nobody may be asked then.
BOOST_AUTO_TEST_CASE(Copy_IsConfirmedInTime_NobodyIsAsked)
{
  BOOST_TEST(!IsRelayDue(state_, now_ + 1'300ms));
}

// CONFIG: hosts that the store turned away served revoked keys.
BOOST_AUTO_TEST_CASE(Store_TurnsTheHostAway_AnotherHostIsAskedAtOnceAndAgain)
{
  state_.isWatchFailing_ = true;
  BOOST_TEST(IsRelayDue(state_, now_ + 1ms));
  state_.askedAt_ = now_ + 1ms;
  BOOST_TEST(!IsRelayDue(state_, now_ + 200ms));
  BOOST_TEST(IsRelayDue(state_, now_ + 301ms));
}

BOOST_AUTO_TEST_CASE(Store_IsSilent_AnotherHostIsAsked)
{
  BOOST_TEST(IsRelayDue(state_, now_ + 1'700ms));
}

// While the store is away for all, frequent questions between all hosts would have no use.
BOOST_AUTO_TEST_CASE(Store_IsAwayForAllHosts_QuestionsAreRare)
{
  state_.isWatchFailing_ = true;
  state_.isPeerConfirmed_ = false;
  state_.askedAt_ = now_;
  BOOST_TEST(!IsRelayDue(state_, now_ + 900ms));
  BOOST_TEST(IsRelayDue(state_, now_ + 1'000ms));
}

// An availability zone that is cut off must not take all of the attempts.
BOOST_AUTO_TEST_CASE(Attempts_InARow_GoToAllAvailabilityZones)
{
  HostRecords hosts;
  for (const std::string name : { "a1", "a2", "b1", "b2", "c1" }) {
    hosts[name].address_ = name;
    hosts[name].availabilityZone_ = name.substr(0, 1);
  }
  std::set<std::string> zones;
  std::set<std::string> asked;
  for (std::size_t attempt = 0; attempt < 4; ++attempt) {
    const jobs::HostRecord* host = HostToAsk(hosts, "a1", attempt);
    BOOST_TEST_REQUIRE(host != nullptr);
    zones.insert(host->availabilityZone_);
    asked.insert(host->address_);
  }
  BOOST_TEST(zones.size() == 3U);
  BOOST_TEST(asked.size() == 4U);
  BOOST_TEST(!asked.contains("a1"));
  BOOST_TEST(HostToAsk({ { "a1", {} } }, "a1", 0) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

constexpr std::uint16_t kPort = 7'390;

/** Two entry hosts: the store confirms the configuration of "b", but not that of "a". */
struct RelayFixture
{
  RelayFixture()
    : linksOfA_(nullptr)
    , linksOfB_(nullptr)
    , relayOfA_(
        "a",
        stateOfA_,
        linksOfA_,
        [this] { return hosts_; },
        metrics_)
    , relayOfB_(
        "b",
        stateOfB_,
        linksOfB_,
        [this] { return hosts_; },
        metrics_)
  {
    hosts_["b"].address_ = "127.0.0.1";
    hosts_["b"].port_ = kPort;
    stateOfA_.stored_ = { 5, "five" };
    stateOfB_.checkedAt_ = clock::Now();
  }

  /** Lets the hosts exchange calls for a time. */
  void RunFor(std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < aTime.count()) {
      relayOfA_.AskIfDue();
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
  }

  bool WaitForRevision(std::int64_t aRevision)
  {
    for (int i = 0; i < 100 && stateOfA_.stored_.revision_ != aRevision; ++i) {
      RunFor(50ms);
    }
    return stateOfA_.stored_.revision_ == aRevision;
  }

  HostRecords hosts_;
  metrics::Registry metrics_;
  test::FakePlatformState stateOfA_;
  test::FakePlatformState stateOfB_;
  PeerLinks linksOfA_;
  PeerLinks linksOfB_;
  ConfigurationRelay relayOfA_;
  ConfigurationRelay relayOfB_;
};

BOOST_FIXTURE_TEST_SUITE(ConfigurationRelays, RelayFixture)

BOOST_AUTO_TEST_CASE(Host_HasNoPathToTheStore_GetsTheNewerConfiguration)
{
  stateOfB_.stored_ = { 7, "seven" };
  linksOfB_.Serve({ "127.0.0.1", kPort }, [this](auto, const auto& aBody, const auto& aReply) {
    aReply(relayOfB_.AnswerTo(aBody));
  });
  BOOST_TEST(WaitForRevision(7));
  BOOST_TEST(stateOfA_.stored_.bytes_ == "seven");
}

// CONFIG: an older version must never follow a newer one.
BOOST_AUTO_TEST_CASE(AskedHost_HasAnOlderConfiguration_OwnOneStays)
{
  stateOfB_.stored_ = { 4, "four" };
  linksOfB_.Serve({ "127.0.0.1", kPort }, [this](auto, const auto& aBody, const auto& aReply) {
    aReply(relayOfB_.AnswerTo(aBody));
  });
  RunFor(800ms);
  BOOST_TEST(stateOfA_.stored_.revision_ == 5);
}

// A host of the previous release answers every call that it does not know like a job's.
BOOST_AUTO_TEST_CASE(AskedHost_IsOfAnEarlierVersion_AnswerIsIgnored)
{
  linksOfB_.Serve({ "127.0.0.1", kPort }, [](auto, const auto& /*aBody*/, const auto& aReply) {
    aReply(jobs::Encode(std::tuple(false, 0, 0, 0, 0)));
  });
  RunFor(800ms);
  BOOST_TEST(stateOfA_.stored_.revision_ == 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
