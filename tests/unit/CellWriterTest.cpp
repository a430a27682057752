#include "include/quetzal/cells/WriteChains.h"
#include "include/quetzal/node/CellClaim.h"
#include "include/quetzal/store/PrefixWatch.h"
#include "tests/unit/MemoryStore.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <boost/test/unit_test.hpp>
#include <random>

namespace {

using namespace quetzal;
using namespace quetzal::cells;
using quetzal::test::CommitFault;
using quetzal::test::MemoryStore;
using namespace std::chrono_literals;

/** Runs the event loop and the store until a condition holds. */
bool
RunUntil(MemoryStore& aStore, const std::function<bool()>& aCondition)
{
  constexpr qint64 kBoundMs = 20'000;
  QElapsedTimer timer;
  timer.start();
  while (!aCondition()) {
    if (timer.elapsed() > kBoundMs) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 5);
    aStore.AnswerAll();
  }
  return true;
}

struct CellWriterFixture
{
  static jobs::OwnerRecord Owner(const std::string& aName)
  {
    jobs::OwnerRecord owner;
    owner.owner_ = aName;
    owner.incarnation_ = aName + "-1";
    return owner;
  }

  std::unique_ptr<CellWriter> MakeWriter(const std::string& aOwner)
  {
    const std::int64_t revision = store_.Put(kChain, jobs::Encode(Owner(aOwner)));
    return std::make_unique<CellWriter>(store_, kChain, Owner(aOwner), revision, nullptr);
  }

  CellWrite Write(const std::string& aKey, const std::string& aValue, bool aMustBeAbsent = false)
  {
    CellWrite write;
    write.mustBeAbsent_ = aMustBeAbsent ? aKey : "";
    write.puts_.push_back({ aKey, aValue, 0 });
    write.done_ = [this](const WriteResult& aResult) { results_.push_back(aResult); };
    return write;
  }

  std::string ValueOf(const std::string& aKey) const
  {
    const auto item = store_.Items().find(aKey);
    return item == store_.Items().end() ? "" : item->second.value_;
  }

  bool WaitForResults(std::size_t aCount)
  {
    return RunUntil(store_, [this, aCount] { return results_.size() >= aCount; });
  }

  static constexpr const char* kChain = "chain";
  MemoryStore store_;
  std::vector<WriteResult> results_;
};

BOOST_FIXTURE_TEST_SUITE(CellWriting, CellWriterFixture)

BOOST_AUTO_TEST_CASE(Writes_AddedTogether_AreOneChange)
{
  const auto writer = MakeWriter("a");
  writer->Add(Write("k1", "1"), 5ms);
  writer->Add(Write("k2", "2"), 5ms);
  BOOST_TEST(WaitForResults(2));
  BOOST_TEST(store_.CommitCount() == 1U);
  BOOST_TEST(ValueOf("k2") == "2");
}

BOOST_AUTO_TEST_CASE(Write_AnswerLost_IsStoredOnceAndReported)
{
  const auto writer = MakeWriter("a");
  store_.InjectFault(CommitFault::kAnswerLost);
  writer->Add(Write("k", "1", true), 0ms);
  BOOST_TEST(WaitForResults(1));
  BOOST_CHECK(results_[0].outcome_ == WriteOutcome::kStored);
  BOOST_TEST(ValueOf("k") == "1");
}

BOOST_AUTO_TEST_CASE(Write_AppliedLate_DoesNotReplaceANewerOne)
{
  const auto writer = MakeWriter("a");
  store_.InjectFault(CommitFault::kDelayed);
  writer->Add(Write("k", "old"), 0ms);
  BOOST_TEST(WaitForResults(1));
  writer->Add(Write("k", "new"), 0ms);
  BOOST_TEST(WaitForResults(2));
  store_.ApplyDelayed();
  BOOST_TEST(ValueOf("k") == "new");
}

BOOST_AUTO_TEST_CASE(Write_KeyExists_IsReportedAndOthersAreStored)
{
  const auto writer = MakeWriter("a");
  store_.Put("taken", "theirs");
  writer->Add(Write("taken", "mine", true), 2ms);
  writer->Add(Write("other", "1"), 2ms);
  BOOST_TEST(WaitForResults(2));
  BOOST_CHECK(results_[0].outcome_ == WriteOutcome::kConflict);
  BOOST_TEST(results_[0].existing_ == "theirs");
  BOOST_TEST(ValueOf("taken") == "theirs");
  BOOST_TEST(ValueOf("other") == "1");
}

BOOST_AUTO_TEST_CASE(Writer_AfterATakeover_StoresNothing)
{
  const auto writer = MakeWriter("a");
  bool lost = false;
  QObject::connect(
    writer.get(), &CellWriter::OwnershipLost, writer.get(), [&lost] { lost = true; });
  store_.Put(kChain, jobs::Encode(Owner("b")));
  writer->Add(Write("k", "1"), 0ms);
  BOOST_TEST(WaitForResults(1));
  BOOST_CHECK(results_[0].outcome_ == WriteOutcome::kOwnershipLost);
  BOOST_TEST(lost);
  BOOST_TEST(ValueOf("k").empty());
}

BOOST_AUTO_TEST_CASE(Write_StoreRefuses_EndsOnlyIfItMayBeRefused)
{
  const auto writer = MakeWriter("a");
  store_.InjectFault(CommitFault::kRefused);
  CellWrite accept = Write("job", "1", true);
  accept.mayBeRefused_ = true;
  writer->Add(std::move(accept), 2ms);
  writer->Add(Write("end", "1"), 2ms);
  BOOST_TEST(WaitForResults(2));
  BOOST_CHECK(results_[0].outcome_ == WriteOutcome::kRefused);
  BOOST_CHECK(results_[1].outcome_ == WriteOutcome::kStored);
  BOOST_TEST(ValueOf("job").empty());
  BOOST_TEST(ValueOf("end") == "1");
}

