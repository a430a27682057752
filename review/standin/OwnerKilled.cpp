/** The process that gives orders to a service's minions is killed while a subtask has two
 * runs, as its step allows. */

#include "review/standin/World.h"

#include <csignal>
#include <thread>

namespace review {
namespace {

constexpr std::int64_t kHalfAMinion = 16'000;
constexpr Milliseconds kUntilCopied{ 3'000 };
constexpr Milliseconds kUntilStarted{ 1'000 };
constexpr Milliseconds kWatched{ 15'000 };

} // namespace

Verdict
PlayOwnerKilled(World& aWorld)
{
  const Queue queue{ "q", "/q/", "alpha", 0 };
  aWorld.SetGuarded(false);
  for (int i = 0; i < 2; ++i) {
    aWorld.Machines().AddMachine("m-a" + std::to_string(i), "alpha", "r1");
  }
  aWorld.PutConfiguration({ queue }, { "alpha", "spare" });
  if (!aWorld.WaitUntilServed({ queue })) {
    return Verdict::kNotRun;
  }
  const Job slow{
    aWorld.NextId(), "sleep 25000", { { .cpu_ = kHalfAMinion, .speculative_ = true } }, 300
  };
  bool isAccepted = aWorld.Submit(queue, slow);
  std::this_thread::sleep_for(kUntilCopied);
  const Job filling{ aWorld.NextId(), "sleep 30000", { { .count_ = 2, .cpu_ = kHalfAMinion } } };
  isAccepted = isAccepted && aWorld.Submit(queue, filling);
  std::this_thread::sleep_for(kUntilStarted);
  const Job waiting{ aWorld.NextId(), "sleep 1000", { { .count_ = 2, .cpu_ = kHalfAMinion } } };
  isAccepted = isAccepted && aWorld.Submit(queue, waiting);
  std::this_thread::sleep_for(kUntilStarted);
  const int owner = aWorld.OwnerOf("alpha");
  if (!isAccepted || owner < 0) {
    return Verdict::kNotRun;
  }
  if (aWorld.HasTrouble()) {
    aWorld.Signal(owner, SIGKILL);
  }
  std::this_thread::sleep_for(kWatched);
  const int over = aWorld.Machines().StartsOverCapacity();
  aWorld.Log().Add("starts that brought a minion over its capacity: ", over);
  return over > 0 ? Verdict::kBroken : Verdict::kHeld;
}

} // namespace review
