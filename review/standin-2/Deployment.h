#pragma once

#include "review/standin-2/EntryHost.h"

#include <QtCore/QTemporaryDir>

namespace review {

/** What a caller got. */
struct Answer
{
  unsigned status_ = 0;       ///< 0: no complete response in time.
  std::string state_;         ///< Of a job, with a GET.
  std::int64_t pending_ = -1; ///< Of a queue, with a GET; negative: none is given.
};

/** Time after which a caller leaves. */
inline constexpr Milliseconds kCallerTimeout{ 3'500 };

/** A small deployment: the platform, three entry hosts in three zones, and callers. All run in this
 * process's event loop, but the entry hosts, which are processes of their own. */
class Deployment
{
public:
  Deployment(const std::string& aRecordFile, int aMinions);

  Record& GetRecord() { return record_; }
  Platform& GetPlatform() { return platform_; }
  std::vector<std::unique_ptr<EntryHost>>& Hosts() { return hosts_; }

  /** Starts the entry hosts and waits until each of them counts the jobs of both queues.
   * @return false if that takes over half a minute. */
  bool Start();

  /** Sends a request, and calls back with the answer. @param aTarget such as "/alpha/ID". */
  void Send(std::size_t aHost,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody,
            const std::function<void(const Answer&)>& aDone,
            Milliseconds aTimeout = kCallerTimeout);

  /** Does the same and waits for the answer. */
  Answer Ask(std::size_t aHost,
             const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody = {});

  /** Submits a job until an entry host accepts it, or some seconds have passed. */
  bool Submit(const std::string& aTarget, const std::string& aBody);

  /** Runs the event loop for some time, or until a condition holds. @return whether it holds. */
  static bool RunUntil(const std::function<bool()>& aCondition, Milliseconds aTime);
  static void Run(Milliseconds aTime);

private:
  Record record_;
  QTemporaryDir folder_;
  std::string network_;
  Platform platform_;
  std::vector<std::unique_ptr<EntryHost>> hosts_;
};

/** Returns whether the case's disruption is left out. */
bool
IsCalm();

} // namespace review
