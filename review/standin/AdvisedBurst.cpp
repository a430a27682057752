/** Case 3: jobs come at once to a queue with advice. */

#include "review/standin/Lost.h"

#include <thread>

namespace review {
namespace {

constexpr int kJobs = 45;
/** Between two jobs: 20 a second in the burst, 1.1 a second without it. */
constexpr Milliseconds kBurstInterval{ 50 };
constexpr Milliseconds kUsualInterval{ 900 };
constexpr Milliseconds kDecision{ 150 };
constexpr Milliseconds kEach{ 5 };
constexpr int kMinions = 9;
constexpr std::int64_t kCpu = 1'000;

} // namespace

Verdict
PlayAdvisedBurst(World& aWorld)
{
  const Queue queue{ "q", "/q/", "alpha", 0, 4, true };
  for (int i = 0; i < kMinions; ++i) {
    aWorld.Machines().AddMachine("m-a" + std::to_string(i), "alpha", "r1");
  }
  aWorld.Machines().SetAdviceTimes(kDecision, kEach);
  aWorld.PutConfiguration({ queue }, { "alpha", "spare" });
  if (!aWorld.WaitUntilServed({ queue })) {
    return Verdict::kNotRun;
  }
  std::set<std::string> accepted;
  const Milliseconds interval = aWorld.HasTrouble() ? kBurstInterval : kUsualInterval;
  const Moment begin = Clock::now();
  for (int i = 0; i < kJobs; ++i) {
    std::this_thread::sleep_until(begin + i * interval);
    const Job job{ aWorld.NextId(), "sleep 500", { { .count_ = 2, .cpu_ = kCpu } } };
    if (aWorld.Submit(queue, job)) {
      accepted.insert(job.id_);
    }
  }
  aWorld.Log().Add("traffic ended");
  return FindLostJobs(aWorld, queue, accepted, kCpu).empty() ? Verdict::kHeld : Verdict::kBroken;
}

} // namespace review
