#include "review/standin/Fleet.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr std::int64_t kCpu = 32'000;
constexpr std::int64_t kMemoryMb = 65'536;
constexpr std::int64_t kMaxLeaseMs = 6'000;
constexpr int kMinionPort = 9'000;
constexpr Milliseconds kTickInterval{ 5 };
constexpr Milliseconds kHeartbeat{ 1'500 };
constexpr Milliseconds kEntryLife{ 4'500 };
constexpr Milliseconds kMoveTime{ 1'500 };
constexpr Milliseconds kUpkeepTime{ 2'000 };
constexpr Milliseconds kGangTimeout{ 3'000 };
/** Less than the `stop-timeout-ms` of a small deployment. */
constexpr Milliseconds kStopTime{ 150 };
constexpr std::int64_t kTicketValidityMs = 3'000;

std::int64_t
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

std::string
JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

/** Returns the number of the step in a subtask's name: ID.K.STEP.INDEX. */
std::size_t
StepOf(const std::string& aTask)
{
  const std::size_t occurrence = aTask.find('.') + 1;
  const std::size_t step = aTask.find('.', occurrence) + 1;
  return static_cast<std::size_t>(std::strtoul(aTask.c_str() + step, nullptr, 10));
}

/** Returns the name of a subtask's step: ID.K.STEP. */
std::string
StepNameOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

std::string
TicketFor(const std::string& aStep, const std::string& aMinion)
{
  return "ticket-" + aStep + "-" + aMinion;
}

} // namespace

Behaviour
BehaviourOf(const std::string& aSpec)
{
  Behaviour behaviour;
  behaviour.fails_ = aSpec.starts_with("fail ");
  const std::size_t space = aSpec.find(' ');
  if (space != std::string::npos) {
    behaviour.time_ = Milliseconds(std::atoi(aSpec.c_str() + space));
  }
  return behaviour;
}

// --- Minion --------------------------------------------------------------------------------------

Minion::Minion(Fleet& aFleet,
               std::string aId,
               std::string aMachine,
               std::string aPool,
               Endpoint aEndpoint)
  : fleet_(aFleet)
  , id_(std::move(aId))
  , machine_(std::move(aMachine))
  , pool_(std::move(aPool))
  , endpoint_(std::move(aEndpoint))
  , born_(UnixMs())
  , startedAt_(Clock::now())
  , server_(std::make_unique<Server>(endpoint_,
                                     [this](const Request& aRequest) { return Serve(aRequest); }))
{
}

std::int64_t
Minion::ClockMs() const
{
  return 1'000 + std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_).count();
}

Value
Minion::Registration()
{
  const auto machine = fleet_.machines_.find(machine_);
  return Map{ { "service", pool_ },
              { "address", ToString(endpoint_) },
              { "zone", "z" },
              { "version", "v1" },
              { "slots", 8 },
              { "state", "ready" },
              { "cold-remaining-ms", 0 },
              { "machine", machine_ },
              { "born", born_ },
              { "capacity", Map{ { "cpu", kCpu }, { "mem-mb", kMemoryMb }, { "gpu", 0 } } },
              { "labels", List{ "a", machine->second.rack_ } },
              { "clock-ms", ClockMs() },
              { "seq", ++seq_ } };
}

void
Minion::Kill()
{
  dead_ = true;
  for (const auto& [task, run] : running_) {
    --fleet_.tasks_[task].running_;
    fleet_.record_.Add("run-lost task=", task, " run=", run.number_, " minion=", id_);
  }
  running_.clear();
  server_->Close();
}

std::int64_t
Minion::UsedCpu() const
{
  std::int64_t used = 0;
  for (const auto& [task, run] : running_) {
    used += run.cpu_;
  }
  return used;
}

Response
Minion::Serve(const Request& aRequest)
{
  const Value body = Value::Decode(aRequest.body_);
  std::unique_lock lock(fleet_.mutex_);
  if (dead_) {
    return {};
  }
  Response response = CarryOut(aRequest, body, lock);
  if (dead_ || Clock::now() < cutUntil_) {
    return {};
  }
  const bool isHold = aRequest.target_ == "/api/hold" && response.status_ == 200;
  if (cutAtTakeover_ && isHold && fence_ > fenceBeforeCut_) {
    cutUntil_ = Clock::now() + *cutAtTakeover_;
    cutAtTakeover_.reset();
    fleet_.record_.Add(
      "answers-cut minion=", id_, " lease ends in ", leaseEndMs_ - ClockMs(), " ms");
  }
  return response;
}

Response
Minion::CarryOut(const Request& aRequest, const Value& aBody, std::unique_lock<std::mutex>& aLock)
{
  const std::string target = FieldOf(aRequest, "X-Quetzalwheel-Target-Instance");
  if (!target.empty() && target != id_) {
    return { 421, {} };
  }
  if (aBody["fence"].Integer() < fence_) {
    return Refuse("fence");
  }
  fence_ = aBody["fence"].Integer();
  if (aRequest.target_ == "/api/run-start") {
    return Start(aBody);
  }
  if (aRequest.target_ == "/api/run-stop") {
    return Stop(aBody);
  }
  if (aRequest.target_ != "/api/hold") {
    return Accept();
  }
  const std::int64_t seen = aBody["last-seen"].Integer();
  std::erase_if(ended_, [&](const End& aEnd) {
    const bool isSeen = aEnd.number_ <= seen;
    fleet_.tasks_[aEnd.task_].failedAndSeen_ += isSeen && aEnd.how_ == "failed" ? 1 : 0;
    return isSeen;
  });
  leaseEndMs_ =
    std::max(leaseEndMs_, std::min(aBody["deadline-ms"].Integer(), ClockMs() + kMaxLeaseMs));
  const Moment until = Clock::now() + Milliseconds(aBody["wait-ms"].Integer());
  fleet_.changed_.wait_until(aLock, until, [this] { return dead_ || !ended_.empty(); });
  return Hold();
}

Response
Minion::Refuse(const std::string& aReason) const
{
  return {
    409, Value(Map{ { "clock-ms", ClockMs() }, { "born", born_ }, { "reason", aReason } }).Encode()
  };
}

Response
Minion::Accept() const
{
  return { 200, Value(Map{ { "clock-ms", ClockMs() }, { "born", born_ } }).Encode() };
}

bool
Minion::HasRoom(const Run& aRun) const
{
  std::int64_t memory = aRun.memoryMb_;
  for (const auto& [task, run] : running_) {
    memory += run.memoryMb_;
  }
  return UsedCpu() + aRun.cpu_ <= kCpu && memory <= kMemoryMb;
}

bool
Minion::HasTicket(const Value& aBody) const
{
  const std::string task = aBody["task"].Text();
  return !fleet_.jobs_[JobOf(task)].needsTicket_ ||
         aBody["ticket"].Text() == TicketFor(StepNameOf(task), id_);
}

Response
Minion::Start(const Value& aBody)
{
  const std::string task = aBody["task"].Text();
  const std::int64_t number = aBody["run"].Integer();
  if (aBody["deadline-ms"].Integer() < ClockMs()) {
    return Refuse("late");
  }
  const auto current = running_.find(task);
  if (current != running_.end() && current->second.number_ == number) {
    return Accept();
  }
  leaseEndMs_ =
    std::max(leaseEndMs_, std::min(aBody["deadline-ms"].Integer(), ClockMs() + kMaxLeaseMs));
  if (current != running_.end() || number <= superseded_[task]) {
    return Refuse("old");
  }
  if (!HasTicket(aBody)) {
    fleet_.record_.Add("start-rejected task=", task, " run=", number, " reason=ticket");
    return Refuse("ticket");
  }
  const Behaviour behaviour = BehaviourOf(aBody["spec"].Text());
  const std::vector<Step>& steps = fleet_.jobs_[JobOf(task)].steps_;
  const Step step = StepOf(task) < steps.size() ? steps[StepOf(task)] : Step{};
  Run run;
  run.number_ = number;
  run.work_ = behaviour.time_;
  run.fails_ = behaviour.fails_;
  run.cpu_ = step.cpu_;
  run.memoryMb_ = step.memoryMb_;
  const bool fits = HasRoom(run);
  if (!fits && fleet_.isGuarded_) {
    return Refuse("room");
  }
  Begin(task, run);
  if (!fits) {
    ++fleet_.startsOverCapacity_;
    fleet_.record_.Add(
      "OVER CAPACITY minion=", id_, " cpu in use=", UsedCpu(), " of=", kCpu, " by task=", task);
  }
  return Accept();
}

void
Minion::Begin(const std::string& aTask, Run aRun)
{
  const Moment now = Clock::now();
  const JobFacts& job = fleet_.jobs_[JobOf(aTask)];
  const bool isGang = StepOf(aTask) < job.steps_.size() && job.steps_[StepOf(aTask)].gang_;
  aRun.endsAt_ = now + aRun.work_;
  aRun.waitsUntil_ = isGang ? now + kGangTimeout : Moment{};
  running_[aTask] = aRun;
  TaskHistory& history = fleet_.tasks_[aTask];
  ++history.starts_;
  if (history.running_ > 0) {
    ++history.startsBeside_;
    fleet_.record_.Add("a further run of task=", aTask, " beside one that is at work");
  }
  ++history.running_;
  history.startsBeyondFailures_ += history.failedAndSeen_ >= job.maxAttempts_ ? 1 : 0;
  fleet_.record_.Add("run-started task=", aTask, " run=", aRun.number_, " minion=", id_);
  if (isGang) {
    fleet_.AssembleGang(aTask, aRun.number_);
  }
}

Response
Minion::Stop(const Value& aBody)
{
  const std::string task = aBody["task"].Text();
  const std::int64_t number = aBody["run"].Integer();
  superseded_[task] = std::max(superseded_[task], number);
  const auto current = running_.find(task);
  if (current != running_.end() && current->second.number_ <= number) {
    current->second.stopping_ = true;
    current->second.endsAt_ = Clock::now() + kStopTime;
  }
  return Accept();
}

Response
Minion::Hold() const
{
  List running;
  for (const auto& [task, run] : running_) {
    running.emplace_back(List{ task, run.number_, "", 50, run.cpu_ });
  }
  List ended;
  for (const End& end : ended_) {
    ended.emplace_back(List{ end.number_, end.task_, end.run_, end.how_, "" });
  }
  return { 200,
           Value(Map{ { "clock-ms", ClockMs() },
                      { "born", born_ },
                      { "running", running },
                      { "ended", ended } })
             .Encode() };
}

void
Minion::EndRun(const std::string& aTask, const std::string& aHow)
{
  const auto run = running_.extract(aTask);
  superseded_[aTask] = std::max(superseded_[aTask], run.mapped().number_);
  ended_.push_back({ nextEnd_++, aTask, run.mapped().number_, aHow });
  TaskHistory& history = fleet_.tasks_[aTask];
  --history.running_;
  history.done_ = history.done_ || aHow == "done";
  fleet_.record_.Add(
    "run-ended task=", aTask, " run=", run.mapped().number_, " how=", aHow, " minion=", id_);
  if (aHow != "done" && aHow != "broken") {
    fleet_.BreakGang(aTask, run.mapped().number_);
  }
  fleet_.changed_.notify_all();
}

std::string
Minion::EndOf(const Run& aRun, Moment aNow) const
{
  if (ClockMs() > leaseEndMs_) {
    return "lapsed";
  }
  if (aRun.stopping_) {
    return aRun.endsAt_ <= aNow ? "stopped" : "";
  }
  if (aRun.waitsUntil_ != Moment{}) {
    return aRun.waitsUntil_ <= aNow ? "alone" : "";
  }
  if (aRun.endsAt_ > aNow) {
    return {};
  }
  return aRun.fails_ ? "failed" : "done";
}

void
Minion::Tick()
{
  const Moment now = Clock::now();
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, run] : running_) {
    if (const std::string how = EndOf(run, now); !how.empty()) {
      ends.emplace_back(task, how);
    }
  }
  for (const auto& [task, how] : ends) {
    if (running_.contains(task)) {
      EndRun(task, how);
    }
  }
}

// --- Fleet ---------------------------------------------------------------------------------------

Fleet::Fleet(const std::string& aNetwork,
             const Endpoint& aCloud,
             const Endpoint& aAdvice,
             Store& aStore,
             Record& aRecord)
  : network_(aNetwork)
  , store_(aStore)
  , record_(aRecord)
  , cloud_(
      std::make_unique<Server>(aCloud,
                               [this](const Request& aRequest) { return ServeCloud(aRequest); }))
  , advice_(std::make_unique<Server>(aAdvice,
                                     [this](const Request& aRequest) { return Advise(aRequest); }))
{
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(kTickInterval);
      Tick();
    }
  }).detach();
  std::thread([this] {
    for (;;) {
      Register();
      std::this_thread::sleep_for(kHeartbeat);
    }
  }).detach();
}

