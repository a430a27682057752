#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/Status.h"
#include "review/standin-3/Cases.h"

/** Nine minions. A client hands in five subtasks that last, at most one on each minion. One minion
 * is cut off just before: it receives its start order, and its answers are lost. */
namespace review {
namespace {

using quetzal::clock::Milliseconds;
using quetzal::clock::Moment;
using quetzal::clock::Now;

constexpr int kMinions = 9;
constexpr int kTasks = 5;
/** The site file's longest cut of this kind. */
constexpr Milliseconds kCut{ 5'500 };
/** Less than a look's time limit, so that nobody can know of the cut when the job comes. */
constexpr Milliseconds kCutBefore{ 700 };
/** A job may have nothing running for 3 s, if these and the 4 s before them are calm. */
constexpr Milliseconds kCalmBefore{ 4'000 };
constexpr Milliseconds kAllowedGap{ 3'000 };
/** Counted from the end of the last run. */
constexpr Milliseconds kSinceLastRun{ 6'000 };
constexpr Milliseconds kObserved{ 25'000 };
constexpr Milliseconds kInterval{ 10 };

JobOptions
LastingJob()
{
  StepOptions step{ kTasks, 2'600, 8'700, 0 };
  step.lasts_ = true;
  step.antiAffinity_ = 1;
  step.mayMiss_ = 1;
  return { "cpu=2600", { step } };
}

/** The time that one subtask has spent without a run. */
struct TaskWatch
{
  std::string name_;
  bool runs_ = false;
  Moment since_{}; ///< When it last began or ended.
  Milliseconds longest_{ 0 };
};

} // namespace

bool
RunOneWayCut(Record& aRecord, bool aTrouble)
{
  SiteOptions options;
  options.services_ = { { "hoasen", kMinions } };
  options.queues_ = { { "ledger", "hoasen" } };
  Site site(options, aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  harness::Pause(Milliseconds(5'000));
  const auto cutAt = Now();
  if (aTrouble) {
    site.MinionAt(0).SetMode(MinionMode::kCutOneWay);
    aRecord.Add(site.MinionAt(0).Options().id_ + " is cut off one way");
  }
  harness::Pause(kCutBefore);
  if (site.SubmitWithRetries(0, "ledger", IdOf(1), LastingJob()) != quetzal::http::status::kOk) {
    throw CannotRun("the job was not accepted");
  }
  std::vector<TaskWatch> tasks;
  tasks.reserve(kTasks);
  for (int i = 0; i < kTasks; ++i) {
    tasks.push_back({ IdOf(1) + ".0.0." + std::to_string(i), false, Now() });
  }
  // Without the disruption the same span is observed.
  const auto calmFrom = cutAt + kCut + kCalmBefore;
  bool isCut = aTrouble;
  while (Now() - cutAt < kObserved) {
    harness::Pause(kInterval);
    if (isCut && Now() - cutAt >= kCut) {
      isCut = false;
      site.MinionAt(0).SetMode(MinionMode::kSound);
      aRecord.Add(site.MinionAt(0).Options().id_ + " is back");
    }
    for (TaskWatch& task : tasks) {
      const bool runs = site.Runs(task.name_);
      if (runs != task.runs_) {
        task.runs_ = runs;
        task.since_ = Now();
      }
      const auto countedFrom = std::max(calmFrom, task.since_ + kSinceLastRun);
      if (!runs && Now() > countedFrom) {
        task.longest_ =
          std::max(task.longest_, std::chrono::duration_cast<Milliseconds>(Now() - countedFrom));
      }
    }
  }
  bool isBroken = false;
  for (const TaskWatch& task : tasks) {
    aRecord.Add(task.name_ + " had no run in calm for " + std::to_string(task.longest_.count()) +
                " ms that count");
    isBroken = isBroken || task.longest_ > kAllowedGap;
  }
  return isBroken;
}

} // namespace review
