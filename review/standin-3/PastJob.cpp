#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/Status.h"
#include "review/standin-3/Cases.h"

/** Two houses share three entry hosts. One hands in a job that is to run every second, with a first
 * time a day ago. Ordinary jobs come all the while. */
namespace review {
namespace {

using quetzal::clock::Milliseconds;
using quetzal::clock::Now;

constexpr int kRepetitions = 90'000;
constexpr std::int64_t kIntervalMs = 1'000;
constexpr std::int64_t kDayMs = 86'400'000;
constexpr Milliseconds kTraffic{ 30'000 };
constexpr Milliseconds kBetweenJobs{ 1'000 };
/** finish_s: when jobs are asked for, counted from the end of the traffic. */
constexpr Milliseconds kFinish{ 14'000 };
/** A job may have nothing running for this time while there is room for it. */
constexpr Milliseconds kAllowedGap{ 3'000 };
constexpr Milliseconds kInterval{ 10 };
constexpr int kOrdinaryBefore = 5;
constexpr int kTasksOfOrdinary = 6;
constexpr std::int64_t kCpuOfService = 4 * 32'000;

JobOptions
OrdinaryJob()
{
  return { "cpu=1800 ms=640", { { kTasksOfOrdinary, 1'800, 1'800, 640 } } };
}

JobOptions
ScheduledJob(std::int64_t aFirstMs)
{
  StepOptions first{ 8, 3'800, 5'500, 1'300 };
  StepOptions second = first;
  second.afterPrevious_ = true;
  return { "cpu=3800 ms=1300", { first, second }, kRepetitions, aFirstMs, kIntervalMs };
}

bool
RunsAnyTask(const Site& aSite, const std::string& aId)
{
  const std::string prefix = aId + ".0.0.";
  for (int i = 0; i < kTasksOfOrdinary; ++i) {
    if (aSite.Runs(prefix + std::to_string(i))) {
      return true;
    }
  }
  return false;
}

/** Watches for the allowed time which jobs have nothing running while under half of the minions'
 * capacity is in use. @return those, or none if more was in use. */
std::vector<std::string>
FindIdleJobs(Site& aSite, std::vector<std::string> aJobs)
{
  const auto end = Now() + kAllowedGap;
  while (Now() < end) {
    harness::Pause(kInterval);
    std::int64_t used = 0;
    for (std::size_t i = 0; i < aSite.Minions(); ++i) {
      const Minion& minion = aSite.MinionAt(i);
      used += minion.Options().service_ == "thanhlong" ? minion.UsedCpu() : 0;
    }
    if (2 * used >= kCpuOfService) {
      return {};
    }
    std::erase_if(aJobs, [&aSite](const auto& aId) { return RunsAnyTask(aSite, aId); });
  }
  return aJobs;
}

/** Returns how many of the jobs are lost: they have nothing running, and are not shown as
 * completed. */
int
CountLost(Site& aSite, Record& aRecord, const std::vector<std::string>& aJobs)
{
  int lost = 0;
  for (const std::string& id : FindIdleJobs(aSite, aJobs)) {
    const std::string state = aSite.StateOf(0, "quotes", id);
    std::string line = "GET quotes/";
    line.append(id).append(" at front-0: ").append(state);
    aRecord.Add(line);
    lost += state == "completed" ? 0 : 1;
  }
  return lost;
}

} // namespace

bool
RunPastJob(Record& aRecord, bool aTrouble)
{
  SiteOptions options;
  options.services_ = { { "hoasen", 4 }, { "thanhlong", 4 } };
  options.queues_ = { { "quotes", "thanhlong" }, { "bulk", "thanhlong" }, { "other", "hoasen" } };
  Site site(options, aRecord);
  if (!site.WaitUntilServing()) {
    throw CannotRun("the entry hosts do not serve");
  }
  std::vector<std::string> accepted;
  int number = 0;
  const auto submitOrdinary = [&] {
    const std::string id = IdOf(++number);
    const unsigned status =
      site.SubmitWithRetries(number % site.EntryHosts(), "quotes", id, OrdinaryJob());
    if (status == quetzal::http::status::kOk) {
      accepted.push_back(id);
    }
  };
  for (int i = 0; i < kOrdinaryBefore; ++i) {
    submitOrdinary();
  }
  const std::int64_t now = quetzal::clock::UnixMs();
  const unsigned status =
    site.SubmitWithRetries(0, "bulk", IdOf(9'000), ScheduledJob(aTrouble ? now - kDayMs : now));
  aRecord.Add("the scheduled job was answered with " + std::to_string(status));
  const auto end = Now() + kTraffic;
  while (Now() < end) {
    submitOrdinary();
    harness::Pause(kBetweenJobs);
  }
  harness::Pause(kFinish);
  const int lost = CountLost(site, aRecord, accepted);
  for (int host = 0; host < site.EntryHosts(); ++host) {
    aRecord.Add("front-" + std::to_string(host) + " was killed for its memory " +
                std::to_string(site.MemoryEndsOf(host)) + " times, and used at most " +
                std::to_string(site.PeakMbOf(host)) + " MB");
  }
  aRecord.Add(std::to_string(accepted.size()) + " of " + std::to_string(number) +
              " ordinary jobs were accepted, of these " + std::to_string(lost) + " are lost");
  return lost > 0;
}

} // namespace review
