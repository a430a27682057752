#include "review/standin-2/Cases.h"
#include "review/standin-2/Deployment.h"

#include <set>

namespace review {
namespace {

constexpr int kMinions = 9;
constexpr int kMembers = 3;
constexpr std::int64_t kWorkMs = 9'000;
const std::string kJob = "00000000000000a2";

std::string
GangBody()
{
  quetzal::adapter::BodyWriter writer;
  writer.Map(2).Put("spec", std::string("settle the ledger")).Key("steps").List(1).Map(7);
  writer.Put("count", std::int64_t{ kMembers }).Put("cpu", std::int64_t{ 2'000 });
  writer.Put("mem-mb", std::int64_t{ 500 }).Put("estimate-ms", kWorkMs);
  writer.Put("anti-affinity", std::int64_t{ 1 });
  writer.Key("gang").PutBool(true).Key("checkpointing").PutBool(true);
  return writer.Bytes();
}

/** Returns whether all members of each run of the gang were started from the same checkpoint. */
bool
CheckRuns(Deployment& aDeployment)
{
  std::map<std::int64_t, std::set<std::string>> checkpoints;
  for (const Start& start : aDeployment.GetPlatform().GetFleet().starts_) {
    checkpoints[start.run_].insert(start.checkpoint_);
  }
  bool areEqual = true;
  for (const auto& [run, values] : checkpoints) {
    std::string text;
    for (const std::string& value : values) {
      text += " \"" + value + '"';
    }
    aDeployment.GetRecord().Write("run ", run, " was started from the checkpoints", text);
    areEqual = areEqual && values.size() == 1;
  }
  return areEqual;
}

/** Ends the minion of one member, once the gang has worked for three seconds, and starts it again
 * 4.5 s later, which is the longest crash of the small deployment's sheet. */
void
CrashOneMinion(Deployment& aDeployment)
{
  constexpr Milliseconds kBeforeCrash{ 3'000 };
  constexpr Milliseconds kCrashTime{ 4'500 };
  Deployment::Run(kBeforeCrash);
  for (const auto& worker : aDeployment.GetPlatform().Workers()) {
    if (worker->Runs(kJob + ".0.0." + std::to_string(kMembers - 1))) {
      worker->Crash();
      QTimer::singleShot(kCrashTime, [minion = worker.get()] { minion->Boot(); });
      return;
    }
  }
}

} // namespace

Outcome
PlayGangCheckpoint(const std::string& aRecordFile)
{
  constexpr Milliseconds kMostTime{ 60'000 };
  Deployment deployment(aRecordFile, kMinions);
  if (!deployment.Start() || !deployment.Submit("/alpha/" + kJob, GangBody())) {
    return Outcome::kNotRun;
  }
  const auto& starts = deployment.GetPlatform().GetFleet().starts_;
  if (!Deployment::RunUntil([&] { return starts.size() == kMembers; }, Milliseconds(10'000))) {
    return Outcome::kNotRun;
  }
  if (!IsCalm()) {
    CrashOneMinion(deployment);
  }
  std::string state;
  const auto until = Clock::now() + kMostTime;
  while (state != "completed" && Clock::now() < until) {
    Deployment::Run(Milliseconds(500));
    state = deployment.Ask(0, "GET", "/alpha/" + kJob).state_;
  }
  deployment.GetRecord().Write("the job is shown as ", state);
  return CheckRuns(deployment) ? Outcome::kHeld : Outcome::kBroken;
}

} // namespace review