void
Fleet::AddMachine(const std::string& aName, const std::string& aPool, const std::string& aRack)
{
  const std::lock_guard lock(mutex_);
  Machine& machine = machines_[aName];
  machine.name_ = aName;
  machine.pool_ = aPool;
  machine.rack_ = aRack;
  machine.endpoint_ = { network_ + std::to_string(nextHost_++), kMinionPort };
  BeginLife(machine);
}

void
Fleet::AddJob(const std::string& aJob, const JobFacts& aFacts)
{
  const std::lock_guard lock(mutex_);
  jobs_[aJob] = aFacts;
}

int
Fleet::StartsOverCapacity()
{
  const std::lock_guard lock(mutex_);
  return startsOverCapacity_;
}

void
Fleet::SetAdviceTimes(Milliseconds aDecision, Milliseconds aEach)
{
  adviceDecision_ = aDecision;
  adviceEach_ = aEach;
}

Response
Fleet::Advise(const Request& aRequest)
{
  const Value body = Value::Decode(aRequest.body_);
  const std::string step = body["step"].Text();
  List good;
  for (const Value& minion : body["workers"].Items()) {
    good.emplace_back(List{ minion.Text(), TicketFor(step, minion.Text()) });
  }
  const std::lock_guard lock(adviceMutex_);
  std::this_thread::sleep_for(adviceDecision_ + adviceEach_ * good.size());
  record_.Add("advised step=", step, " minions=", good.size());
  return { 200, Value(Map{ { "good", good }, { "validity-ms", kTicketValidityMs } }).Encode() };
}

