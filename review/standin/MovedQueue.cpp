/** A change of the configuration sends a queue to another service while jobs of it wait. */

#include "review/standin/World.h"

#include <algorithm>
#include <thread>

namespace review {
namespace {

constexpr int kMinions = 2;
constexpr int kWaiting = 10;
constexpr std::int64_t kWholeMinion = 32'000;
constexpr Milliseconds kUntilStarted{ 2'000 };
/** `visible_ms` and 2 s, and the time in which the change must be in force. */
constexpr Milliseconds kUntilVisible{ 8'000 };

} // namespace

Verdict
PlayMovedQueue(World& aWorld)
{
  Queue queue{ "q", "/q/", "alpha", 0 };
  for (int i = 0; i < kMinions; ++i) {
    aWorld.Machines().AddMachine("m-a" + std::to_string(i), "alpha", "r1");
    aWorld.Machines().AddMachine("m-b" + std::to_string(i), "beta", "r2");
  }
  aWorld.PutConfiguration({ queue }, { "alpha", "beta" });
  if (!aWorld.WaitUntilServed({ queue })) {
    return Verdict::kNotRun;
  }
  for (int i = 0; i < kMinions + kWaiting; ++i) {
    const Job job{ aWorld.NextId(), "sleep 40000", { { .cpu_ = kWholeMinion } } };
    if (!aWorld.Submit(queue, job)) {
      return Verdict::kNotRun;
    }
  }
  std::this_thread::sleep_for(kUntilStarted);
  queue.service_ = aWorld.HasTrouble() ? "beta" : "alpha";
  aWorld.PutConfiguration({ queue }, { "alpha", "beta" });
  std::this_thread::sleep_for(kUntilVisible);
  const auto begun = static_cast<int>(aWorld.Machines().Tasks().size());
  const int waiting = kMinions + kWaiting - begun;
  bool isBroken = false;
  for (int front = 0; front < aWorld.Fronts(); ++front) {
    const Response answer = aWorld.Ask(front, "GET", queue.prefix_, {});
    const std::int64_t pending = Value::Decode(answer.body_)["pending"].Integer(-1);
    aWorld.Log().Add("front ", front, " gives pending=", pending, "; not begun: ", waiting);
    isBroken = isBroken || (answer.status_ == 200 && pending * 2 < waiting);
  }
  return isBroken ? Verdict::kBroken : Verdict::kHeld;
}

} // namespace review
