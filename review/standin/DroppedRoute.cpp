/** Case 4: a change of the configuration removes a route that has a job which always fails. */

#include "review/standin/World.h"

#include <thread>

namespace review {
namespace {

constexpr Milliseconds kFirstFailure{ 1'200 };
constexpr Milliseconds kWatched{ 20'000 };

} // namespace

Verdict
PlayDroppedRoute(World& aWorld)
{
  const Queue kept{ "q-kept", "/kept/", "alpha", 0 };
  const Queue dropped{ "q-dropped", "/dropped/", "alpha", 0 };
  for (int i = 0; i < 4; ++i) {
    aWorld.Machines().AddMachine("m-a" + std::to_string(i), "alpha", "r1");
  }
  aWorld.PutConfiguration({ kept, dropped }, { "alpha", "spare" });
  if (!aWorld.WaitUntilServed({ kept, dropped })) {
    return Verdict::kNotRun;
  }
  const Job job{ aWorld.NextId(), "fail 800", { {} } };
  if (!aWorld.Submit(dropped, job)) {
    return Verdict::kNotRun;
  }
  std::this_thread::sleep_for(kFirstFailure);
  std::vector<Queue> queues{ kept };
  if (!aWorld.HasTrouble()) {
    queues.push_back(dropped);
  }
  aWorld.PutConfiguration(queues, { "alpha", "spare" });
  std::this_thread::sleep_for(kWatched);
  int beyond = 0;
  for (const auto& [task, history] : aWorld.Machines().Tasks()) {
    aWorld.Log().Add(
      "task=", task, " starts=", history.starts_, " failed=", history.failedAndSeen_);
    beyond += history.startsBeyondFailures_;
  }
  aWorld.Log().Add("starts after ", dropped.maxAttempts_, " failed runs: ", beyond);
  return beyond > 0 ? Verdict::kBroken : Verdict::kHeld;
}

} // namespace review
