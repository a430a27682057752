#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal::jobs {

/** Limits of the service that says which workers a queue's steps may use. */
struct PlacementAdvicePolicy
{
  std::int64_t decisionMs_ = 0;  ///< Time of one call.
  std::int64_t perWorkerMs_ = 0; ///< Time more for each worker asked about.
  std::int64_t validityMs_ = 0;  ///< How long a ticket is valid.

  auto operator<=>(const PlacementAdvicePolicy&) const = default;
};

/** One queue of jobs, and the pool that runs them. */
struct Queue
{
  std::string name_;
  std::string host_;   ///< Callers' Host field.
  std::string prefix_; ///< Callers' path up to the job's id.
  std::string service_;
  int priority_ = 0;    ///< 0 goes first.
  int maxAttempts_ = 0; ///< Failed runs of a task after which its job has failed; 0: no limit.
  double stretch_ = 1;  ///< Objective as a multiple of the job's chain.
  std::int64_t objectiveMs_ = 0; ///< Added to the stretched chain.
  std::optional<PlacementAdvicePolicy> advice_;

  auto operator<=>(const Queue&) const = default;
};

/** One pool of workers. */
struct Service
{
  std::string name_;
  bool standby_ = false;        ///< Its hosts are off and cost nothing.
  bool rejectsOverload_ = true; ///< Its workers refuse what does not fit.

  auto operator<=>(const Service&) const = default;
};

/** One version of the operators' configuration. */
struct Configuration
{
  std::int64_t version_ = 0;
  std::vector<Queue> queues_;
  std::vector<Service> services_;

  auto operator<=>(const Configuration&) const = default;
};

/** Returns the queue with the longest prefix of a path, or null. */
const Queue*
FindQueue(const Configuration& aConfiguration, const std::string& aHost, const std::string& aPath);

/** Returns the queue with a name, or null. */
const Queue*
FindQueueByName(const Configuration& aConfiguration, const std::string& aName);

/** Returns the name of the standby pool; empty where there is none. */
std::string
StandbyPoolOf(const Configuration& aConfiguration);

} // namespace quetzal::jobs
