#pragma once

#include "tests/harness/Client.h"
#include "tests/harness/Process.h"

#include <map>

namespace harness {

/** quetzal-jobd on several entry hosts, and the stand-in for the users' platform. All are real
 * processes on loopback addresses of their own. */
class JobsDeployment
{
public:
  /** @param aEntrySettings further lines of each entry host's settings. */
  JobsDeployment(int aEntryHosts, int aWorkers, int aTaskMs, std::string aEntrySettings = {});
  ~JobsDeployment();

  void StartEntry(int aIndex);
  Process& Entry(int aIndex) { return *entries_.at(aIndex); }

  /** Waits until an entry host answers requests about the jobs of both queues. */
  bool WaitUntilServing(int aIndex);

  /** Returns where an entry host takes callers' requests, its readiness checks and its metrics. */
  Endpoint Callers(int aIndex) const;
  Endpoint Readiness(int aIndex) const;
  Endpoint Metrics(int aIndex) const;

  /** Returns the bytes of a request that submits a job with one task. */
  static std::string SubmitBytes(const std::string& aId);
  static std::string CancelBytes(const std::string& aId);

  /** Submits a job. @return the status; 0 where the connection ended without an answer. */
  unsigned Submit(int aEntry, const std::string& aId, int aTasks, bool aLasting = false);
  /** Submits a job without waiting for the answer. */
  std::unique_ptr<Call> BeginSubmit(int aEntry, const std::string& aId, int aTasks);
  /** Submits a job to one entry host after another until one accepts the job. */
  bool SubmitUntilAccepted(const std::string& aId, int aTasks, bool aLasting = false);
  unsigned SubmitBody(int aEntry, const std::string& aId, const std::string& aBody);
  /** Returns the state of a job, or "status" and the status code of the answer where that is not
   * 200. */
  std::string StateOf(int aEntry, const std::string& aId);
  unsigned Cancel(int aEntry, const std::string& aId);
  /** What became of jobs whose callers cancel them again until they get an answer. */
  struct Cancelled
  {
    std::vector<std::string> gone_;      ///< Answered with "no such job".
    std::vector<std::string> undecided_; ///< Without such an answer when the time was over.
  };
  /** Cancels jobs in turn, with short pauses, so that the first cancels which are decided come
   * before the next attempts of the jobs' submissions. */
  Cancelled CancelUntilDecided(int aEntry,
                               std::vector<std::string> aIds,
                               std::chrono::milliseconds aTimeout);
  /** Waits until an entry host shows a job in a state. */
  bool WaitForState(int aEntry, const std::string& aId, const std::string& aState);

  /** Gives an organisation this API key in place of its last one. From the first call on, all calls
   * need a key. */
  void PutKey(const std::string& aOrganisation, const std::string& aKey);
  /** Makes all calls carry this API key; empty: none. */
  void UseKey(const std::string& aKey) { key_ = aKey; }

  /** Makes the stand-in inject a fault, such as "/store?mood=silent". */
  void Control(const std::string& aTarget);
  /** Returns the lines of the stand-in's record that begin with a word. */
  std::vector<std::string> Record(const std::string& aWord);
  /** Returns a count of the stand-in's record, such as "looks". */
  std::int64_t CountOf(const std::string& aWord);
  /** Returns how many runs of a job's tasks have started. */
  int StartsOf(const std::string& aId);

  /** Returns a valid job id: the number in 16 digits. */
  static std::string IdOf(int aNumber);

private:
  std::string EntryAddress(int aIndex) const;
  std::string SettingsText(int aIndex) const;
  std::unique_ptr<Call> Begin(int aEntry,
                              const std::string& aMethod,
                              const std::string& aId,
                              const std::string& aBody);
  std::unique_ptr<Call> BeginAt(int aEntry,
                                const std::string& aMethod,
                                const std::string& aTarget,
                                const std::string& aBody);
  /** Returns whether an entry host is told how many jobs of a queue wait, which only the owner of
   * the queue's cell can say. */
  bool CountsPendingOf(int aEntry, const std::string& aQueue);
  std::optional<Response> Ask(int aEntry,
                              const std::string& aMethod,
                              const std::string& aId,
                              const std::string& aBody);

  std::string network_;
  int entryHosts_;
  std::string entrySettings_;
  std::string key_;
  std::unique_ptr<Process> mesh_;
  std::map<int, std::unique_ptr<Process>> entries_;
};

} // namespace harness
