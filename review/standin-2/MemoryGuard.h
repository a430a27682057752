#pragma once

#include "review/standin-2/Deployment.h"

namespace review {

/** Kills each process that holds more memory than its machine has, and starts again each process
 * that has ended, after a short delay, as the platform does. */
class MemoryGuard
{
public:
  explicit MemoryGuard(Deployment& aDeployment);

  /** Returns on how many machines the process has ended by itself at least three times; a kill
   * because of its memory counts. */
  int MachinesWithThreeEnds() const;

private:
  void Check();

  Deployment& deployment_;
  std::map<const EntryHost*, int> ends_;
  std::map<const EntryHost*, Clock::time_point> endedAt_;
  QTimer timer_;
};

} // namespace review