BOOST_AUTO_TEST_CASE(Write_RefusedAfterAnUnansweredAttempt_IsRetried)
{
  const auto writer = MakeWriter("a");
  store_.InjectFault(CommitFault::kAnswerLost);
  store_.InjectFault(CommitFault::kRefused);
  CellWrite accept = Write("job", "1", true);
  accept.mayBeRefused_ = true;
  writer->Add(std::move(accept), 0ms);
  BOOST_TEST(WaitForResults(1));
  BOOST_CHECK(results_[0].outcome_ == WriteOutcome::kStored);
}

BOOST_AUTO_TEST_CASE(Write_PredecessorsChangeIsLate_FailsAfterATakeover)
{
  const auto writer = MakeWriter("a");
  store_.InjectFault(CommitFault::kDelayed);
  writer->Add(Write("k", "1"), 0ms);
  QElapsedTimer timer;
  timer.start();
  while (store_.CommitCount() == 0 && timer.elapsed() < 5'000) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  store_.AnswerNext();
  store_.Put(kChain, jobs::Encode(Owner("b")));
  store_.ApplyDelayed();
  BOOST_TEST(ValueOf("k").empty());
}

// Random faults and takeovers: each key holds the newest value that was reported as stored, and no
// write of a predecessor is applied after a takeover.
BOOST_AUTO_TEST_CASE(Writer_RandomFaults_KeepsWhatItReportedAsStored)
{
  constexpr unsigned kSeeds = 20;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    MemoryStore store;
    std::map<std::string, int> reportedValues;
    std::map<std::string, int> newest;
    for (int owner = 0; owner < 3; ++owner) {
      const std::string name(1, static_cast<char>('a' + owner));
      const std::int64_t revision = store.Put(kChain, jobs::Encode(Owner(name)));
      CellWriter writer(store, kChain, Owner(name), revision, nullptr);
      int reported = 0;
      constexpr int kWrites = 12;
      for (int i = 0; i < kWrites; ++i) {
        store.InjectFault(static_cast<CommitFault>(random() % 4));
        const std::string key = "k" + std::to_string(random() % 4);
        const int value = owner * 100 + i;
        CellWrite write;
        write.puts_.push_back({ key, std::to_string(value), 0 });
        write.done_ = [&, key, value](const WriteResult& aResult) {
          ++reported;
          if (aResult.outcome_ == WriteOutcome::kStored) {
            reportedValues[key] = std::max(reportedValues[key], value);
          }
        };
        writer.Add(std::move(write), std::chrono::milliseconds(random() % 3));
        newest[key] = value;
        if (random() % 3 == 0) {
          QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
          store.AnswerNext();
          store.ApplyDelayed();
        }
      }
      BOOST_TEST_REQUIRE(RunUntil(store, [&] { return reported == kWrites; }));
      store.ApplyDelayed();
      for (const auto& [key, value] : reportedValues) {
        BOOST_TEST(std::stoi(store.Items().at(key).value_) == value, "seed " << seed);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(Watch_HistoryIsCompacted_ReadsAllAgain)
{
  store_.Put("p/a", "1");
  store::PrefixWatch watch(store_, "p/", 10ms, 0ms, nullptr);
  int changes = 0;
  QObject::connect(&watch, &store::PrefixWatch::Changed, &watch, [&changes] { ++changes; });
  watch.Start();
  store_.AnswerNext();
  BOOST_TEST(watch.Items().size() == 1U);
  store_.Put("p/b", "2");
  store_.Compact();
  while (watch.Items().size() < 2 && store_.AnswerNext()) {
  }
  BOOST_TEST(watch.Items().size() == 2U);
  BOOST_TEST(changes == 2);
  watch.Stop();
}

BOOST_AUTO_TEST_CASE(Claim_CellIsClaimedMeanwhile_Fails)
{
  bool failed = false;
  node::CellClaim claim(store_, "c", Owner("a"), 1, 0, nullptr);
  QObject::connect(&claim, &node::CellClaim::Failed, &claim, [&failed] { failed = true; });
  claim.Start();
  store_.AnswerNext();
  store_.Put(node::CellKey("c"), "other");
  store_.AnswerAll();
  BOOST_TEST(failed);
}

BOOST_AUTO_TEST_CASE(Claim_CellIsVacant_ReadsRosterAndJobs)
{
  jobs::OwnerRecord previous = Owner("b");
  previous.roster_.push_back({ "w1", "127.0.0.1", 80 });
  store_.Put(WriteChainKeys("c").front(), jobs::Encode(previous));
  for (int i = 0; i < 7; ++i) {
    store_.Put(JobKey("job" + std::to_string(i)), "x");
  }
  std::optional<node::ClaimedCell> won;
  node::CellClaim claim(store_, "c", Owner("a"), 1, 0, nullptr);
  QObject::connect(
    &claim, &node::CellClaim::Won, &claim, [&won](const auto& aCell) { won = aCell; });
  claim.Start();
  store_.AnswerAll();
  BOOST_REQUIRE(won.has_value());
  BOOST_TEST(won->predecessorState_.jobs_.size() == 7U);
  BOOST_TEST(won->predecessorState_.roster_.size() == 1U);
  BOOST_TEST(won->fence_ == store_.RevisionOf(WriteChainKeys("c").front()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
