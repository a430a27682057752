#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/Status.h"
#include "review/standin-3/Cases.h"

/** Nine minions, one of them of kind "b". A job whose subtask requires "b" runs there. The minion
 * crashes and starts again under its id, as one of kind "a". */
namespace review {
namespace {

using quetzal::clock::Milliseconds;

constexpr int kMinions = 9;
constexpr std::int64_t kCpu = 1'800;
constexpr Milliseconds kRunBefore{ 2'000 };
/** Less than the site file's 4.5 s. */
constexpr Milliseconds kDown{ 1'000 };
/** The store shows what the minions write this much later: lag_ms of the site file. */
constexpr Milliseconds kDiscoveryLag{ 800 };
constexpr Milliseconds kObserved{ 5'000 };

} // namespace

bool
RunOtherKind(Record& aRecord, bool aTrouble)
{
  SiteOptions options;
  options.services_ = { { "hoasen", kMinions } };
  options.queues_ = { { "quotes", "hoasen" } };
  options.kindOfFirst_ = "b";
  Site site(options, aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  StepOptions step{ 1, kCpu, 500, 20'000 };
  step.requires_ = "b";
  const std::string task = IdOf(1) + ".0.0.0";
  if (site.SubmitWithRetries(0, "quotes", IdOf(1), { "cpu=1800 ms=20000", { step } }) !=
      quetzal::http::status::kOk) {
    throw CannotRun("the job was not accepted");
  }
  harness::Pause(kRunBefore);
  if (!site.MinionAt(0).Runs(task)) {
    throw CannotRun("the subtask does not run");
  }
  if (aTrouble) {
    site.MinionAt(0).Crash();
    harness::Pause(kDown);
    site.StartAgain(0, "a", kDiscoveryLag);
  }
  return harness::WaitUntil(
    [&site, &task] {
      for (std::size_t i = 0; i < site.Minions(); ++i) {
        if (site.MinionAt(i).Options().kind_ != "b" && site.MinionAt(i).Runs(task)) {
          return true;
        }
      }
      return false;
    },
    kObserved);
}

} // namespace review
