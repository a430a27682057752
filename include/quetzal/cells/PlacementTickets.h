#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <QtCore/QObject>
#include <map>
#include <set>
#include <string>

namespace quetzal::cells {

/** Placement tickets, which permit a worker to run a step. They are requested once for each step
 * and used until they expire. */
class PlacementTickets : public QObject
{
  Q_OBJECT

public:
  using ByWorker = std::map<std::string, std::string>;

  /** @param aPort null if there is no advice service. */
  PlacementTickets(workers::PlacementAdvicePort* aPort, QObject* aParent);

  /** Returns a step's tickets; null if none are valid now. */
  const ByWorker* Find(const std::string& aStep, clock::Moment aNow) const;

  /** Requests a step's tickets for those of the given workers that were not in an earlier request.
   * If a request is sent, Answered() is emitted once it is answered or has failed. */
  void Request(const std::string& aStep,
               const std::vector<std::string>& aWorkers,
               clock::Moment aNow);

  /** Marks a step's tickets as expired after a worker rejected one, so that they are requested
   * again. */
  void Expire(const std::string& aStep);

  /** Removes the tickets of all steps of a job. */
  void RemoveJob(const std::string& aJob);

Q_SIGNALS:
  void Answered();

private:
  struct StepTickets
  {
    ByWorker tickets_;
    std::set<std::string> requestedWorkers_; ///< Workers named in requests.
    clock::Moment expiresAt_{};
    clock::Moment retryAt_{};
    bool requestPending_ = false;
  };

  static void AddAdvice(StepTickets& aStepTickets,
                        const std::vector<std::string>& aRequested,
                        const workers::PlacementAdvice& aAdvice,
                        clock::Moment aAskedAt);

  workers::PlacementAdvicePort* port_;
  std::map<std::string, StepTickets> steps_; ///< By the step's name.
};

} // namespace quetzal::cells
