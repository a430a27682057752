#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <QtCore/QObject>
#include <map>
#include <set>
#include <string>

namespace quetzal::cells {

/** Tickets that say which workers may run a step: asked for once for each step and used until they
 * expire. */
class PlacementTickets : public QObject
{
  Q_OBJECT

public:
  using ByWorker = std::map<std::string, std::string>;

  /** @param aPort null where there is no such service. */
  PlacementTickets(workers::PlacementAdvicePort* aPort, QObject* aParent);

  /** Returns a step's tickets; null where none are valid now. */
  const ByWorker* Find(const std::string& aStep, clock::Moment aNow) const;

  /** Asks which of these workers may run a step, but for those that have been asked about already.
   * Answered() follows where there is a question. */
  void Request(const std::string& aStep,
               const std::vector<std::string>& aWorkers,
               clock::Moment aNow);

  /** A ticket of this step was turned away: it is asked for anew. */
  void Expire(const std::string& aStep);

  /** Forgets the tickets of all steps of a job. */
  void RemoveJob(const std::string& aJob);

Q_SIGNALS:
  void Answered();

private:
  struct StepTickets
  {
    ByWorker tickets_;
    std::set<std::string> requestedWorkers_; ///< Workers that were asked about.
    clock::Moment expiresAt_{};
    clock::Moment retryAt_{};
    bool requestPending_ = false;
  };

  static void AddAdvice(StepTickets& aRow,
                        const std::vector<std::string>& aNamed,
                        const workers::PlacementAdvice& aAdvice,
                        clock::Moment aAskedAt);

  workers::PlacementAdvicePort* port_;
  std::map<std::string, StepTickets> steps_; ///< By step.
};

} // namespace quetzal::cells