/** Lets the members of a gang work once all of one run are present. */
void
Fleet::AssembleGang(const std::string& aTask, std::int64_t aRun)
{
  const std::string step = StepNameOf(aTask);
  std::vector<Minion::Run*> present;
  for (auto& [name, machine] : machines_) {
    if (!machine.minion_) {
      continue;
    }
    for (auto& [task, run] : machine.minion_->running_) {
      if (StepNameOf(task) == step && run.number_ == aRun) {
        present.push_back(&run);
      }
    }
  }
  const auto count = static_cast<std::size_t>(jobs_[JobOf(aTask)].steps_[StepOf(aTask)].count_);
  if (present.size() < count) {
    return;
  }
  for (Minion::Run* run : present) {
    run->waitsUntil_ = {};
    run->endsAt_ = Clock::now() + run->work_;
  }
}

/** Ends the other members of a gang of which one has ended. */
void
Fleet::BreakGang(const std::string& aTask, std::int64_t aRun)
{
  const JobFacts& job = jobs_[JobOf(aTask)];
  if (StepOf(aTask) >= job.steps_.size() || !job.steps_[StepOf(aTask)].gang_) {
    return;
  }
  for (auto& [name, machine] : machines_) {
    if (!machine.minion_) {
      continue;
    }
    std::vector<std::string> members;
    for (const auto& [task, run] : machine.minion_->running_) {
      if (StepNameOf(task) == StepNameOf(aTask) && run.number_ == aRun) {
        members.push_back(task);
      }
    }
    for (const std::string& member : members) {
      machine.minion_->EndRun(member, "broken");
    }
  }
}

