/** A change of the configuration gives advice to a queue that has jobs with gangs. */

#include "review/standin/Lost.h"

#include <thread>

namespace review {
namespace {

constexpr Milliseconds kSettle{ 3'000 };
constexpr std::int64_t kCpu = 1'000;

} // namespace

Verdict
PlayAdvisedGang(World& aWorld)
{
  Queue queue{ "q", "/q/", "alpha", 0 };
  for (int i = 0; i < 4; ++i) {
    aWorld.Machines().AddMachine("m-a" + std::to_string(i), "alpha", "r1");
  }
  aWorld.PutConfiguration({ queue }, { "alpha", "spare" });
  if (!aWorld.WaitUntilServed({ queue })) {
    return Verdict::kNotRun;
  }
  const Step gang{ .count_ = 3, .cpu_ = kCpu, .gang_ = true };
  const Step single{ .count_ = 3, .cpu_ = kCpu };
  const Job before{ aWorld.NextId(), "sleep 500", { gang } };
  if (!aWorld.Submit(queue, before)) {
    return Verdict::kNotRun;
  }
  std::this_thread::sleep_for(kSettle);
  queue.hasAdvice_ = aWorld.HasTrouble();
  aWorld.PutConfiguration({ queue }, { "alpha", "spare" });
  std::this_thread::sleep_for(kSettle);
  const Job withGang{ aWorld.NextId(), "sleep 500", { gang } };
  const Job withoutGang{ aWorld.NextId(), "sleep 500", { single } };
  if (!aWorld.Submit(queue, withGang) || !aWorld.Submit(queue, withoutGang)) {
    return Verdict::kNotRun;
  }
  const std::set<std::string> accepted{ before.id_, withGang.id_, withoutGang.id_ };
  const std::set<std::string> lost = FindLostJobs(aWorld, queue, accepted, kCpu);
  for (const std::string& job : accepted) {
    aWorld.Log().Add("job ", job, " is shown as ", aWorld.StateOf(queue, job));
  }
  return lost.empty() ? Verdict::kHeld : Verdict::kBroken;
}

} // namespace review
