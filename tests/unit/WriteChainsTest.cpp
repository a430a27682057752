#include "include/quetzal/cells/WriteChains.h"
#include "tests/unit/MemoryStore.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace {

using namespace quetzal;
using namespace quetzal::cells;
using quetzal::test::CommitFault;
using quetzal::test::MemoryStore;
using namespace std::chrono_literals;

struct WriteChainsFixture
{
  static jobs::OwnerRecord Owner(const std::string& aName)
  {
    jobs::OwnerRecord owner;
    owner.owner_ = aName;
    owner.incarnation_ = aName + "-1";
    return owner;
  }

  /** Claims the cell as CellClaim does. @return the revision of the claim. */
  static std::int64_t Claim(MemoryStore& aStore, const std::string& aOwner)
  {
    std::int64_t revision = 0;
    store::Transaction claim;
    for (const std::string& key : WriteChainKeys("svc")) {
      claim.puts_.push_back({ key, jobs::Encode(Owner(aOwner)), 0 });
    }
    aStore.Commit(claim, [&revision](const auto& aResult) { revision = aResult.revision_; });
    aStore.AnswerAll();
    return revision;
  }

  static CellWrite Put(const std::string& aKey,
                       const std::string& aValue,
                       const std::function<void(const WriteResult&)>& aDone)
  {
    CellWrite write;
    write.puts_.push_back({ aKey, aValue, 0 });
    write.done_ = aDone;
    return write;
  }

  static void Pump(std::chrono::milliseconds aTime)
  {
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < aTime.count()) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 2);
    }
  }

  std::string ValueOf(const std::string& aKey) const
  {
    const auto item = store_.Items().find(aKey);
    return item == store_.Items().end() ? "" : item->second.value_;
  }

  MemoryStore store_;
};

BOOST_FIXTURE_TEST_SUITE(WriteChainsTest, WriteChainsFixture)

BOOST_AUTO_TEST_CASE(Writes_StoreIsFast_AreOneChange)
{
  const std::int64_t revision = Claim(store_, "a");
  WriteChains chains(store_, "svc", Owner("a"), revision, nullptr);
  const std::size_t before = store_.CommitCount();
  int stored = 0;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "job" + std::to_string(i);
    chains.Add(id, Put(id, "1", [&stored](const auto&) { ++stored; }), 2ms);
  }
  Pump(20ms);
  store_.AnswerAll();
  BOOST_TEST(stored == 8);
  BOOST_TEST(store_.CommitCount() == before + 1);
}

/** A store that takes 200 ms for each answer, under 300 submissions a second for two seconds, each
 * with two entries. One chain stores 15 of them with each change, 150 in that time. */
BOOST_AUTO_TEST_CASE(Submissions_StoreIsSlow_AreStoredByAllChains)
{
  const std::int64_t revision = Claim(store_, "a");
  WriteChains chains(store_, "svc", Owner("a"), revision, nullptr);
  int stored = 0;
  int next = 0;
  for (int answer = 0; answer < 10; ++answer) {
    for (int i = 0; i < 60; ++i) {
      const std::string id = "job" + std::to_string(next++);
      CellWrite write = Put(id, "1", [&stored](const auto&) { ++stored; });
      write.mustBeAbsent_ = id;
      chains.Add(id, std::move(write), 0ms);
    }
    Pump(10ms);
    // The answers to all changes that are in flight arrive now, 200 ms after the last ones.
    const int inFlight = 4;
    for (int i = 0; i < inFlight; ++i) {
      store_.AnswerNext();
    }
  }
  BOOST_TEST(stored >= 500);
}

BOOST_AUTO_TEST_CASE(Writes_AboutOneJobWhileChainsAreFull_KeepTheirOrder)
{
  const std::int64_t revision = Claim(store_, "a");
  WriteChains chains(store_, "svc", Owner("a"), revision, nullptr);
  std::vector<int> order;
  for (int i = 0; i < 200; ++i) {
    const std::string value = std::to_string(i);
    chains.Add("job", Put("job", value, [&order, i](const auto&) { order.push_back(i); }), 0ms);
    chains.Add("other" + value, Put("other" + value, value, {}), 0ms);
  }
  for (int i = 0; i < 60; ++i) {
    Pump(1ms);
    store_.AnswerAll();
  }
  BOOST_TEST(order.size() == 200U);
  BOOST_TEST(std::is_sorted(order.begin(), order.end()));
  BOOST_TEST(ValueOf("job") == "199");
}

/** After a takeover no chain may store anything, not even one that was not used until then. */
BOOST_AUTO_TEST_CASE(Writes_AfterATakeover_AreStoredByNoChain)
{
  const std::int64_t revision = Claim(store_, "a");
  WriteChains chains(store_, "svc", Owner("a"), revision, nullptr);
  bool lost = false;
  QObject::connect(&chains, &WriteChains::OwnershipLost, &chains, [&lost] { lost = true; });
  Claim(store_, "b");
  int ended = 0;
  int stored = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "job" + std::to_string(i);
    chains.Add(id,
               Put(id,
                   "1",
                   [&](const WriteResult& aResult) {
                     ++ended;
                     stored += aResult.outcome_ == WriteOutcome::kStored ? 1 : 0;
                   }),
               0ms);
  }
  Pump(10ms);
  store_.AnswerAll();
  BOOST_TEST(ended == 100);
  BOOST_TEST(stored == 0);
  BOOST_TEST(lost);
  BOOST_TEST(ValueOf("job0").empty());
  BOOST_TEST(ValueOf("job99").empty());
}

/** Random faults and takeovers: each key holds the newest value that was reported as stored, and a
 * change that the store applies late changes nothing. */
BOOST_AUTO_TEST_CASE(Writes_RandomFaultsAndTakeovers_KeepWhatWasReportedAsStored)
{
  for (unsigned seed = 1; seed <= 6; ++seed) {
    std::mt19937 random(seed);
    MemoryStore store;
    std::map<std::string, int> reported;
    for (int owner = 0; owner < 3; ++owner) {
      const std::string name(1, static_cast<char>('a' + owner));
      const std::int64_t revision = Claim(store, name);
      WriteChains chains(store, "svc", Owner(name), revision, nullptr);
      constexpr int kWrites = 80;
      int ended = 0;
      for (int i = 0; i < kWrites; ++i) {
        store.InjectFault(static_cast<CommitFault>(random() % 4));
        const std::string key = "k" + std::to_string(random() % 40);
        const int value = owner * 1'000 + i;
        const auto done = [&, key, value](const WriteResult& aResult) {
          ++ended;
          if (aResult.outcome_ == WriteOutcome::kStored) {
            reported[key] = std::max(reported[key], value);
          }
        };
        chains.Add(key, Put(key, std::to_string(value), done), 0ms);
        if (random() % 8 == 0) {
          Pump(1ms);
          store.AnswerNext();
          store.ApplyDelayed();
        }
      }
      QElapsedTimer timer;
      timer.start();
      while (ended < kWrites && timer.elapsed() < 20'000) {
        Pump(5ms);
        store.AnswerAll();
      }
      BOOST_TEST_REQUIRE(ended == kWrites, "seed " << seed);
      store.ApplyDelayed();
      for (const auto& [key, value] : reported) {
        BOOST_TEST(std::stoi(store.Items().at(key).value_) == value, "seed " << seed);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
