#pragma once

#include "include/quetzal/organisations/KeyRing.h"
#include "include/quetzal/organisations/Organisation.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal::jobs {

/** Time limits of the placement advice service, which decides which workers may run a queue's
 * steps. */
struct PlacementAdvicePolicy
{
  std::int64_t decisionMs_ = 0;  ///< Base time of one call.
  std::int64_t perWorkerMs_ = 0; ///< Additional time for each worker in the call.
  std::int64_t validityMs_ = 0;  ///< How long a placement ticket is valid.

  auto operator<=>(const PlacementAdvicePolicy&) const = default;
};

/** How a queue's jobs are run. A job keeps the terms of its acceptance, since its queue may be
 * changed or removed later. */
struct QueueTerms
{
  int priority_ = 0;    ///< 0 is the highest.
  int maxAttempts_ = 0; ///< Failed runs of a task after which its job has failed; 0: no limit.
  double stretch_ = 1;  ///< Objective as a multiple of the job's critical path.
  std::int64_t objectiveMs_ = 0; ///< Time added to the stretched critical path.
  std::optional<PlacementAdvicePolicy> advice_;

  auto operator<=>(const QueueTerms&) const = default;
};

/** A queue of jobs, and the pool that runs them. */
struct Queue
{
  std::string name_;
  std::string host_;   ///< Value of the Host header in callers' requests.
  std::string prefix_; ///< Path of callers' requests, up to the job's id.
  std::string service_;
  QueueTerms terms_;
  bool public_ = false; ///< Calls need no API key, and its jobs belong to no organisation.

  auto operator<=>(const Queue&) const = default;
};

/** A pool of workers. */
struct Service
{
  std::string name_;
  bool standby_ = false;        ///< The pool's hosts are switched off and cost nothing.
  bool rejectsOverload_ = true; ///< The pool's workers reject runs for which they have no room.

  auto operator<=>(const Service&) const = default;
};

/** One version of the operators' configuration. */
struct Configuration
{
  std::int64_t version_ = 0;
  std::vector<Queue> queues_;
  std::vector<Service> services_;
  std::vector<organisations::Organisation> organisations_;
  organisations::KeyRing keys_;
  bool requiresKeys_ = false; ///< Calls to queues that are not public need an API key.

  auto operator<=>(const Configuration&) const = default;
};

/** Returns the queue with the longest prefix of a path, or null. */
const Queue*
FindQueue(const Configuration& aConfiguration, const std::string& aHost, const std::string& aPath);

/** Returns the queue with a name, or null. */
const Queue*
FindQueueByName(const Configuration& aConfiguration, const std::string& aName);

/** Returns the terms of a queue for a job that was accepted by a version of this program that kept
 * no terms. If the queue has been removed since, the number of attempts is limited nevertheless. */
QueueTerms
TermsWithoutRecord(const Configuration& aConfiguration, const std::string& aQueue);

/** Returns the name of the standby pool; empty if there is none. */
std::string
StandbyPoolOf(const Configuration& aConfiguration);

} // namespace quetzal::jobs
