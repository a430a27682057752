/** Case 1: the owner of a service stops as planned; then answers of one minion do not reach its
 * successor.
 */

#include "review/standin/World.h"

#include <csignal>
#include <thread>

namespace review {
namespace {

constexpr Milliseconds kShortTasks{ 2'000 };
/** The planned stop comes so long after the short tasks have ended: the owner knows their ends, the
 * minion has not been told yet that it may forget them. */
constexpr Milliseconds kAfterTheirEnd{ 30 };
constexpr Milliseconds kCut{ 5'000 };
constexpr Milliseconds kUntilTakeover{ 5'000 };
constexpr Milliseconds kUntilJob{ 200 };
constexpr Milliseconds kWatched{ 12'000 };
constexpr Milliseconds kInterval{ 5 };

} // namespace

Verdict
PlayTakeoverCut(World& aWorld)
{
  const Queue queue{ "q", "/q/", "alpha", 0 };
  for (int i = 0; i < 4; ++i) {
    aWorld.Machines().AddMachine("m-a" + std::to_string(i), "alpha", "r1");
  }
  aWorld.PutConfiguration({ queue }, { "alpha", "spare" });
  if (!aWorld.WaitUntilServed({ queue })) {
    return Verdict::kNotRun;
  }
  const Job brief{ aWorld.NextId(), "sleep 2000", { { .count_ = 8 } } };
  if (!aWorld.Submit(queue, brief)) {
    return Verdict::kNotRun;
  }
  std::string machine;
  for (const Moment until = Clock::now() + kShortTasks; machine.empty() && Clock::now() < until;) {
    std::this_thread::sleep_for(kInterval);
    machine = aWorld.Machines().MachineOf(brief.id_ + ".0.0.0");
  }
  const int owner = aWorld.OwnerOf("alpha");
  if (machine.empty() || owner < 0) {
    return Verdict::kNotRun;
  }
  std::this_thread::sleep_for(kShortTasks + kAfterTheirEnd);
  if (aWorld.HasTrouble()) {
    aWorld.Machines().CutAnswersAfterTakeover(machine, kCut);
  }
  aWorld.Signal(owner, SIGTERM);
  const Moment until = Clock::now() + kUntilTakeover;
  while (aWorld.HasTrouble() && Clock::now() < until && !aWorld.Machines().AreAnswersCut(machine)) {
    std::this_thread::sleep_for(kInterval);
  }
  std::this_thread::sleep_for(aWorld.HasTrouble() ? kUntilJob : kUntilTakeover);
  const Job longer{ aWorld.NextId(), "sleep 4000", { {} } };
  if (!aWorld.Submit(queue, longer)) {
    return Verdict::kNotRun;
  }
  std::this_thread::sleep_for(kWatched);
  int beside = 0;
  for (const auto& [task, history] : aWorld.Machines().Tasks()) {
    aWorld.Log().Add("task=", task, " starts=", history.starts_);
    beside += history.startsBeside_;
  }
  aWorld.Log().Add("starts beside a run that is at work: ", beside);
  return beside > 0 ? Verdict::kBroken : Verdict::kHeld;
}

} // namespace review
