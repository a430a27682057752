#pragma once

#include "review/standin/Fleet.h"

namespace review {

/** A queue of the operator's configuration. */
struct Queue
{
  std::string name_;
  std::string prefix_;
  std::string service_;
  int priority_ = 0;
  int maxAttempts_ = 4;
  bool hasAdvice_ = false;
};

struct Job
{
  std::string id_;
  std::string spec_;
  std::vector<Step> steps_;
  std::int64_t estimateMs_ = 0; ///< 0: the true time.
};

/** The platform, its minions, the operator and a client of one small deployment. */
class World
{
public:
  World(const std::string& aNetwork,
        int aFronts,
        const std::string& aRecord,
        const std::string& aPids);

  Store& PlatformStore() { return store_; }
  Fleet& Machines() { return fleet_; }
  Record& Log() { return record_; }
  int Fronts() const { return fronts_; }

  /** Returns the front that owns a service, as it is named in the settings; -1 if none does. */
  int OwnerOf(const std::string& aService) const;

  /** Sends a signal to a front. */
  void Signal(int aFront, int aSignal);
  bool HasTrouble() const { return hasTrouble_; }

  /** Sets whether minions reject what does not fit, from the next configuration on. */
  void SetGuarded(bool aGuarded);

  /** Puts a configuration in force. */
  void PutConfiguration(const std::vector<Queue>& aQueues,
                        const std::vector<std::string>& aServices);

  /** Waits until every front is ready and every queue is served at every front. */
  bool WaitUntilServed(const std::vector<Queue>& aQueues);

  /** Sends one request to a front. @return status 0 if there is no answer in time. */
  Response Ask(int aFront,
               const std::string& aMethod,
               const std::string& aPath,
               const Value& aBody);

  /** Submits a job as a client does: with the same id again where the outcome is not known or the
   * job was rejected. @return whether it was accepted. */
  bool Submit(const Queue& aQueue, const Job& aJob);

  /** Returns the state that is shown for a job; its status if there is none. */
  std::string StateOf(const Queue& aQueue, const std::string& aJob);

  /** Returns a new id of a job. */
  std::string NextId();

private:
  std::string network_;
  std::string pids_; ///< Folder with a file for each front that holds its process id.
  int fronts_;
  bool hasTrouble_;
  bool isGuarded_ = true;
  Record record_;
  Store store_;
  Fleet fleet_;
  std::int64_t version_ = 1;
  int nextJob_ = 1;
  int nextFront_ = 0;
};

/** How a scenario ends. */
enum class Verdict : std::uint8_t
{
  kHeld = 0,
  kBroken = 1,
  kNotRun = 2,
};

Verdict
PlayNeverFitting(World& aWorld);
Verdict
PlayDroppedRoute(World& aWorld);
Verdict
PlayWave(World& aWorld);
Verdict
PlayAdvisedGang(World& aWorld);
Verdict
PlayAdvisedBurst(World& aWorld);
Verdict
PlayOwnerKilled(World& aWorld);
Verdict
PlayTakeoverCut(World& aWorld);
Verdict
PlayMovedQueue(World& aWorld);

} // namespace review