void
Fleet::BeginLife(Machine& aMachine)
{
  aMachine.state_ = MachineState::kUp;
  const std::string id = "i-" + std::to_string(1'000 + nextId_++);
  aMachine.minion_ =
    std::make_shared<Minion>(*this, id, aMachine.name_, aMachine.pool_, aMachine.endpoint_);
  record_.Add("minion-up id=", id, " machine=", aMachine.name_, " pool=", aMachine.pool_);
  store_.Put("servers/" + id, aMachine.minion_->Registration());
}

void
Fleet::TakeDown(Machine& aMachine, MachineState aState, Milliseconds aTime)
{
  if (aMachine.minion_) {
    aMachine.minion_->Kill();
    expiring_[aMachine.minion_->Id()] = Clock::now() + kEntryLife;
    past_.push_back(aMachine.minion_);
    aMachine.minion_.reset();
  }
  aMachine.state_ = aState;
  aMachine.backAt_ = Clock::now() + aTime;
  changed_.notify_all();
}

void
Fleet::Crash(const std::string& aMachine, Milliseconds aDown)
{
  const std::lock_guard lock(mutex_);
  record_.Add("machine-crashed ", aMachine);
  TakeDown(machines_.at(aMachine), MachineState::kDown, aDown);
}

void
Fleet::CutAnswersAfterTakeover(const std::string& aMachine, Milliseconds aTime)
{
  const std::lock_guard lock(mutex_);
  Minion& minion = *machines_.at(aMachine).minion_;
  minion.cutAtTakeover_ = aTime;
  minion.fenceBeforeCut_ = minion.fence_;
}

bool
Fleet::AreAnswersCut(const std::string& aMachine)
{
  const std::lock_guard lock(mutex_);
  const auto& minion = machines_.at(aMachine).minion_;
  return minion && Clock::now() < minion->cutUntil_;
}

std::string
Fleet::MachineOf(const std::string& aTask)
{
  const std::lock_guard lock(mutex_);
  for (const auto& [name, machine] : machines_) {
    if (machine.minion_ && machine.minion_->running_.contains(aTask)) {
      return name;
    }
  }
  return {};
}

void
Fleet::GoSilentAtNextUpkeep(Milliseconds aTime)
{
  const std::lock_guard lock(mutex_);
  silenceAtUpkeep_ = aTime;
}

std::string
Fleet::SilencedOrder()
{
  const std::lock_guard lock(mutex_);
  return silencedOrder_;
}

void
Fleet::Tick()
{
  const std::lock_guard lock(mutex_);
  const Moment now = Clock::now();
  for (auto& [name, machine] : machines_) {
    if (machine.minion_) {
      machine.minion_->Tick();
    } else if (machine.backAt_ <= now) {
      BeginLife(machine);
    }
  }
  std::erase_if(expiring_, [&](const auto& aEntry) {
    const bool isDue = aEntry.second <= now;
    if (isDue) {
      store_.Remove("servers/" + aEntry.first);
    }
    return isDue;
  });
}

void
Fleet::Register()
{
  const std::lock_guard lock(mutex_);
  for (auto& [name, machine] : machines_) {
    if (machine.minion_) {
      store_.Put("servers/" + machine.minion_->Id(), machine.minion_->Registration());
    }
  }
}

Response
Fleet::ServeCloud(const Request& aRequest)
{
  const std::lock_guard lock(mutex_);
  if (silenceAtUpkeep_ && aRequest.target_ == "/api/machine-upkeep") {
    silentUntil_ = Clock::now() + *silenceAtUpkeep_;
    silenceAtUpkeep_.reset();
    silencedOrder_ = Value::Decode(aRequest.body_)["machine"].Text();
    record_.Add("cloud-silent, first at the order of upkeep for ", silencedOrder_);
  }
  if (Clock::now() < silentUntil_) {
    return {};
  }
  return aRequest.method_ == "GET" ? ListMachines() : Order(aRequest);
}

Response
Fleet::ListMachines()
{
  static const std::map<MachineState, std::string> kNames{ { MachineState::kUp, "up" },
                                                           { MachineState::kMoving, "moving" },
                                                           { MachineState::kUpkeep, "upkeep" },
                                                           { MachineState::kDown, "down" } };
  List machines;
  for (const auto& [name, machine] : machines_) {
    machines.emplace_back(
      Map{ { "machine", name },
           { "pool", machine.pool_ },
           { "state", kNames.at(machine.state_) },
           { "zone", "z" },
           { "labels", List{ "a", machine.rack_ } },
           { "capacity", Map{ { "cpu", kCpu }, { "mem-mb", kMemoryMb }, { "gpu", 0 } } },
           { "id", machine.minion_ ? machine.minion_->Id() : std::string() } });
  }
  return { 200, Value(Map{ { "machines", machines }, { "next-token", Value() } }).Encode() };
}

Response
Fleet::Order(const Request& aRequest)
{
  const Value body = Value::Decode(aRequest.body_);
  const auto found = machines_.find(body["machine"].Text());
  if (found == machines_.end()) {
    return { 400, {} };
  }
  Machine& machine = found->second;
  const bool isUpkeep = aRequest.target_ == "/api/machine-upkeep";
  const std::int64_t wave = body["wave"].Integer();
  const bool isDone =
    isUpkeep ? upkeep_[wave].contains(machine.name_) : machine.pool_ == body["pool"].Text();
  if (isDone) {
    return { 200, Value(Map{}).Encode() };
  }
  if (machine.state_ != MachineState::kUp) {
    return { 409, Value(Map{ { "reason", "busy" } }).Encode() };
  }
  if (isUpkeep) {
    upkeep_[wave].insert(machine.name_);
    record_.Add("upkeep-begun machine=", machine.name_, " wave=", wave);
    TakeDown(machine, MachineState::kUpkeep, kUpkeepTime);
  } else {
    machine.pool_ = body["pool"].Text();
    record_.Add("move-begun machine=", machine.name_, " pool=", machine.pool_);
    TakeDown(machine, MachineState::kMoving, kMoveTime);
  }
  return { 200, Value(Map{}).Encode() };
}

std::map<std::string, TaskHistory>
Fleet::Tasks()
{
  const std::lock_guard lock(mutex_);
  return tasks_;
}

std::set<std::string>
Fleet::MachinesWithUpkeep(std::int64_t aWave)
{
  const std::lock_guard lock(mutex_);
  return upkeep_[aWave];
}

std::int64_t
Fleet::FreeCpu(const std::string& aPool, std::int64_t& aTotal)
{
  const std::lock_guard lock(mutex_);
  std::int64_t free = 0;
  aTotal = 0;
  for (const auto& [name, machine] : machines_) {
    if (machine.minion_ && machine.pool_ == aPool) {
      aTotal += kCpu;
      free += kCpu - machine.minion_->UsedCpu();
    }
  }
  return free;
}

} // namespace review
