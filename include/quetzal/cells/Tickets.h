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
class Tickets : public QObject
{
  Q_OBJECT

public:
  using ByWorker = std::map<std::string, std::string>;

  /** @param aPort null where there is no such service. */
  Tickets(workers::AdvicePort* aPort, QObject* aParent);

  /** Returns a step's tickets; null where none are valid now. */
  const ByWorker* Find(const std::string& aStep, clock::Moment aNow) const;

  /** Asks which of these workers may run a step, but for those that have been asked about already.
   * Answered() follows where there is a question. */
  void Ask(const std::string& aStep, const std::vector<std::string>& aWorkers, clock::Moment aNow);

  /** A ticket of this step was turned away: it is asked for anew. */
  void Expire(const std::string& aStep);

  /** Forgets the tickets of all steps of a job. */
  void ForgetJob(const std::string& aJob);

Q_SIGNALS:
  void Answered();

private:
  struct Row
  {
    ByWorker tickets_;
    std::set<std::string> named_; ///< Workers that were asked about.
    clock::Moment expires_{};
    clock::Moment askAgainAt_{};
    bool asked_ = false;
  };

  static void Take(Row& aRow,
                   const std::vector<std::string>& aNamed,
                   const workers::Advice& aAdvice,
                   clock::Moment aAskedAt);

  workers::AdvicePort* port_;
  std::map<std::string, Row> rows_; ///< By step.
};

} // namespace quetzal::cells
