#pragma once

#include "include/quetzal/explain/History.h"

namespace quetzal::explain {

/** What logs say of a run whose owner could not take the worker's word for what became of it. All
 * values are as logged, and empty where no record has them. */
struct UncertainRun
{
  std::string task_;
  std::string run_;
  std::string worker_;
  std::string born_;       ///< Start of the incarnation that was known as the run was ordered.
  std::string repeats_;    ///< How often its start order was repeated.
  std::string doubtBorn_;  ///< Start of the incarnation after which its order was in doubt.
  std::string nextBorn_;   ///< Start of the incarnation that followed that one.
  std::string judgedBy_;   ///< Event by which the owner took the run for ended.
  std::string judgedBorn_; ///< Start of the incarnation that the owner judged it on.
  std::string heardMsAgo_; ///< Age of that incarnation's last answer.
  std::string seenLater_;  ///< Start of the incarnation that was seen in place of the judged one.
  std::string secondRun_;  ///< Another run of the task that was found beside it.
  std::string secondOn_;   ///< The worker of that other run.
  bool takenForEnded_ = false; ///< Without its end being listed by the worker.

  bool operator==(const UncertainRun&) const = default;
};

/** Returns the runs of a job or task whose start orders were repeated or in doubt, that were taken
 * for ended without their ends being listed, or beside which another run was found; in the order in
 * which this was logged first. */
std::vector<UncertainRun>
UncertainRunsOf(const History& aHistory);

/** Returns one sentence about a run. */
std::string
ToText(const UncertainRun& aRun);

} // namespace quetzal::explain
