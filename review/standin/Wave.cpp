/** Case 5: the service that maintains machines is silent for 2 s, and the rack that is due for
 * upkeep loses power meanwhile. */

#include "review/standin/World.h"

#include <thread>

namespace review {
namespace {

constexpr Milliseconds kBeforeWave{ 5'000 };
constexpr Milliseconds kCloudSilence{ 2'000 };
constexpr Milliseconds kCrashDelay{ 400 };
constexpr Milliseconds kPowerLoss{ 1'200 };
constexpr Milliseconds kWatched{ 40'000 };
constexpr Milliseconds kInterval{ 20 };
constexpr std::int64_t kWave = 1;
constexpr int kRack = 4;
constexpr int kWaveSeconds = 25;

bool
IsSaidToBeCompleted(World& aWorld)
{
  return aWorld.PlatformStore().Read("status/wave/1")["state"].Text() == "completed";
}

} // namespace

Verdict
PlayWave(World& aWorld)
{
  const Queue queue{ "q", "/q/", "alpha", 0 };
  List rack;
  rack.reserve(kRack);
  for (int i = 0; i < kRack; ++i) {
    aWorld.Machines().AddMachine("m-a" + std::to_string(i), "alpha", "r1");
    aWorld.Machines().AddMachine("m-s" + std::to_string(i), "spare", "r2");
    rack.emplace_back("m-s" + std::to_string(i));
  }
  aWorld.PutConfiguration({ queue }, { "alpha", "spare" });
  if (!aWorld.WaitUntilServed({ queue })) {
    return Verdict::kNotRun;
  }
  std::this_thread::sleep_for(kBeforeWave);
  if (aWorld.HasTrouble()) {
    aWorld.Machines().GoSilentAtNextUpkeep(kCloudSilence);
  }
  aWorld.PlatformStore().Put("op/wave/1",
                             Map{ { "wave", kWave },
                                  { "machines", rack },
                                  { "duration-s", kWaveSeconds },
                                  { "max-count", kRack } });
  aWorld.Log().Add("wave asked for: rack r2, ", kRack, " machines, all at once");
  const Moment until = Clock::now() + kWatched;
  bool hasCrashed = !aWorld.HasTrouble();
  while (Clock::now() < until && !IsSaidToBeCompleted(aWorld)) {
    std::this_thread::sleep_for(kInterval);
    if (!hasCrashed && !aWorld.Machines().SilencedOrder().empty()) {
      hasCrashed = true;
      std::this_thread::sleep_for(kCrashDelay);
      for (const Value& machine : rack) {
        aWorld.Machines().Crash(machine.Text(), kPowerLoss);
      }
    }
  }
  const std::size_t begun = aWorld.Machines().MachinesWithUpkeep(kWave).size();
  const bool isCompleted = IsSaidToBeCompleted(aWorld);
  aWorld.Log().Add("completed: ", isCompleted, "; machines that have begun their upkeep: ", begun);
  return isCompleted && begun < rack.size() ? Verdict::kBroken : Verdict::kHeld;
}

} // namespace review
