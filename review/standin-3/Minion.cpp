#include "review/standin-3/Minion.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/Status.h"

#include <algorithm>
#include <numeric>

namespace review {
namespace {

using quetzal::adapter::Body;
using quetzal::adapter::BodyWriter;
using quetzal::adapter::Value;
using quetzal::clock::Milliseconds;
using quetzal::clock::Now;
using quetzal::http::Response;
namespace status = quetzal::http::status;

constexpr Milliseconds kTimerInterval{ 5 };
constexpr std::int64_t kHoldMaxMs = 6'000;
constexpr std::int64_t kMemoryMb = 65'536;
constexpr std::size_t kMostEnds = 500;
constexpr std::int64_t kPercentAtWork = 100;
/** A subtask without a duration lasts longer than any case. */
constexpr std::int64_t kLastsMs = 3'600'000;

Response
MakeResponse(unsigned aStatus, const std::string& aBody = {})
{
  Response response;
  response.status_ = aStatus;
  response.body_ = aBody;
  return response;
}

/** Returns the number after a name in a spec such as "cpu=1800 ms=640". */
std::int64_t
NumberIn(const std::string& aSpec, const std::string& aName, std::int64_t aDefault)
{
  const auto at = aSpec.find(aName + "=");
  return at == std::string::npos ? aDefault : std::stoll(aSpec.substr(at + aName.size() + 1));
}

} // namespace

Minion::Minion(const MinionOptions& aOptions, Record& aRecord)
  : options_(aOptions)
  , record_(aRecord)
  , bornMs_(quetzal::clock::UnixMs())
  , bornAt_(Now())
{
  connect(&timer_, &QTimer::timeout, this, &Minion::OnTimer);
  timer_.start(kTimerInterval);
  Listen();
}

void
Minion::Listen()
{
  server_ = std::make_unique<quetzal::http::Server>(quetzal::http::ServerLimits{});
  connect(
    server_.get(), &quetzal::http::Server::ConnectionArrived, this, [this](auto* aConnection) {
      connect(aConnection,
              &quetzal::http::ServerConnection::RequestArrived,
              this,
              [this, aConnection](const auto& aRequest) { Serve(aConnection, aRequest); });
    });
  server_->Listen(options_.endpoint_);
}

void
Minion::DelayStartOf(const std::string& aTask, Milliseconds aDelay)
{
  delayedTask_ = aTask;
  startDelay_ = aDelay;
}

bool
Minion::TakeDelayed(const quetzal::http::Request& aRequest, const Body& aBody)
{
  if (aRequest.target_ != "/api/run-start" || delayedTask_.empty() ||
      aBody.Root()["task"].Text() != delayedTask_) {
    return false;
  }
  record_.Add(options_.id_ + " leaves the start of " + delayedTask_ + " unanswered for " +
              std::to_string(startDelay_.count()) + " ms");
  delayedTask_.clear();
  hasDelayedStart_ = true;
  QTimer::singleShot(startDelay_, Qt::PreciseTimer, this, [this, aBody] {
    if (!IsUp()) {
      return;
    }
    const Response response = Start(aBody.Root());
    record_.Add(options_.id_ +
                " has carried out the late order: " + std::to_string(response.status_));
  });
  return true;
}

int
Minion::StartsOf(const std::string& aTask) const
{
  const auto starts = starts_.find(aTask);
  return starts == starts_.end() ? 0 : starts->second;
}

void
Minion::Crash()
{
  record_.Add(options_.id_ + " crashes");
  server_.reset();
  running_.clear();
  ended_.clear();
  highestEnded_.clear();
  waiting_.clear();
}

void
Minion::StartAgain(const std::string& aKind)
{
  options_.kind_ = aKind;
  fence_ = 0;
  leaseEndMs_ = 0;
  nextEnd_ = 1;
  bornMs_ = quetzal::clock::UnixMs();
  bornAt_ = Now();
  Listen();
  record_.Add(options_.id_ + " starts again, of kind " + aKind);
}

std::string
Minion::Registration()
{
  BodyWriter writer;
  writer.Map(12).Put("service", options_.service_);
  writer.Put("address", quetzal::settings::ToString(options_.endpoint_));
  writer.Put("zone", options_.zone_).Put("version", std::string("v1"));
  writer.Put("slots", std::int64_t{ 8 }).Put("state", std::string("ready"));
  writer.Put("cold-remaining-ms", std::int64_t{ 0 }).Put("machine", "m-" + options_.id_);
  writer.Put("born", bornMs_).Put("seq", ++beats_);
  writer.Key("capacity").Map(3).Put("cpu", options_.cpu_).Put("mem-mb", kMemoryMb);
  writer.Put("gpu", std::int64_t{ 0 });
  writer.Key("labels").List(2).Put(options_.kind_).Put(options_.rack_);
  return writer.Bytes();
}

void
Minion::SetMode(MinionMode aMode)
{
  mode_ = aMode;
  if (mode_ == MinionMode::kLost) {
    running_.clear();
    ended_.clear();
    waiting_.clear();
  }
}

std::int64_t
Minion::UsedCpu() const
{
  return std::accumulate(running_.begin(),
                         running_.end(),
                         std::int64_t{ 0 },
                         [](auto aSum, const auto& aRun) { return aSum + aRun.second.cpu_; });
}

bool
Minion::Runs(const std::string& aTask) const
{
  return std::any_of(running_.begin(), running_.end(), [&aTask](const auto& aRun) {
    return aRun.first.first == aTask;
  });
}

std::int64_t
Minion::ClockMs() const
{
  return 1 + std::chrono::duration_cast<Milliseconds>(Now() - bornAt_).count();
}

Response
Minion::Accept() const
{
  return MakeResponse(status::kOk, BodyWriter().Map(1).Put("clock-ms", ClockMs()).Bytes());
}

Response
Minion::Reject(const std::string& aReason) const
{
  return MakeResponse(
    status::kConflict,
    BodyWriter().Map(2).Put("clock-ms", ClockMs()).Put("reason", aReason).Bytes());
}

Response
Minion::Lists() const
{
  BodyWriter writer;
  writer.Map(4).Put("clock-ms", ClockMs()).Put("born", bornMs_);
  writer.Key("running").List(running_.size());
  for (const auto& [key, run] : running_) {
    writer.List(5).Put(key.first).Put(key.second).Put(std::string());
    writer.Put(kPercentAtWork).Put(run.cpu_);
  }
  const std::size_t ends = std::min(ended_.size(), kMostEnds);
  writer.Key("ended").List(ends);
  for (std::size_t i = 0; i < ends; ++i) {
    const End& end = ended_[i];
    writer.List(5).Put(end.number_).Put(end.key_.first).Put(end.key_.second);
    writer.Put(end.how_).Put(std::string());
  }
  return MakeResponse(status::kOk, writer.Bytes());
}

void
Minion::Serve(quetzal::http::ServerConnection* aConnection, const quetzal::http::Request& aRequest)
{
  if (mode_ == MinionMode::kLost) {
    return;
  }
  const auto body = Body::Decode(aRequest.body_);
  const std::string* target =
    quetzal::http::FindField(aRequest.fields_, "X-Quetzalwheel-Target-Instance");
  if (body && TakeDelayed(aRequest, *body)) {
    return;
  }
  Response response = MakeResponse(status::kNotFound);
  bool waits = false;
  if (!body) {
    response = MakeResponse(status::kBadRequest);
  } else if (target != nullptr && *target != options_.id_) {
    response = MakeResponse(status::kMisdirectedRequest);
  } else if (aRequest.target_ == "/api/run-start") {
    response = Start(body->Root());
  } else if (aRequest.target_ == "/api/run-stop") {
    response = Stop(body->Root());
  } else if (aRequest.target_ == "/api/pace") {
    response = Accept();
  } else if (aRequest.target_ == "/api/hold") {
    response = TakeHold(body->Root()) ? Lists() : Reject("fence");
    waits = response.status_ == status::kOk && ended_.empty();
  }
  if (mode_ == MinionMode::kCutOneWay) {
    return; // The connection stays open, and the answer is lost.
  }
  const Milliseconds wait(waits ? body->Root()["wait-ms"].Integer() : 0);
  if (wait.count() > 0) {
    waiting_.push_back({ aConnection, Now() + wait });
    return;
  }
  aConnection->Answer(response);
}

bool
Minion::IsFenced(const Value& aCall)
{
  const std::int64_t fence = aCall["fence"].Integer();
  const bool isLower = fence < fence_;
  fence_ = std::max(fence_, fence);
  return isLower;
}

Response
Minion::Start(const Value& aOrder)
{
  const Key key{ aOrder["task"].Text(), aOrder["run"].Integer() };
  const std::string name = key.first + " run " + std::to_string(key.second);
  if (IsFenced(aOrder)) {
    return Reject("fence");
  }
  const std::int64_t deadline = aOrder["deadline-ms"].Integer();
  if (deadline < ClockMs()) {
    return Reject("late");
  }
  ExtendLease(deadline);
  if (running_.contains(key)) {
    return Accept();
  }
  if (const auto ended = highestEnded_.find(key.first);
      ended != highestEnded_.end() && key.second <= ended->second) {
    return Reject("old");
  }
  const std::string spec = aOrder["spec"].Text();
  const Run run{ NumberIn(spec, "cpu", 0), Now() + Milliseconds(NumberIn(spec, "ms", kLastsMs)) };
  if (UsedCpu() + run.cpu_ > options_.cpu_) {
    record_.Add(options_.id_ + " has no room for " + name);
    return Reject("room");
  }
  running_[key] = run;
  ++starts_[key.first];
  record_.Add(options_.id_ + " (kind " + options_.kind_ + ") begins " + name);
  return Accept();
}

Response
Minion::Stop(const Value& aOrder)
{
  if (IsFenced(aOrder)) {
    return Reject("fence");
  }
  const Key key{ aOrder["task"].Text(), aOrder["run"].Integer() };
  std::int64_t& highest = highestEnded_[key.first];
  highest = std::max(highest, key.second);
  EndRun(key, "stopped");
  return Accept();
}

bool
Minion::TakeHold(const Value& aCall)
{
  if (IsFenced(aCall)) {
    return false;
  }
  const std::int64_t seen = aCall["last-seen"].Integer();
  std::erase_if(ended_, [this, seen](const End& aEnd) {
    if (aEnd.number_ <= seen && aEnd.how_ == "done") {
      doneNoted_.insert(aEnd.key_.first);
    }
    return aEnd.number_ <= seen;
  });
  ExtendLease(aCall["deadline-ms"].Integer());
  return true;
}

void
Minion::ExtendLease(std::int64_t aDeadlineMs)
{
  leaseEndMs_ = std::max(leaseEndMs_, std::min(aDeadlineMs, ClockMs() + kHoldMaxMs));
}

void
Minion::EndRun(const Key& aKey, const std::string& aHow)
{
  if (running_.erase(aKey) == 0) {
    return;
  }
  std::int64_t& highest = highestEnded_[aKey.first];
  highest = std::max(highest, aKey.second);
  ended_.push_back({ nextEnd_++, aKey, aHow });
  record_.Add(options_.id_ + " ends " + aKey.first + " run " + std::to_string(aKey.second) + " " +
              aHow);
}

void
Minion::OnTimer()
{
  const bool hasLapsed = ClockMs() > leaseEndMs_;
  std::vector<Key> over;
  for (const auto& [key, run] : running_) {
    if (hasLapsed || run.endsAt_ <= Now()) {
      over.push_back(key);
    }
  }
  for (const Key& key : over) {
    EndRun(key, hasLapsed ? "lapsed" : "done");
  }
  if (mode_ == MinionMode::kCutOneWay) {
    waiting_.clear(); // Their answers are lost.
    return;
  }
  std::erase_if(waiting_, [this](const WaitingLook& aLook) {
    if (!aLook.connection_) {
      return true;
    }
    if (ended_.empty() && Now() < aLook.endsAt_) {
      return false;
    }
    aLook.connection_->Answer(Lists());
    return true;
  });
}

} // namespace review
