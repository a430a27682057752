#include "review/standin-2/Cases.h"
#include "review/standin-2/Deployment.h"

namespace review {
namespace {

/** With four minions of both services a rack, the last minion of q-alpha's service has a rack of
 * its own. */
constexpr int kMinions = 9;
constexpr std::size_t kLastOfAlpha = 16;
constexpr int kJobs = 10;
constexpr Milliseconds kSheddingTime{ 6'500 };
/** visible_ms + 2 s: jobs that were accepted before are to be counted. */
constexpr Milliseconds kVisibleTime{ 5'000 };

/** Returns a job of one subtask that needs a minion of one rack. */
std::string
BodyFor(const std::string& aRack)
{
  quetzal::adapter::BodyWriter writer;
  writer.Map(2).Put("spec", std::string("price the order")).Key("steps").List(1).Map(5);
  writer.Put("count", std::int64_t{ 1 }).Put("cpu", std::int64_t{ 1'000 });
  writer.Put("mem-mb", std::int64_t{ 100 }).Put("estimate-ms", std::int64_t{ 1'000 });
  writer.Put("requires", aRack);
  return writer.Bytes();
}

/** Asks each entry host for the number of pending jobs. @return whether one gives less than half of
 * those that have not begun. */
bool
IsCountTooLow(Deployment& aDeployment)
{
  const auto begun = aDeployment.GetPlatform().GetFleet().starts_.size();
  bool isTooLow = false;
  for (std::size_t i = 0; i < aDeployment.Hosts().size(); ++i) {
    const Answer answer = aDeployment.Ask(i, "GET", "/alpha/");
    aDeployment.GetRecord().Write("GET /alpha/ at front-",
                                  i,
                                  " -> ",
                                  answer.status_,
                                  " pending ",
                                  answer.pending_,
                                  "; jobs that were accepted long before: ",
                                  kJobs,
                                  ", begun: ",
                                  begun);
    const std::int64_t waiting = kJobs - static_cast<std::int64_t>(begun);
    isTooLow = isTooLow || (answer.pending_ >= 0 && 2 * answer.pending_ < waiting);
  }
  return isTooLow;
}

} // namespace

Outcome
PlayPendingCount(const std::string& aRecordFile)
{
  constexpr Milliseconds kMargin{ 300 };
  Deployment deployment(aRecordFile, kMinions);
  if (!deployment.Start()) {
    return Outcome::kNotRun;
  }
  Deployment::Run(Milliseconds(2'000));
  Worker& minion = *deployment.GetPlatform().Workers().at(kLastOfAlpha);
  if (!IsCalm()) {
    minion.SetShedding(true);
    QTimer::singleShot(kSheddingTime, [&minion] { minion.SetShedding(false); });
  }
  for (int i = 0; i < kJobs; ++i) {
    const std::string target = "/alpha/000000000000000" + std::to_string(i);
    if (!deployment.Submit(target, BodyFor(minion.Place().rack_))) {
      return Outcome::kNotRun;
    }
  }
  Deployment::Run(kVisibleTime + kMargin);
  const bool isTooLow = IsCountTooLow(deployment);
  const bool areAllRun = Deployment::RunUntil(
    [&] { return deployment.GetPlatform().GetFleet().starts_.size() >= kJobs; },
    Milliseconds(10'000));
  deployment.GetRecord().Write("later, all jobs have begun: ", areAllRun ? "yes" : "no");
  return isTooLow ? Outcome::kBroken : Outcome::kHeld;
}

} // namespace review
