#include "review/standin-2/Cases.h"
#include "review/standin-2/MemoryGuard.h"
#include "review/standin-2/Ordinary.h"

namespace review {
namespace {

constexpr int kMinions = 3;
constexpr int kJobs = 400;
constexpr std::size_t kSteps = 50;
constexpr std::int64_t kTasksOfStep = 80;
constexpr std::size_t kPayloadBytes = 4'000;
/** Time of the ordinary caller alone. */
constexpr Milliseconds kLead{ 4'000 };
constexpr Milliseconds kTrafficTime{ 20'000 };
/** finish_s of the small deployment. */
constexpr Milliseconds kFinishTime{ 14'000 };

/** Returns a job with the longest text that PROTOCOL.md allows, and many steps. */
std::string
WideBody()
{
  quetzal::adapter::BodyWriter writer;
  writer.Map(2).Put("spec", std::string(kPayloadBytes, 'x')).Key("steps").List(kSteps);
  for (std::size_t i = 0; i < kSteps; ++i) {
    writer.Map(4).Put("count", kTasksOfStep).Put("cpu", std::int64_t{ 100 });
    writer.Put("mem-mb", std::int64_t{ 16 }).Put("estimate-ms", std::int64_t{ 200 });
  }
  return writer.Bytes();
}

/** Submits the wide jobs, each at one entry host and once. */
void
SubmitWideJobs(Deployment& aDeployment)
{
  const std::string body = WideBody();
  for (int i = 0; i < kJobs; ++i) {
    const std::string digits = std::to_string(i);
    const std::string target = "/alpha/" + std::string(16 - digits.size(), 'a') + digits;
    aDeployment.Send(static_cast<std::size_t>(i) % aDeployment.Hosts().size(),
                     "POST",
                     target,
                     body,
                     [&aDeployment, target](const Answer& aAnswer) {
                       aDeployment.GetRecord().Write("POST ", target, " -> ", aAnswer.status_);
                     });
  }
}

} // namespace

Outcome
PlayWideJobs(const std::string& aRecordFile)
{
  Deployment deployment(aRecordFile, kMinions);
  if (!deployment.Start()) {
    return Outcome::kNotRun;
  }
  MemoryGuard guard(deployment);
  OrdinaryCaller ordinary(deployment);
  Deployment::Run(kLead);
  if (!IsCalm()) {
    SubmitWideJobs(deployment);
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
