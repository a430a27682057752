#include "review/standin-2/Worker.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/Status.h"

#include <algorithm>

namespace review {
namespace {

using quetzal::adapter::Body;
using quetzal::adapter::BodyWriter;
using quetzal::adapter::standin::MakeResponse;
using quetzal::http::Response;
namespace status = quetzal::http::status;

constexpr Milliseconds kCheckInterval{ 5 };
constexpr Milliseconds kHeartbeat{ 1'500 };
constexpr Milliseconds kEntryLapse{ 4'500 };
constexpr std::int64_t kLongestLeaseMs = 6'000;
constexpr std::int64_t kCheckpointMs = 2'000;
constexpr std::int64_t kRestoreMs = 600;
constexpr Milliseconds kGangTimeout{ 3'000 };
constexpr std::int64_t kMemoryMb = 65'536;

} // namespace

Worker::Worker(const WorkerPlace& aPlace, Fleet& aFleet)
  : place_(aPlace)
  , fleet_(aFleet)
{
  QObject::connect(&checkTimer_, &QTimer::timeout, [this] { Check(); });
  QObject::connect(&entryTimer_, &QTimer::timeout, [this] { WriteEntry(); });
  Boot();
}

void
Worker::Boot(bool aKeepsId)
{
  if (!aKeepsId) {
    id_ = place_.machine_ + "-" + std::to_string(++lives_);
  }
  server_ = std::make_unique<quetzal::http::Server>(quetzal::http::ServerLimits{});
  QObject::connect(
    server_.get(), &quetzal::http::Server::ConnectionArrived, [this](auto* aConnection) {
      QObject::connect(aConnection,
                       &quetzal::http::ServerConnection::RequestArrived,
                       aConnection,
                       [this, aConnection](const auto& aRequest) { Serve(aConnection, aRequest); });
    });
  server_->Listen(place_.endpoint_);
  fence_ = 0;
  leaseEndMs_ = 0;
  nextEnd_ = 1;
  sequence_ = 0;
  bornAt_ = Clock::now();
  bornMs_ = quetzal::clock::UnixMs();
  fleet_.record_.Write("minion ", id_, " begins on machine ", place_.machine_);
  WriteEntry();
  checkTimer_.start(kCheckInterval);
  entryTimer_.start(kHeartbeat);
}

void
Worker::Crash()
{
  fleet_.record_.Write("minion ", id_, " crashes with ", runs_.size(), " runs");
  checkTimer_.stop();
  entryTimer_.stop();
  for (const auto& [task, run] : runs_) {
    BreakGang(task, run);
    --fleet_.live_[task];
  }
  runs_.clear();
  ends_.clear();
  ended_.clear();
  polls_.clear();
  for (quetzal::http::ServerConnection* connection : server_->Connections()) {
    connection->Abort();
  }
  server_.release()->deleteLater();
  QTimer::singleShot(kEntryLapse, [this, id = id_] {
    if (!IsUp() || id_ != id) {
      fleet_.store_.Remove("servers/" + id);
    }
  });
}

bool
Worker::RunsJob(const std::string& aJob) const
{
  const auto run = runs_.lower_bound(aJob + ".");
  return run != runs_.end() && run->first.starts_with(aJob + ".");
}

std::int64_t
Worker::UsedCpu() const
{
  std::int64_t used = 0;
  for (const auto& [task, run] : runs_) {
    used += fleet_.jobs_.StepOf(task)->cpu_;
  }
  return used;
}

std::int64_t
Worker::ClockMs() const
{
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - bornAt_).count();
}

void
Worker::WriteEntry()
{
  BodyWriter writer;
  writer.Map(12).Put("service", place_.service_);
  writer.Put("address", quetzal::settings::ToString(place_.endpoint_)).Put("zone", place_.zone_);
  writer.Put("version", std::string("v1")).Put("slots", std::int64_t{ 8 });
  writer.Put("state", std::string("ready")).Put("cold-remaining-ms", std::int64_t{ 0 });
  writer.Put("machine", place_.machine_).Put("born", bornMs_);
  writer.Key("capacity").Map(3).Put("cpu", kWorkerCpu).Put("mem-mb", kMemoryMb);
  writer.Put("gpu", std::int64_t{ 0 });
  writer.Key("labels").List(2).Put(std::string("a")).Put(place_.rack_);
  writer.Put("seq", ++sequence_);
  fleet_.store_.Put("servers/" + id_, writer.Bytes());
}

// --- Calls ---------------------------------------------------------------------------------------

void
Worker::Serve(quetzal::http::ServerConnection* aConnection, const quetzal::http::Request& aRequest)
{
  const auto body = Body::Decode(aRequest.body_);
  if (!body) {
    aConnection->Answer(MakeResponse(status::kBadRequest));
    return;
  }
  const std::string* target =
    quetzal::http::FindField(aRequest.fields_, "X-Quetzalwheel-Target-Instance");
  if (target != nullptr && *target != id_) {
    aConnection->Answer(MakeResponse(status::kMisdirectedRequest));
    return;
  }
  const Value root = body->Root();
  if (Delays(aRequest, *body)) {
    return;
  }
  if (isShedding_ && aRequest.target_ == "/api/run-start") {
    fleet_.record_.Write(id_, " rejects the start of ", root["task"].Text(), " with 503");
    aConnection->Answer(MakeResponse(status::kServiceUnavailable));
  } else if (IsFenced(root)) {
    aConnection->Answer(MakeRefusal("fence"));
  } else if (aRequest.target_ == "/api/run-start") {
    aConnection->Answer(StartRun(root));
  } else if (aRequest.target_ == "/api/run-stop") {
    aConnection->Answer(StopRun(root));
  } else if (aRequest.target_ == "/api/hold") {
    const std::int64_t seen = root["last-seen"].Integer();
    std::erase_if(ends_, [seen](const End& aEnd) { return aEnd.number_ <= seen; });
    ExtendLease(root["deadline-ms"].Integer());
    polls_.push_back({ aConnection, Clock::now() + Milliseconds(root["wait-ms"].Integer()) });
  } else {
    aConnection->Answer(
      MakeResponse(status::kOk, BodyWriter().Map(1).Put("clock-ms", ClockMs()).Bytes()));
  }
}

void
Worker::DelayStartOf(const std::string& aJob, Milliseconds aDelay)
{
  delayedJob_ = aJob;
  delay_ = aDelay;
}

bool
Worker::Delays(const quetzal::http::Request& aRequest, const Body& aBody)
{
  const std::string task = aBody.Root()["task"].Text();
  const bool isDelayed = aRequest.target_ == "/api/run-start" && !delayedJob_.empty() &&
                         task.starts_with(delayedJob_ + ".");
  if (!isDelayed) {
    return false;
  }
  delayedJob_.clear();
  hasDelayed_ = true;
  fleet_.record_.Write("start of ", task, " on ", id_, " is not answered");
  QTimer::singleShot(delay_, [this, aBody, task, id = id_] {
    if (IsUp() && id_ == id && !IsFenced(aBody.Root())) {
      const unsigned status = StartRun(aBody.Root()).status_;
      fleet_.record_.Write("start of ", task, " on ", id_, " is carried out late: ", status);
    }
  });
  return true;
}

bool
Worker::IsFenced(const Value& aBody)
{
  const std::int64_t fence = aBody["fence"].Integer();
  const bool isFenced = fence < fence_;
  fence_ = std::max(fence_, fence);
  return isFenced;
}

void
Worker::ExtendLease(std::int64_t aDeadlineMs)
{
  leaseEndMs_ = std::max(leaseEndMs_, std::min(aDeadlineMs, ClockMs() + kLongestLeaseMs));
}

Response
Worker::MakeRefusal(const char* aReason) const
{
  return MakeResponse(
    status::kConflict,
    BodyWriter().Map(2).Put("clock-ms", ClockMs()).Put("reason", std::string(aReason)).Bytes());
}

Response
Worker::StartRun(const Value& aBody)
{
  const std::string task = aBody["task"].Text();
  const std::int64_t number = aBody["run"].Integer();
  const std::int64_t deadline = aBody["deadline-ms"].Integer();
  const StepModel* step = fleet_.jobs_.StepOf(task);
  Response answer =
    MakeResponse(status::kOk, BodyWriter().Map(1).Put("clock-ms", ClockMs()).Bytes());
  if (step == nullptr) {
    fleet_.record_.Write("UNASKED start of ", task);
    return MakeResponse(status::kBadRequest);
  }
  if (deadline < ClockMs()) {
    return MakeRefusal("late");
  }
  if (runs_.contains(task) && runs_.at(task).number_ == number) {
    return answer;
  }
  ExtendLease(deadline);
  if (ended_.contains(task) && number <= ended_.at(task)) {
    return MakeRefusal("old");
  }
  std::int64_t memory = step->memory_;
  for (const auto& [other, run] : runs_) {
    memory += fleet_.jobs_.StepOf(other)->memory_;
  }
  if (UsedCpu() + step->cpu_ > kWorkerCpu || memory > kMemoryMb) {
    return MakeRefusal("room");
  }
  const std::string checkpoint = aBody["checkpoint"].Text();
  fleet_.starts_.push_back({ task, number, id_, checkpoint, Clock::now() });
  if (step->gang_) {
    fleet_.record_.Write(
      "start ", task, " run ", number, " on ", id_, " checkpoint \"", checkpoint, '"');
    Gang& gang = *GangOf(task, number);
    gang.present_.insert(task);
    if (static_cast<int>(gang.present_.size()) == step->count_) {
      gang.workingSince_ = Clock::now();
    }
  }
  runs_[task] = { number, checkpoint, Clock::now() };
  if (++fleet_.live_[task] > 1) {
    fleet_.doubles_.push_back(task);
    fleet_.record_.Write("a second run of ", task, " begins on ", id_, " as run ", number);
  }
  return answer;
}

Response
Worker::StopRun(const Value& aBody)
{
  const std::string task = aBody["task"].Text();
  const std::int64_t number = aBody["run"].Integer();
  ended_[task] = std::max(ended_[task], number);
  if (runs_.contains(task) && runs_.at(task).number_ == number) {
    BreakGang(task, runs_.at(task));
    EndRun(task, "stopped");
  }
  return MakeResponse(status::kOk, BodyWriter().Map(1).Put("clock-ms", ClockMs()).Bytes());
}

std::string
Worker::StatusBytes() const
{
  constexpr std::size_t kMostEnds = 500;
  BodyWriter writer;
  writer.Map(4).Put("clock-ms", ClockMs()).Put("born", bornMs_);
  writer.Key("running").List(runs_.size());
  for (const auto& [task, run] : runs_) {
    const StepModel* step = fleet_.jobs_.StepOf(task);
    const std::int64_t work = std::max(step->workMs_, std::int64_t{ 1 });
    writer.List(5).Put(task).Put(run.number_).Put(Saved(task, run));
    writer.Put(std::min<std::int64_t>(99, 100 * WorkDone(task, run) / work)).Put(step->cpu_);
  }
  const std::size_t listed = std::min(ends_.size(), kMostEnds);
  writer.Key("ended").List(listed);
  for (std::size_t i = 0; i < listed; ++i) {
    const End& end = ends_[i];
    writer.List(5).Put(end.number_).Put(end.task_).Put(end.run_).Put(end.how_).Put(end.saved_);
  }
  return writer.Bytes();
}

// --- Runs ----------------------------------------------------------------------------------------

Gang*
Worker::GangOf(const std::string& aTask, std::int64_t aRun)
{
  const StepModel* step = fleet_.jobs_.StepOf(aTask);
  return step != nullptr && step->gang_ ? &fleet_.gangs_[{ StepNameOf(aTask), aRun }] : nullptr;
}

void
Worker::BreakGang(const std::string& aTask, const Run& aRun)
{
  if (Gang* gang = GangOf(aTask, aRun.number_)) {
    gang->broken_ = true;
  }
}

std::int64_t
Worker::WorkDone(const std::string& aTask, const Run& aRun) const
{
  const StepModel* step = fleet_.jobs_.StepOf(aTask);
  Clock::time_point since = aRun.startedAt_;
  if (step->gang_) {
    const Gang& gang = fleet_.gangs_.at({ StepNameOf(aTask), aRun.number_ });
    if (!gang.workingSince_) {
      return WorkOf(aRun.checkpoint_);
    }
    since = *gang.workingSince_;
  }
  const std::int64_t passed =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - since).count();
  const std::int64_t restore = aRun.checkpoint_.empty() ? 0 : kRestoreMs;
  return WorkOf(aRun.checkpoint_) + std::max<std::int64_t>(passed - restore, 0);
}

std::string
Worker::Saved(const std::string& aTask, const Run& aRun) const
{
  const StepModel* step = fleet_.jobs_.StepOf(aTask);
  const std::int64_t steps = WorkDone(aTask, aRun) / kCheckpointMs;
  if (!step->checkpointing_ || steps == 0) {
    return aRun.checkpoint_;
  }
  return CheckpointFor(std::max(steps * kCheckpointMs, WorkOf(aRun.checkpoint_)));
}

void
Worker::EndRun(const std::string& aTask, const std::string& aHow)
{
  const Run run = runs_.at(aTask);
  const std::string saved = aHow == "done" ? std::string() : Saved(aTask, run);
  const StepModel* step = fleet_.jobs_.StepOf(aTask);
  if (step->gang_) {
    fleet_.record_.Write(
      "end ", aTask, " run ", run.number_, " on ", id_, ' ', aHow, " saved \"", saved, '"');
  }
  runs_.erase(aTask);
  --fleet_.live_[aTask];
  ended_[aTask] = std::max(ended_[aTask], run.number_);
  ends_.push_back({ nextEnd_++, aTask, run.number_, aHow, saved });
}

void
Worker::CheckRun(const std::string& aTask,
                 const Run& aRun,
                 std::map<std::string, std::string>& aEnds)
{
  const StepModel* step = fleet_.jobs_.StepOf(aTask);
  const Gang* gang = GangOf(aTask, aRun.number_);
  if (ClockMs() > leaseEndMs_) {
    BreakGang(aTask, aRun);
    aEnds[aTask] = "lapsed";
  } else if (gang != nullptr && gang->broken_) {
    aEnds[aTask] = "broken";
  } else if (gang != nullptr && !gang->workingSince_) {
    if (Clock::now() - aRun.startedAt_ > kGangTimeout) {
      aEnds[aTask] = "alone";
    }
  } else if (WorkDone(aTask, aRun) >= step->workMs_) {
    aEnds[aTask] = "done";
  }
}

void
Worker::Check()
{
  std::map<std::string, std::string> ends;
  for (const auto& [task, run] : runs_) {
    CheckRun(task, run, ends);
  }
  for (const auto& [task, how] : ends) {
    EndRun(task, how);
  }
  std::erase_if(polls_, [this](const WaitingPoll& aPoll) {
    const bool isDue = !ends_.empty() || Clock::now() >= aPoll.until_;
    if (isDue && aPoll.connection_) {
      aPoll.connection_->Answer(MakeResponse(status::kOk, StatusBytes()));
    }
    return isDue || !aPoll.connection_;
  });
}

} // namespace review
