#include "review/standin-2/Cases.h"
#include "review/standin-2/MemoryGuard.h"
#include "review/standin-2/Ordinary.h"

#include "include/quetzal/clock/Now.h"

namespace review {
namespace {

constexpr int kMinions = 3;
constexpr std::int64_t kRepetitions = 2'000;
constexpr std::int64_t kIntervalMs = 1'000;
constexpr std::int64_t kTasks = 1'000;
/** Time of the ordinary caller alone. */
constexpr Milliseconds kLead{ 4'000 };
constexpr Milliseconds kTrafficTime{ 20'000 };
/** finish_s of the small deployment. */
constexpr Milliseconds kFinishTime{ 14'000 };
const std::string kTarget = "/alpha/00000000000000a2";

/** Returns a job whose first occurrence was due half an hour ago. */
std::string
ScheduleBody()
{
  quetzal::adapter::BodyWriter writer;
  writer.Map(5).Put("spec", std::string("settle the ledger"));
  writer.Put("repetitions", kRepetitions).Put("interval-ms", kIntervalMs);
  writer.Put("first-ms", quetzal::clock::UnixMs() - kRepetitions * kIntervalMs);
  writer.Key("steps").List(1).Map(4).Put("count", kTasks).Put("cpu", std::int64_t{ 100 });
  writer.Put("mem-mb", std::int64_t{ 16 }).Put("estimate-ms", std::int64_t{ 200 });
  return writer.Bytes();
}

} // namespace

Outcome
PlayOverdueSchedule(const std::string& aRecordFile)
{
  Deployment deployment(aRecordFile, kMinions);
  if (!deployment.Start()) {
    return Outcome::kNotRun;
  }
  MemoryGuard guard(deployment);
  OrdinaryCaller ordinary(deployment);
  Deployment::Run(kLead);
  if (!IsCalm()) {
    deployment.Send(0, "POST", kTarget, ScheduleBody(), [&deployment](const Answer& aAnswer) {
      deployment.GetRecord().Write("POST ", kTarget, " -> ", aAnswer.status_);
    });
  }
  Deployment::Run(kTrafficTime);
  ordinary.Stop();
  Deployment::Run(kFinishTime);
  const int lost = ordinary.CountLost();
  deployment.GetRecord().Write(
    "of ", ordinary.Accepted(), " accepted jobs of the ordinary caller, ", lost, " are lost");
  return lost > 0 ? Outcome::kBroken : Outcome::kHeld;
}

} // namespace review
