#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/Status.h"
#include "review/standin-3/Cases.h"

/** Two cases of a start order that gets no answer and is carried out seconds later, by the next
 * life of its minion. */
namespace review {
namespace {

using quetzal::clock::Milliseconds;
using quetzal::clock::Now;

constexpr int kMinions = 9;
constexpr std::int64_t kCpu = 1'800;
constexpr Milliseconds kDown{ 600 };
/** The store shows what the minions write this much later: lag_ms of the site file. */
constexpr Milliseconds kDiscoveryLag{ 800 };
/** The late order comes this long after the minion is back. */
constexpr Milliseconds kBackBefore{ 100 };
constexpr Milliseconds kOrderTimeout{ 10'000 };
constexpr Milliseconds kObserved{ 4'000 };
constexpr Milliseconds kInterval{ 5 };

SiteOptions
MakeOptions()
{
  SiteOptions options;
  options.services_ = { { "hoasen", kMinions } };
  options.queues_ = { { "quotes", "hoasen" } };
  return options;
}

void
PauseUntil(quetzal::clock::Moment aMoment)
{
  harness::Pause(std::max(std::chrono::duration_cast<Milliseconds>(aMoment - Now()), kInterval));
}

/** Crashes the first minion so that it is back shortly before a moment. */
void
CrashFirstMinion(Site& aSite, quetzal::clock::Moment aBefore)
{
  PauseUntil(aBefore - kBackBefore - kDown);
  aSite.MinionAt(0).Crash();
  PauseUntil(aBefore - kBackBefore);
  aSite.StartAgain(0, "a", kDiscoveryLag);
}

int
CountRuns(Site& aSite, const std::string& aTask)
{
  int runs = 0;
  for (std::size_t i = 0; i < aSite.Minions(); ++i) {
    runs += aSite.MinionAt(i).Runs(aTask) ? 1 : 0;
  }
  return runs;
}

} // namespace

bool
RunOrderAfterEnd(Record& aRecord, bool aTrouble)
{
  constexpr Milliseconds kLate(4'900);
  Site site(MakeOptions(), aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  Minion& minion = site.MinionAt(0);
  const std::string task = IdOf(1) + ".0.0.0";
  minion.DelayStartOf(task, kLate);
  const JobOptions job{ "cpu=1800 ms=640", { { 1, kCpu, 500, 640 } } };
  if (site.SubmitWithRetries(0, "quotes", IdOf(1), job) != quetzal::http::status::kOk ||
      !harness::WaitUntil([&minion] { return minion.HasDelayedStart(); }, kOrderTimeout)) {
    throw CannotRun("the first minion gets no order");
  }
  const auto carriedOutAt = Now() + kLate;
  const bool isNoted = harness::WaitUntil([&minion, &task] { return minion.IsDoneNoted(task); },
                                          kLate - Milliseconds(2'000));
  const std::string state = site.StateOf(1, "quotes", IdOf(1));
  aRecord.Add("GET quotes/" + IdOf(1) + ": " + state);
  if (!isNoted || state != "completed") {
    throw CannotRun("the job is not completed in time");
  }
  if (aTrouble) {
    CrashFirstMinion(site, carriedOutAt);
  }
  PauseUntil(carriedOutAt + kObserved);
  aRecord.Add(task + " was begun " + std::to_string(minion.StartsOf(task)) + " times");
  return minion.StartsOf(task) > 1;
}

bool
RunOrderOfPredecessor(Record& aRecord, bool aTrouble)
{
  constexpr Milliseconds kLate(3'000);
  constexpr Milliseconds kKillAfter(300);
  Site site(MakeOptions(), aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  Minion& minion = site.MinionAt(0);
  const std::string task = IdOf(1) + ".0.0.0";
  minion.DelayStartOf(task, kLate);
  const JobOptions job{ "cpu=1800 ms=12000", { { 1, kCpu, 500, 12'000 } } };
  if (site.SubmitWithRetries(0, "quotes", IdOf(1), job) != quetzal::http::status::kOk ||
      !harness::WaitUntil([&minion] { return minion.HasDelayedStart(); }, kOrderTimeout)) {
    throw CannotRun("the first minion gets no order");
  }
  const auto carriedOutAt = Now() + kLate;
  // A minion of another rack gets some work, so that the successor will prefer it.
  StepOptions other{ 1, kCpu, 500, 15'000 };
  other.affinity_ = "r1-1";
  if (site.SubmitWithRetries(0, "quotes", IdOf(2), { "cpu=1800 ms=15000", { other } }) !=
      quetzal::http::status::kOk) {
    throw CannotRun("the second job was not accepted");
  }
  harness::Pause(kKillAfter);
  site.KillOwnerOf("hoasen");
  if (!harness::WaitUntil([&] { return CountRuns(site, task) == 1; },
                          kLate - kKillAfter - kBackBefore - kDown)) {
    throw CannotRun("the successor does not start the subtask in time");
  }
  if (aTrouble) {
    CrashFirstMinion(site, carriedOutAt);
  }
  int most = 0;
  while (Now() < carriedOutAt + kObserved) {
    harness::Pause(kInterval);
    most = std::max(most, CountRuns(site, task));
  }
  aRecord.Add(task + " had at most " + std::to_string(most) + " runs at once");
  return most > 1;
}

} // namespace review
