#include "review/standin-2/Cases.h"
#include "review/standin-2/Deployment.h"

#include <algorithm>

namespace review {
namespace {

constexpr int kMinions = 9;
/** The service's other jobs, so that one order of 19 is late: a share of 0.053. They need the label
 * of a rack, so that its minions are busier than the others, and taken first, when the job whose
 * order is late is started again. */
constexpr int kOtherJobs = 18;
constexpr std::int64_t kOtherWorkMs = 6'000;
constexpr Milliseconds kOrderDelay{ 5'000 };
constexpr Milliseconds kCrashAt{ 4'200 };
constexpr Milliseconds kCrashTime{ 600 };
constexpr std::int64_t kWorkMs = 12'000;
const std::string kJob = "00000000000000a2";

/** Returns a job of one subtask. @param aRack whose label it needs; empty: none. */
std::string
BodyOf(std::int64_t aWorkMs, const std::string& aRack)
{
  quetzal::adapter::BodyWriter writer;
  writer.Map(2).Put("spec", std::string("post the ledger")).Key("steps").List(1);
  writer.Map(aRack.empty() ? 4 : 5).Put("count", std::int64_t{ 1 }).Put("cpu", std::int64_t{ 500 });
  writer.Put("mem-mb", std::int64_t{ 100 }).Put("estimate-ms", aWorkMs);
  if (!aRack.empty()) {
    writer.Put("requires", aRack);
  }
  return writer.Bytes();
}

} // namespace

Outcome
PlayLateOrder(const std::string& aRecordFile)
{
  constexpr Milliseconds kSettleTime{ 2'000 };
  constexpr Milliseconds kWatchTime{ 20'000 };
  Deployment deployment(aRecordFile, kMinions);
  if (!deployment.Start()) {
    return Outcome::kNotRun;
  }
  Deployment::Run(kSettleTime);
  auto& workers = deployment.GetPlatform().Workers();
  const auto submitOther = [&deployment](int aNumber) {
    deployment.Submit("/alpha/00000000000001" + std::to_string(10 + aNumber),
                      BodyOf(kOtherWorkMs, "r1"));
  };
  for (const auto& worker : workers) {
    worker->DelayStartOf(kJob, kOrderDelay);
  }
  if (!deployment.Submit("/alpha/" + kJob, BodyOf(kWorkMs, {}))) {
    return Outcome::kNotRun;
  }
  Worker* minion = nullptr;
  Deployment::RunUntil(
    [&] {
      const auto found = std::find_if(
        workers.begin(), workers.end(), [](const auto& aWorker) { return aWorker->HasDelayed(); });
      minion = found == workers.end() ? nullptr : found->get();
      return minion != nullptr;
    },
    kSettleTime);
  if (minion == nullptr) {
    return Outcome::kNotRun;
  }
  if (!IsCalm()) {
    QTimer::singleShot(kCrashAt, [minion] { minion->Crash(); });
    QTimer::singleShot(kCrashAt + kCrashTime, [minion] { minion->Boot(true); });
  }
  for (const auto& worker : workers) {
    worker->DelayStartOf({}, {});
  }
  for (int i = 0; i < kOtherJobs; ++i) {
    submitOther(i);
  }
  Deployment::Run(kWatchTime);
  const auto& doubles = deployment.GetPlatform().GetFleet().doubles_;
  deployment.GetRecord().Write(doubles.size(), " subtasks had two runs at the same time");
  return doubles.empty() ? Outcome::kHeld : Outcome::kBroken;
}

} // namespace review
