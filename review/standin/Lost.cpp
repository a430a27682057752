#include "review/standin/Lost.h"

#include <thread>

namespace review {
namespace {

constexpr Milliseconds kFinish{ 14'000 };
constexpr Milliseconds kWithoutRun{ 3'000 };
constexpr Milliseconds kInterval{ 100 };

bool
HasRoom(World& aWorld, const std::string& aService, std::int64_t aCpu)
{
  std::int64_t total = 0;
  const std::int64_t free = aWorld.Machines().FreeCpu(aService, total);
  return free * 2 > total && free >= 2 * aCpu;
}

/** Returns the jobs of which nothing runs and nothing is done. */
std::set<std::string>
IdleJobs(World& aWorld, const std::set<std::string>& aJobs)
{
  std::set<std::string> idle = aJobs;
  for (const auto& [task, history] : aWorld.Machines().Tasks()) {
    if (history.running_ > 0 || history.done_) {
      idle.erase(task.substr(0, task.find('.')));
    }
  }
  return idle;
}

} // namespace

std::set<std::string>
FindLostJobs(World& aWorld,
             const Queue& aQueue,
             const std::set<std::string>& aAccepted,
             std::int64_t aCpu)
{
  std::this_thread::sleep_for(kFinish);
  std::set<std::string> lost = IdleJobs(aWorld, aAccepted);
  const Moment until = Clock::now() + kWithoutRun;
  while (Clock::now() < until) {
    std::this_thread::sleep_for(kInterval);
    lost =
      HasRoom(aWorld, aQueue.service_, aCpu) ? IdleJobs(aWorld, lost) : std::set<std::string>();
  }
  std::int64_t total = 0;
  const std::int64_t free = aWorld.Machines().FreeCpu(aQueue.service_, total);
  aWorld.Log().Add("at the end: cpu free=", free, " of=", total, " jobs=", aAccepted.size());
  for (const std::string& job : lost) {
    aWorld.Log().Add("LOST job=", job, " shown as ", aWorld.StateOf(aQueue, job));
  }
  return lost;
}

} // namespace review
