/** Case 2: some jobs can never run, since no minion is large enough for them. */

#include "review/standin/Lost.h"

#include <thread>

namespace review {
namespace {

constexpr Milliseconds kTraffic{ 72'000 };
constexpr Milliseconds kSubmitInterval{ 125 };
/** One in so many urgent jobs can never run: at most a share of 0.056. */
constexpr int kNeverFittingEvery = 18;
/** So many urgent jobs come for each job of the other queue. */
constexpr int kUrgentForEachBulk = 16;
constexpr std::int64_t kCpuOfUrgent = 500;
constexpr std::int64_t kCpuOfBulk = 1'000;
/** A quarter more than a minion has. */
constexpr std::int64_t kCpuThatNeverFits = 40'000;

} // namespace

Verdict
PlayNeverFitting(World& aWorld)
{
  const Queue urgent{ "q-urgent", "/urgent/", "alpha", 0 };
  const Queue bulk{ "q-bulk", "/bulk/", "alpha", 1 };
  for (int i = 0; i < 4; ++i) {
    aWorld.Machines().AddMachine("m-a" + std::to_string(i), "alpha", "r1");
    aWorld.Machines().AddMachine("m-s" + std::to_string(i), "spare", "r2");
  }
  aWorld.PutConfiguration({ urgent, bulk }, { "alpha", "spare" });
  if (!aWorld.WaitUntilServed({ urgent, bulk })) {
    return Verdict::kNotRun;
  }
  std::set<std::string> accepted;
  const Moment begin = Clock::now();
  for (int i = 1; Clock::now() < begin + kTraffic; ++i) {
    std::this_thread::sleep_until(begin + i * kSubmitInterval);
    const bool neverFits = aWorld.HasTrouble() && i % kNeverFittingEvery == 0;
    const std::int64_t cpu = neverFits ? kCpuThatNeverFits : kCpuOfUrgent;
    const Job job{ aWorld.NextId(), "sleep 200", { { .count_ = 2, .cpu_ = cpu } } };
    if (aWorld.Submit(urgent, job) && !neverFits) {
      accepted.insert(job.id_);
    }
    if (i % kUrgentForEachBulk != 0) {
      continue;
    }
    const Job other{ aWorld.NextId(), "sleep 300", { { .cpu_ = kCpuOfBulk } } };
    if (aWorld.Submit(bulk, other)) {
      accepted.insert(other.id_);
    }
  }
  aWorld.Log().Add("traffic ended");
  return FindLostJobs(aWorld, bulk, accepted, kCpuOfBulk).empty() ? Verdict::kHeld
                                                                  : Verdict::kBroken;
}

} // namespace review
