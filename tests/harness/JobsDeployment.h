#pragma once

#include "tests/harness/Client.h"
#include "tests/harness/Process.h"

#include <map>

namespace harness {

/** quetzal-jobd on several entry hosts, over the stand-in for the users' platform; all of them real
 * processes on loopback addresses of their own. */
class JobsDeployment
{
public:
  JobsDeployment(int aEntryHosts, int aWorkers, int aTaskMs);
  ~JobsDeployment();

  void StartEntry(int aIndex);
  Process& Entry(int aIndex) { return *entries_.at(aIndex); }

  /** Waits until an entry host takes jobs of both queues. */
  bool WaitUntilServing(int aIndex);

  /** Hands a job in. @return the status; 0 where the connection ended without an answer. */
  unsigned Submit(int aEntry, const std::string& aId, int aTasks, bool aLasting = false);
  /** Hands a job in at any entry host, again and again, until it is accepted. */
  bool SubmitUntilAccepted(const std::string& aId, int aTasks, bool aLasting = false);
  unsigned SubmitBody(int aEntry, const std::string& aId, const std::string& aBody);
  /** @return the state, or "status" with the code where none is given. */
  std::string StateOf(int aEntry, const std::string& aId);
  unsigned Cancel(int aEntry, const std::string& aId);
  /** Waits until a job is shown in a state at an entry host. */
  bool WaitForState(int aEntry, const std::string& aId, const std::string& aState);

  /** Sets a fault of the stand-in, such as "/store?mood=silent". */
  void Control(const std::string& aTarget);
  /** Returns the lines of the stand-in's record that begin with a word. */
  std::vector<std::string> Record(const std::string& aWord);
  /** Returns a count of the stand-in's record, such as "looks". */
  std::int64_t CountOf(const std::string& aWord);
  /** Returns how many runs of a job's tasks have begun. */
  int StartsOf(const std::string& aId);

  /** Returns a job's id of the right form. */
  static std::string IdOf(int aNumber);

private:
  std::string EntryAddress(int aIndex) const;
  std::string SettingsText(int aIndex) const;
  std::optional<Response> Ask(int aEntry,
                              const std::string& aMethod,
                              const std::string& aId,
                              const std::string& aBody);

  std::string network_;
  int entryHosts_;
  std::unique_ptr<Process> mesh_;
  std::map<int, std::unique_ptr<Process>> entries_;
};

} // namespace harness
