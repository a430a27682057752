#pragma once

#include "review/standin/Record.h"
#include "review/standin/Store.h"

#include <memory>
#include <optional>
#include <set>

namespace review {

/** A step of a job, as a minion knows it. */
struct Step
{
  int count_ = 1;
  std::int64_t cpu_ = 1'000; ///< In thousandths of a core.
  std::int64_t memoryMb_ = 100;
  bool gang_ = false;
  bool speculative_ = false;
};

/** What a subtask does on a minion. The spec of its job says so: "sleep N" or "fail N", where N is
 * the time in milliseconds. */
struct Behaviour
{
  Milliseconds time_{ 100 };
  bool fails_ = false;
};

Behaviour
BehaviourOf(const std::string& aSpec);

/** Every run of one subtask, as the minions have seen them. */
struct TaskHistory
{
  int starts_ = 0;
  int running_ = 0;
  int failedAndSeen_ = 0;        ///< Ends `failed` that `last-seen` has reached.
  int startsBeside_ = 0;         ///< Starts while another run of it is at work.
  int startsBeyondFailures_ = 0; ///< Starts after as many such ends as there are attempts.
  bool done_ = false;
};

/** What minions need to know of a job. */
struct JobFacts
{
  std::vector<Step> steps_;
  int maxAttempts_ = 0;
  bool needsTicket_ = false;
};

class Fleet;

/** One life of a machine. */
class Minion
{
public:
  Minion(Fleet& aFleet,
         std::string aId,
         std::string aMachine,
         std::string aPool,
         Endpoint aEndpoint);

  const std::string& Id() const { return id_; }
  const std::string& Pool() const { return pool_; }

  /** The fleet's lock must be held for these. */
  Value Registration();
  void Tick();
  void Kill();
  std::int64_t UsedCpu() const;

private:
  friend class Fleet;

  struct Run
  {
    std::int64_t number_ = 0;
    Moment endsAt_;
    bool fails_ = false;
    std::int64_t cpu_ = 0;
    std::int64_t memoryMb_ = 0;
    bool stopping_ = false; ///< Ends as stopped at endsAt_.
    Moment waitsUntil_;     ///< For the other members of its gang; a member that works has none.
    Milliseconds work_{ 0 };
  };
  struct End
  {
    std::int64_t number_ = 0;
    std::string task_;
    std::int64_t run_ = 0;
    std::string how_;
  };

  Response Serve(const Request& aRequest);
  Response CarryOut(const Request& aRequest,
                    const Value& aBody,
                    std::unique_lock<std::mutex>& aLock);
  Response Start(const Value& aBody);
  Response Stop(const Value& aBody);
  Response Hold() const;
  Response Refuse(const std::string& aReason) const;
  Response Accept() const;
  bool HasRoom(const Run& aRun) const;
  bool HasTicket(const Value& aBody) const;
  void Begin(const std::string& aTask, Run aRun);
  std::string EndOf(const Run& aRun, Moment aNow) const;
  void EndRun(const std::string& aTask, const std::string& aHow);
  std::int64_t ClockMs() const;

  Fleet& fleet_;
  std::string id_;
  std::string machine_;
  std::string pool_;
  Endpoint endpoint_;
  std::int64_t born_;
  Moment startedAt_;
  bool dead_ = false;
  std::optional<Milliseconds> cutAtTakeover_;
  std::int64_t fenceBeforeCut_ = 0;
  Moment cutUntil_;
  std::int64_t fence_ = 0;
  std::int64_t leaseEndMs_ = 0;
  std::int64_t nextEnd_ = 1;
  std::int64_t seq_ = 0;
  std::map<std::string, Run> running_;
  std::vector<End> ended_;
  std::map<std::string, std::int64_t> superseded_;
  std::unique_ptr<Server> server_;
};

/** The platform's machines, their minions and the service that lists, moves and maintains them. */
class Fleet
{
public:
  Fleet(const std::string& aNetwork,
        const Endpoint& aCloud,
        const Endpoint& aAdvice,
        Store& aStore,
        Record& aRecord);

  void AddMachine(const std::string& aName, const std::string& aPool, const std::string& aRack);

  /** Makes known what the subtasks of a job need. */
  void AddJob(const std::string& aJob, const JobFacts& aFacts);

  /** Sets whether minions reject what does not fit. */
  void SetGuarded(bool aGuarded) { isGuarded_ = aGuarded; }

  /** Sets how long the advice service takes for a call, and for each minion that it names. */
  void SetAdviceTimes(Milliseconds aDecision, Milliseconds aEach);

  /** Returns how many starts brought a minion over its capacity. */
  int StartsOverCapacity();

  /** The machine's minion ends; another life begins after @p aDown. */
  void Crash(const std::string& aMachine, Milliseconds aDown);

  /** Cuts a machine's minion off one way, for @p aTime, once it has answered its next owner's first
   * look: calls reach it and are carried out, answers do not come back. */
  void CutAnswersAfterTakeover(const std::string& aMachine, Milliseconds aTime);

  /** Returns whether a cut that was asked for has begun. */
  bool AreAnswersCut(const std::string& aMachine);

  /** Returns the machine on which a subtask runs; empty if none. */
  std::string MachineOf(const std::string& aTask);

  /** Leaves calls about machines without an answer and without effect from the next order for
   * upkeep on, for @p aTime. */
  void GoSilentAtNextUpkeep(Milliseconds aTime);

  /** Returns the machine whose order for upkeep began the silence; empty if it has not begun. */
  std::string SilencedOrder();

  std::map<std::string, TaskHistory> Tasks();
  std::set<std::string> MachinesWithUpkeep(std::int64_t aWave);
  std::int64_t FreeCpu(const std::string& aPool, std::int64_t& aTotal);

private:
  friend class Minion;

  enum class MachineState : std::uint8_t
  {
    kUp,
    kMoving,
    kUpkeep,
    kDown,
  };
  struct Machine
  {
    std::string name_;
    std::string pool_;
    std::string rack_;
    Endpoint endpoint_;
    MachineState state_ = MachineState::kUp;
    Moment backAt_;
    std::shared_ptr<Minion> minion_;
  };

  Response ServeCloud(const Request& aRequest);
  Response Advise(const Request& aRequest);
  void AssembleGang(const std::string& aTask, std::int64_t aRun);
  void BreakGang(const std::string& aTask, std::int64_t aRun);
  Response ListMachines();
  Response Order(const Request& aRequest);
  void TakeDown(Machine& aMachine, MachineState aState, Milliseconds aTime);
  void BeginLife(Machine& aMachine);
  void Tick();
  void Register();

  std::string network_;
  Store& store_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Machine> machines_;
  std::vector<std::shared_ptr<Minion>> past_; ///< Kept, since calls may still be under way.
  std::map<std::string, Moment> expiring_;    ///< Entries of minions that have ended.
  std::map<std::string, JobFacts> jobs_;
  bool isGuarded_ = true;
  int startsOverCapacity_ = 0;
  std::map<std::string, TaskHistory> tasks_;
  std::map<std::int64_t, std::set<std::string>> upkeep_;
  std::optional<Milliseconds> silenceAtUpkeep_;
  Moment silentUntil_;
  std::string silencedOrder_;
  int nextId_ = 1;
  int nextHost_ = 100;
  std::unique_ptr<Server> cloud_;
  std::mutex adviceMutex_; ///< The service handles one call at a time.
  Milliseconds adviceDecision_{ 50 };
  Milliseconds adviceEach_{ 0 };
  std::unique_ptr<Server> advice_;
};

} // namespace review
