#pragma once

#include "tests/unit/FakeWorkers.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal::test {

/** Watches the runs of all tasks on workers in memory. A task may have one run at a time, and none
 * may start once the end of another as done has been recorded, or will be. */
class RunMonitor
{
public:
  explicit RunMonitor(const FakeFleet& aFleet)
    : fleet_(aFleet)
  {
  }

  /** Watches a worker. @param aOnStart called after each start there. */
  void Watch(FakeWorker& aWorker, std::function<void(const jobs::TaskId&)> aOnStart = {});

  /** Returns what was violated; empty if nothing was. */
  const std::vector<std::string>& Violations() const { return violations_; }

private:
  /** Names one end of one incarnation of a worker. */
  struct EndKey
  {
    std::string worker_;
    int restarts_ = 0;
    std::int64_t number_ = 0;

    auto operator<=>(const EndKey&) const = default;
  };

  void OnStart(const FakeWorker& aWorker, const jobs::TaskId& aTask);
  void OnEnded(const FakeWorker& aWorker, const workers::EndedTask& aEnd);
  void OnAcknowledged(const FakeWorker& aWorker, const workers::EndedTask& aEnd);

  const FakeFleet& fleet_;
  int nextEvent_ = 1;
  std::map<jobs::TaskId, int> lastStarts_; ///< The event of each task's last start.
  std::map<EndKey, int> done_;             ///< The event of each end as done.
  std::set<jobs::TaskId> recorded_;        ///< Tasks whose end as done has been acknowledged.
  std::vector<std::string> violations_;
};

} // namespace quetzal::test
