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
/** The site file's time of minions that are lost for good. */
constexpr Milliseconds kLoss{ 4'500 };
constexpr Milliseconds kWarmUp{ 5'000 };
/** Less than a look's time limit, so that nobody can know of the trouble when the job comes. */
constexpr Milliseconds kBeforeJob{ 700 };
/** A job may have nothing running for 3 s, if these and the 4 s before them are calm. */
constexpr Milliseconds kCalmBefore{ 4'000 };
constexpr Milliseconds kAllowedGap{ 3'000 };
/** Counted from the end of the last run. */
constexpr Milliseconds kSinceLastRun{ 6'000 };
constexpr Milliseconds kObserved{ 25'000 };
constexpr Milliseconds kInterval{ 10 };

JobOptions
LastingJob(int aTasks)
{
  StepOptions step{ aTasks, 2'600, 8'700, 0 };
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
  Moment endedAt_{}; ///< When it last began or ended; never: it has not run.
  Milliseconds longest_{ 0 };
};

/** Follows all subtasks of a job while minions run on. */
class JobWatch
{
public:
  JobWatch(Site& aSite, const std::string& aJob, int aTasks, Moment aCalmFrom)
    : site_(aSite)
    , calmFrom_(aCalmFrom)
  {
    const std::string prefix = aJob + ".0.0.";
    for (int i = 0; i < aTasks; ++i) {
      tasks_.push_back({ prefix + std::to_string(i) }); // NOLINT
    }
  }

  void Look()
  {
    for (TaskWatch& task : tasks_) {
      const bool runs = site_.Runs(task.name_);
      if (runs != task.runs_) {
        task.runs_ = runs;
        task.endedAt_ = Now();
      }
      // A subtask that has never run counts from the beginning of the calm.
      const bool hasRun = task.endedAt_ != Moment{};
      const Moment countedFrom =
        hasRun ? std::max(calmFrom_, task.endedAt_ + kSinceLastRun) : calmFrom_;
      if (!runs && Now() > countedFrom) {
        task.longest_ =
          std::max(task.longest_, std::chrono::duration_cast<Milliseconds>(Now() - countedFrom));
      }
    }
  }

  /** Returns whether a subtask had no run for longer than it may. */
  bool IsLost(Record& aRecord) const
  {
    bool isLost = false;
    for (const TaskWatch& task : tasks_) {
      aRecord.Add(task.name_ + " had no run in calm for " + std::to_string(task.longest_.count()) +
                  " ms that count");
      isLost = isLost || task.longest_ > kAllowedGap;
    }
    return isLost;
  }

private:
  Site& site_;
  Moment calmFrom_;
  std::vector<TaskWatch> tasks_;
};

SiteOptions
MakeOptions()
{
  SiteOptions options;
  options.services_ = { { "hoasen", kMinions } };
  options.queues_ = { { "ledger", "hoasen" } };
  return options;
}

} // namespace

bool
RunOneWayCut(Record& aRecord, bool aTrouble)
{
  Site site(MakeOptions(), aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  harness::Pause(kWarmUp);
  const auto cutAt = Now();
  if (aTrouble) {
    site.MinionAt(0).SetMode(MinionMode::kCutOneWay);
    aRecord.Add(site.MinionAt(0).Options().id_ + " is cut off one way");
  }
  harness::Pause(kBeforeJob);
  if (site.SubmitWithRetries(0, "ledger", IdOf(1), LastingJob(kTasks)) !=
      quetzal::http::status::kOk) {
    throw CannotRun("the job was not accepted");
  }
  // Without the disruption the same span is observed.
  JobWatch watch(site, IdOf(1), kTasks, cutAt + kCut + kCalmBefore);
  bool isCut = aTrouble;
  while (Now() - cutAt < kObserved) {
    harness::Pause(kInterval);
    if (isCut && Now() - cutAt >= kCut) {
      isCut = false;
      site.MinionAt(0).SetMode(MinionMode::kSound);
      aRecord.Add(site.MinionAt(0).Options().id_ + " is back");
    }
    watch.Look();
  }
  return watch.IsLost(aRecord);
}

bool
RunLostMinion(Record& aRecord, bool aTrouble)
{
  Site site(MakeOptions(), aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  // An earlier job leaves open channels to the minion, as on any day.
  const JobOptions earlier{ "cpu=1800 ms=640", { { 1, 1'800, 500, 640 } } };
  site.SubmitWithRetries(0, "ledger", IdOf(2), earlier);
  if (!harness::WaitUntil([&site] { return site.MinionAt(0).StartsOf(IdOf(2) + ".0.0.0") > 0; },
                          kWarmUp)) {
    throw CannotRun("the first minion gets no order");
  }
  harness::Pause(kWarmUp);
  const auto lostAt = Now();
  if (aTrouble) {
    site.LoseMinion(0);
  }
  harness::Pause(kBeforeJob);
  if (site.SubmitWithRetries(0, "ledger", IdOf(1), LastingJob(1)) != quetzal::http::status::kOk) {
    throw CannotRun("the job was not accepted");
  }
  JobWatch watch(site, IdOf(1), 1, lostAt + kLoss + kCalmBefore);
  while (Now() - lostAt < kObserved) {
    harness::Pause(kInterval);
    watch.Look();
  }
  return watch.IsLost(aRecord);
}

} // namespace review
