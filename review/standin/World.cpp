#include "review/standin/World.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace review {
namespace {

constexpr int kPlatformHost = 1;
constexpr int kFirstFront = 10;
constexpr int kStorePort = 8'621;
constexpr int kCloudPort = 8'622;
constexpr int kAdvicePort = 8'623;
constexpr int kFrontPort = 8'624;
constexpr int kReadyPort = 8'625;
constexpr Milliseconds kClientTimeout{ 3'000 };
constexpr Milliseconds kRetryDelay{ 300 };
constexpr int kRetries = 4;
constexpr Milliseconds kStartTimeout{ 20'000 };

} // namespace

World::World(const std::string& aNetwork,
             int aFronts,
             const std::string& aRecord,
             const std::string& aPids)
  : network_(aNetwork)
  , pids_(aPids)
  , fronts_(aFronts)
  , record_(aRecord)
  , store_({ aNetwork + std::to_string(kPlatformHost), kStorePort })
  , fleet_(aNetwork,
           { aNetwork + std::to_string(kPlatformHost), kCloudPort },
           { aNetwork + std::to_string(kPlatformHost), kAdvicePort },
           store_,
           record_)
{
  const char* trouble = std::getenv("TROUBLE");
  hasTrouble_ = trouble == nullptr || std::string(trouble) != "0";
  record_.Add("begin trouble=", hasTrouble_);
}

void
World::PutConfiguration(const std::vector<Queue>& aQueues,
                        const std::vector<std::string>& aServices)
{
  List routes;
  for (const Queue& queue : aQueues) {
    Map route{ { "name", queue.name_ },
               { "host", "jobs.example" },
               { "prefix", queue.prefix_ },
               { "kind", "non_idempotent" },
               { "timeout-ms", 3'000 },
               { "objective-ms", 600 },
               { "priority", queue.priority_ },
               { "service", queue.service_ },
               { "max-attempts", queue.maxAttempts_ },
               { "stretch", 2 } };
    if (queue.hasAdvice_) {
      route["advice"] = Map{ { "decision-ms", 50 }, { "each-ms", 1 }, { "validity-ms", 3'000 } };
    }
    routes.emplace_back(route);
  }
  List services;
  for (const std::string& service : aServices) {
    services.emplace_back(Map{ { "name", service },
                               { "health-path", "/health" },
                               { "max-connections", 64 },
                               { "rejects-overload", isGuarded_ },
                               { "standby", service == "spare" } });
  }
  version_ += 2;
  store_.Put("op/config",
             Map{ { "version", version_ },
                  { "routes", routes },
                  { "services", services },
                  { "limits", Map{} } });
  record_.Add("configuration version=", version_, " routes=", routes.size());
}

Response
World::Ask(int aFront, const std::string& aMethod, const std::string& aPath, const Value& aBody)
{
  Request request;
  request.method_ = aMethod;
  request.target_ = aPath;
  request.fields_ = "Host: jobs.example\r\nContent-Type: application/msgpack\r\n"
                    "X-Quetzalwheel-Deadline: 3000\r\n";
  request.body_ = aMethod == "POST" ? aBody.Encode() : std::string();
  const Endpoint front{ network_ + std::to_string(kFirstFront + aFront), kFrontPort };
  return Send(front, request, kClientTimeout);
}

bool
World::WaitUntilServed(const std::vector<Queue>& aQueues)
{
  const Moment until = Clock::now() + kStartTimeout;
  for (int front = 0; front < fronts_; ++front) {
    const Endpoint ready{ network_ + std::to_string(kFirstFront + front), kReadyPort };
    bool isServed = false;
    while (!isServed && Clock::now() < until) {
      std::this_thread::sleep_for(Milliseconds(100));
      isServed =
        Send(ready, { "GET", "/api/ready", "Host: ready\r\n", {} }, kClientTimeout).status_ == 200;
      for (const Queue& queue : aQueues) {
        isServed = isServed && Ask(front, "GET", queue.prefix_, {}).status_ == 200;
      }
    }
    if (!isServed) {
      record_.Add("front ", front, " does not serve");
      return false;
    }
  }
  record_.Add("all fronts serve");
  return true;
}

bool
World::Submit(const Queue& aQueue, const Job& aJob)
{
  List steps;
  for (const Step& step : aJob.steps_) {
    Map entry{ { "count", step.count_ },
               { "cpu", step.cpu_ },
               { "mem-mb", step.memoryMb_ },
               { "estimate-ms",
                 aJob.estimateMs_ > 0 ? aJob.estimateMs_
                                      : BehaviourOf(aJob.spec_).time_.count() } };
    if (step.gang_) {
      entry["gang"] = true;
    }
    if (step.speculative_) {
      entry["speculative"] = true;
    }
    steps.emplace_back(entry);
  }
  fleet_.AddJob(aJob.id_, { aJob.steps_, aQueue.maxAttempts_, aQueue.hasAdvice_ });
  const Map body{ { "spec", aJob.spec_ }, { "steps", steps } };
  for (int attempt = 0; attempt <= kRetries; ++attempt) {
    const int front = nextFront_++ % fronts_;
    const Response answer = Ask(front, "POST", aQueue.prefix_ + aJob.id_, body);
    record_.Add(
      "submitted ", aQueue.prefix_, aJob.id_, " front=", front, " status=", answer.status_);
    if (answer.status_ / 100 == 2) {
      return true;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return false;
}

std::string
World::StateOf(const Queue& aQueue, const std::string& aJob)
{
  const int front = nextFront_++ % fronts_;
  const Response answer = Ask(front, "GET", aQueue.prefix_ + aJob, {});
  const std::string state = Value::Decode(answer.body_)["state"].Text();
  return answer.status_ == 200 ? state : "status " + std::to_string(answer.status_);
}

void
World::SetGuarded(bool aGuarded)
{
  isGuarded_ = aGuarded;
  fleet_.SetGuarded(aGuarded);
}

int
World::OwnerOf(const std::string& aService) const
{
  const Value record = store_.Read("quetzal/live/cell/" + aService);
  const std::string name = record.Items().empty() ? std::string() : record.Items().front().Text();
  return name.starts_with("front-") ? std::atoi(name.c_str() + 6) : -1;
}

void
World::Signal(int aFront, int aSignal)
{
  int pid = 0;
  std::ifstream(pids_ + "/pid-" + std::to_string(aFront)) >> pid;
  record_.Add("signal ", aSignal, " to front ", aFront);
  if (pid > 0) {
    ::kill(pid, aSignal);
  }
}

std::string
World::NextId()
{
  const std::string digits = std::to_string(nextJob_++);
  return std::string(16 - digits.size(), '0') + digits;
}

} // namespace review
