#pragma once

#include "review/standin-2/Deployment.h"

namespace review {

/** A caller that submits a small job to q-alpha four times a second, at each entry host in turn,
 * and asks for its accepted jobs in the end. */
class OrdinaryCaller
{
public:
  explicit OrdinaryCaller(Deployment& aDeployment);

  /** Ends the traffic. */
  void Stop() { timer_.stop(); }

  /** Asks for every accepted job at each entry host, one after another, until one tells its state,
   * and then watches the jobs that are not completed for three seconds.
   * @return how many jobs no entry host knows or answers for in time, or have nothing running all
   * the while though less than half of the service's capacity is in use. */
  int CountLost();

  std::size_t Accepted() const { return accepted_.size(); }

private:
  void Submit();
  /** Returns a job's state; empty if no entry host tells it. */
  std::string StateOf(const std::string& aTarget);

  Deployment& deployment_;
  std::vector<std::string> accepted_;
  int sent_ = 0;
  QTimer timer_;
};

/** Returns the body of a job with one step. */
std::string
StepBody(std::int64_t aCount, std::int64_t aWorkMs);

} // namespace review
