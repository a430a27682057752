#include "include/quetzal/http/Status.h"
#include "review/standin-3/Cases.h"

/** Two cases of the number of pending jobs that entry hosts give. In both, the minions are full,
 * and twelve jobs of one queue wait. */
namespace review {
namespace {

using quetzal::clock::Milliseconds;

constexpr int kJobs = 12;
constexpr std::int64_t kCpuOfMinion = 32'000;
constexpr std::int64_t kJobCpu = 2'000;
constexpr std::int64_t kJobMs = 1'300;
/** visible_ms and 2 s: from this age on, a job that has not begun counts. */
constexpr Milliseconds kCountedAge{ 5'000 };
constexpr Milliseconds kConfigApply{ 2'000 };
/** The number may be 2 s old. */
constexpr Milliseconds kNumberAge{ 2'000 };
constexpr Milliseconds kFillTimeout{ 10'000 };

std::string
SpecOf(std::int64_t aCpu, std::int64_t aMs)
{
  return "cpu=" + std::to_string(aCpu) + " ms=" + std::to_string(aMs);
}

/** Fills all minions of a queue's service with one large job. */
void
FillMinions(Site& aSite, const std::string& aQueue, int aMinions, std::int64_t aMs)
{
  constexpr std::int64_t kLargeCpu = 16'000;
  const int count = aMinions * static_cast<int>(kCpuOfMinion / kLargeCpu);
  const JobOptions large{ SpecOf(kLargeCpu, aMs), { { count, kLargeCpu, 1'000, aMs } } };
  if (aSite.SubmitWithRetries(0, aQueue, IdOf(8'000), large) != quetzal::http::status::kOk) {
    throw CannotRun("the large job was not accepted");
  }
  const bool isFull = harness::WaitUntil(
    [&aSite, aMinions] {
      std::int64_t used = 0;
      for (std::size_t i = 0; i < aSite.Minions(); ++i) {
        used += aSite.MinionAt(i).UsedCpu();
      }
      return used >= aMinions * kCpuOfMinion;
    },
    kFillTimeout);
  if (!isFull) {
    throw CannotRun("the minions are not full");
  }
}

void
SubmitJobs(Site& aSite, const std::string& aQueue)
{
  const JobOptions job{ SpecOf(kJobCpu, kJobMs), { { 1, kJobCpu, 500, kJobMs } } };
  for (int i = 1; i <= kJobs; ++i) {
    if (aSite.SubmitWithRetries(i % aSite.EntryHosts(), aQueue, IdOf(i), job) !=
        quetzal::http::status::kOk) {
      throw CannotRun("a job was not accepted");
    }
  }
}

/** Returns how many of the jobs run. None of them has run before, as they all fit at once. */
int
CountBegun(const Site& aSite)
{
  int begun = 0;
  for (int i = 1; i <= kJobs; ++i) {
    begun += aSite.Runs(IdOf(i) + ".0.0.0") ? 1 : 0;
  }
  return begun;
}

/** Asks each entry host for a queue's pending jobs. @return whether one gives under half of those
 * that have not begun. */
bool
IsUnderHalf(Site& aSite, Record& aRecord, const std::string& aQueue)
{
  const int begun = CountBegun(aSite);
  if (begun != 0) {
    throw CannotRun(std::to_string(begun) + " jobs have begun");
  }
  bool isUnder = false;
  for (int host = 0; host < aSite.EntryHosts(); ++host) {
    const auto pending = aSite.PendingOf(host, aQueue);
    aRecord.Add("GET " + aQueue + "/ at front-" + std::to_string(host) + ": " +
                (pending ? std::to_string(*pending) : "no number") + " pending, " +
                std::to_string(kJobs) + " have not begun");
    isUnder = isUnder || (pending && 2 * *pending < kJobs);
  }
  return isUnder;
}

} // namespace

bool
RunMovedQueue(Record& aRecord, bool aTrouble)
{
  constexpr int kMinions = 3;
  constexpr std::int64_t kLongMs = 30'000;
  SiteOptions options;
  options.services_ = { { "hoasen", kMinions }, { "thanhlong", kMinions } };
  options.queues_ = { { "quotes", "hoasen" }, { "bulk", "thanhlong" } };
  Site site(options, aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  FillMinions(site, "quotes", kMinions, kLongMs);
  SubmitJobs(site, "quotes");
  harness::Pause(kCountedAge);
  if (IsUnderHalf(site, aRecord, "quotes")) {
    throw CannotRun("the number was wrong before the change");
  }
  site.Configure({ { "quotes", aTrouble ? "thanhlong" : "hoasen" }, { "bulk", "thanhlong" } });
  harness::Pause(kConfigApply + kNumberAge);
  return IsUnderHalf(site, aRecord, "quotes");
}

bool
RunRefusedStarts(Record& aRecord, bool aTrouble)
{
  constexpr int kMinions = 9;
  constexpr std::int64_t kLongMs = 12'000;
  SiteOptions options;
  options.services_ = { { "hoasen", kMinions } };
  options.queues_ = { { "quotes", "hoasen" } };
  Site site(options, aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  // Either the large job leaves one minion free, which refuses all starts, or it fills all.
  site.MinionAt(kMinions - 1).SetMode(aTrouble ? MinionMode::kRefusesStarts : MinionMode::kSound);
  FillMinions(site, "quotes", kMinions - (aTrouble ? 1 : 0), kLongMs);
  SubmitJobs(site, "quotes");
  harness::Pause(kCountedAge);
  return IsUnderHalf(site, aRecord, "quotes");
}

} // namespace review
