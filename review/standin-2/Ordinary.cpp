#include "review/standin-2/Ordinary.h"

#include "include/quetzal/http/Status.h"

namespace review {
namespace {

constexpr Milliseconds kInterval{ 250 };
constexpr std::int64_t kWorkMs = 3'000;

std::string
IdOf(int aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

} // namespace

std::string
StepBody(std::int64_t aCount, std::int64_t aWorkMs)
{
  quetzal::adapter::BodyWriter writer;
  writer.Map(2).Put("spec", std::string("price the order")).Key("steps").List(1).Map(4);
  writer.Put("count", aCount).Put("cpu", std::int64_t{ 100 });
  writer.Put("mem-mb", std::int64_t{ 16 }).Put("estimate-ms", aWorkMs);
  return writer.Bytes();
}

OrdinaryCaller::OrdinaryCaller(Deployment& aDeployment)
  : deployment_(aDeployment)
{
  QObject::connect(&timer_, &QTimer::timeout, [this] { Submit(); });
  timer_.start(kInterval);
}

void
OrdinaryCaller::Submit()
{
  const std::size_t host = static_cast<std::size_t>(sent_) % deployment_.Hosts().size();
  const std::string target = "/alpha/" + IdOf(++sent_);
  deployment_.Send(
    host, "POST", target, StepBody(2, kWorkMs), [this, host, target](const Answer& aAnswer) {
      deployment_.GetRecord().Write("POST ", target, " at front-", host, " -> ", aAnswer.status_);
      if (aAnswer.status_ == quetzal::http::status::kOk) {
        accepted_.push_back(target);
      }
    });
}

std::string
OrdinaryCaller::StateOf(const std::string& aTarget)
{
  std::string state;
  for (std::size_t i = 0; i < deployment_.Hosts().size() && state.empty(); ++i) {
    const Answer answer = deployment_.Ask(i, "GET", aTarget);
    state = answer.state_;
    deployment_.GetRecord().Write(
      "GET ", aTarget, " at front-", i, " -> ", answer.status_, ' ', state);
  }
  return state;
}

int
OrdinaryCaller::CountLost()
{
  constexpr Milliseconds kWatchTime{ 3'000 };
  constexpr double kHalf = 0.5;
  int lost = 0;
  std::set<std::string> waiting;
  for (const std::string& target : accepted_) {
    const std::string state = StateOf(target);
    if (state.empty()) {
      ++lost;
    } else if (state != "completed") {
      waiting.insert(target.substr(target.rfind('/') + 1));
    }
  }
  Platform& platform = deployment_.GetPlatform();
  double mostUsed = 0;
  Deployment::RunUntil(
    [&] {
      mostUsed = std::max(mostUsed, platform.UsedFractionOf("alpha"));
      std::erase_if(waiting, [&platform](const auto& aJob) { return platform.IsRunning(aJob); });
      return waiting.empty();
    },
    kWatchTime);
  deployment_.GetRecord().Write(lost,
                                " accepted jobs get no answer; for 3 s, ",
                                waiting.size(),
                                " have nothing running while at most ",
                                mostUsed,
                                " of the service's capacity is in use");
  return mostUsed < kHalf ? lost + static_cast<int>(waiting.size()) : lost;
}

} // namespace review
