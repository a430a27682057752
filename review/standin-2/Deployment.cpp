#include "review/standin-2/Deployment.h"

#include "include/quetzal/http/Status.h"

#include <QtCore/QEventLoop>
#include <cstdlib>
#include <unistd.h>

namespace review {
namespace {

using quetzal::adapter::Body;

constexpr Milliseconds kStartTimeout{ 30'000 };
constexpr Milliseconds kSubmitTime{ 10'000 };
constexpr int kHosts = 3;

std::string
MakeNetwork()
{
  constexpr int kNumbers = 250;
  const int process = ::getpid();
  return "127." + std::to_string(2 + process / kNumbers % kNumbers) + "." +
         std::to_string(2 + process % kNumbers) + ".";
}

} // namespace

bool
IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

Deployment::Deployment(const std::string& aRecordFile, int aMinions)
  : record_(aRecordFile)
  , network_(MakeNetwork())
  , platform_(network_, aMinions, record_)
{
  for (int i = 0; i < kHosts; ++i) {
    const std::string number = std::to_string(i);
    hosts_.push_back(std::make_unique<EntryHost>("front-" + number,
                                                 network_ + std::to_string(10 + i),
                                                 "z" + number,
                                                 platform_,
                                                 folder_.path().toStdString(),
                                                 record_));
  }
}

bool
Deployment::Start()
{
  for (const auto& host : hosts_) {
    host->Start();
  }
  const auto until = Clock::now() + kStartTimeout;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    for (const char* queue : { "/alpha/", "/beta/" }) {
      while (Ask(i, "GET", queue).status_ != quetzal::http::status::kOk) {
        if (Clock::now() > until) {
          record_.Write("the deployment does not start");
          return false;
        }
        Run(Milliseconds(100));
      }
    }
  }
  record_.Write("all entry hosts serve both queues");
  return true;
}

void
Deployment::Send(std::size_t aHost,
                 const std::string& aMethod,
                 const std::string& aTarget,
                 const std::string& aBody,
                 const std::function<void(const Answer&)>& aDone,
                 Milliseconds aTimeout)
{
  if (aMethod == "POST") {
    platform_.GetFleet().jobs_.Add(aTarget.substr(aTarget.rfind('/') + 1), aBody);
  }
  quetzal::http::Request request;
  request.method_ = aMethod;
  request.target_ = aTarget;
  request.fields_ = { { "Host", "jobs.example" },
                      { "Content-Type", "application/msgpack" },
                      { "X-Quetzalwheel-Deadline", "3000" } };
  request.body_ = aBody;
  hosts_.at(aHost)->Client().Send(request, aTimeout, [aDone](const auto& aResult) {
    Answer answer;
    if (!aResult.error_) {
      answer.status_ = aResult.response_.status_;
      const auto body = Body::Decode(aResult.response_.body_);
      if (body) {
        answer.state_ = body->Root()["state"].Text();
        answer.pending_ = body->Root()["pending"].Integer(-1);
      }
    }
    aDone(answer);
  });
}

Answer
Deployment::Ask(std::size_t aHost,
                const std::string& aMethod,
                const std::string& aTarget,
                const std::string& aBody)
{
  const auto answer = std::make_shared<std::optional<Answer>>();
  Send(aHost, aMethod, aTarget, aBody, [answer](const Answer& aAnswer) { *answer = aAnswer; });
  RunUntil([answer] { return answer->has_value(); }, 2 * kCallerTimeout);
  return answer->value_or(Answer{});
}

bool
Deployment::Submit(const std::string& aTarget, const std::string& aBody)
{
  const auto until = Clock::now() + kSubmitTime;
  for (std::size_t i = 0; Clock::now() < until; ++i) {
    const unsigned status = Ask(i % hosts_.size(), "POST", aTarget, aBody).status_;
    record_.Write("POST ", aTarget, " -> ", status);
    if (status == quetzal::http::status::kOk) {
      return true;
    }
    Run(Milliseconds(300));
  }
  return false;
}

bool
Deployment::RunUntil(const std::function<bool()>& aCondition, Milliseconds aTime)
{
  constexpr Milliseconds kCheckInterval{ 2 };
  const auto until = Clock::now() + aTime;
  QEventLoop loop;
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, &loop, [&] {
    if (aCondition() || Clock::now() >= until) {
      loop.quit();
    }
  });
  timer.start(kCheckInterval);
  loop.exec();
  return aCondition();
}

void
Deployment::Run(Milliseconds aTime)
{
  RunUntil([] { return false; }, aTime);
}

} // namespace review
