#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <QtCore/QObject>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal::cells {

/** Placement tickets, which permit a worker to run a step. They are requested once for each step
 * and used until they expire. The advice service handles one call at a time, so requests wait here
 * for their turn, in the order in which they were made: a step whose tickets have expired unused
 * queues behind those that have not been answered yet. */
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
   * If a request is necessary, it is sent in its turn, and Answered() is emitted once it is
   * answered or has failed. */
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
    std::vector<std::string> wantedWorkers_; ///< Workers that the last call of Request() named.
    clock::Moment expiresAt_{};
    bool requestPending_ = false; ///< Waits for its turn, or for an answer.
  };

  /** Returns the workers to name in a step's next request; empty if none is necessary. */
  static std::vector<std::string> WorkersToRequest(const StepTickets& aStepTickets,
                                                   clock::Moment aNow);

  /** Sends the requests that wait, one at a time. */
  void SendNext();
  void Send(const std::string& aStep, const std::vector<std::string>& aWorkers, clock::Moment aNow);
  void OnAnswer(const std::string& aStep,
                const std::vector<std::string>& aRequested,
                clock::Moment aSentAt,
                const workers::PlacementAdvice& aAdvice);

  /** @param aSentAt when the request was sent. The service decides after that, so no ticket is
   * used beyond its validity. */
  static void AddAdvice(StepTickets& aStepTickets,
                        const std::vector<std::string>& aRequested,
                        const workers::PlacementAdvice& aAdvice,
                        clock::Moment aSentAt);

  workers::PlacementAdvicePort* port_;
  std::map<std::string, StepTickets> steps_; ///< By the step's name.
  std::deque<std::string> queue_;            ///< Steps whose requests wait for their turn.
  bool callOpen_ = false;
  clock::Moment retryAt_{}; ///< No request is sent before, as the last one was not answered.
};

} // namespace quetzal::cells
