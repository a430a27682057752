#pragma once

#include "include/quetzal/jobs/Job.h"
#include "include/quetzal/settings/Node.h"
#include "include/quetzal/workers/Capacity.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Workers: their registration, the status that they report, and the orders that they accept. */
namespace quetzal::workers {

/** A worker's entry in the platform's store. */
struct Registration
{
  std::string id_;
  settings::Endpoint endpoint_;
  std::string service_;
  std::string availabilityZone_;
  std::string host_;           ///< The host that it runs on; empty if not given.
  std::int64_t startedMs_ = 0; ///< Unix time of its start; identifies the incarnation.
  bool draining_ = false;
  std::int64_t remainingMs_ = 0; ///< While draining: the least time that remains.
  Capacity capacity_;
  std::vector<std::string> labels_;

  auto operator<=>(const Registration&) const = default;
};

enum class OrderStatus : std::uint8_t
{
  kAccepted,
  kFenced,     ///< The worker has seen a higher fence number.
  kSuperseded, ///< A run of the task with this or a higher number was stopped or has ended there.
  kLate,       ///< The order arrived after its deadline.
  kNoRoom,
  kNoTicket, ///< The placement ticket is missing or has expired.
  kInvalid,
  kUnhealthy,        ///< The worker could not carry out the order; it did nothing.
  kOtherIncarnation, ///< Another incarnation of the worker answered; it did nothing.
  kNoAnswer,         ///< The order may have been carried out, or may still be.
};

const char*
ToString(OrderStatus aStatus);

/** Starts one run of a task. */
struct StartOrder
{
  jobs::TaskId task_;
  std::int64_t run_ = 0;
  std::string payload_;
  std::string checkpoint_;
  std::string ticket_;
  std::int64_t deadlineMs_ = 0; ///< On the worker's clock; a later arrival is ignored.
  std::int64_t fence_ = 0;
};

struct OrderReply
{
  OrderStatus status_ = OrderStatus::kNoAnswer;
  std::int64_t clockMs_ = 0; ///< The worker's clock; 0 where there was no answer.
};

struct RunningTask
{
  jobs::TaskId task_;
  std::int64_t run_ = 0;
  std::string checkpoint_;
  int progressPercent_ = 0; ///< 100: a task that runs until cancelled is available.
  /** Tail latency in ms of a latency-sensitive task; processor use in millicores of any other. */
  std::int64_t measurement_ = 0;
};

struct EndedTask
{
  std::int64_t number_ = 0; ///< Counts the ends of one incarnation of the worker, from 1.
  jobs::TaskId task_;
  std::int64_t run_ = 0;
  jobs::EndKind kind_ = jobs::EndKind::kDone;
  std::string checkpoint_;
};

/** The answer to a poll: the runs of a worker, and the ends that have not been acknowledged. */
struct WorkerStatus
{
  OrderStatus status_ = OrderStatus::kNoAnswer;
  std::int64_t clockMs_ = 0;
  std::int64_t startedMs_ = 0; ///< 0 if the worker did not report it.
  std::vector<RunningTask> running_;
  std::vector<EndedTask> ended_;
  bool mayHaveMoreEnds_ = false; ///< The worker may list further ends once these are acknowledged.
};

/** Asks for a worker's status. Renews the lease of all its runs if a lease end is set. */
struct PollOrder
{
  std::int64_t fence_ = 0;
  std::int64_t acknowledgeUpTo_ = 0;       ///< Ends up to this number are stored.
  std::optional<std::int64_t> leaseEndMs_; ///< On the worker's clock.
  /** The worker may delay its answer until a run ends, at most for this time. */
  std::chrono::milliseconds wait_{ 0 };
};

/** Interface to one worker. Each callback is called once, unless the port is destroyed first. */
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;

  virtual void Start(const StartOrder& aOrder, std::function<void(const OrderReply&)> aDone) = 0;
  virtual void Stop(const jobs::TaskId& aTask,
                    std::int64_t aRun,
                    std::int64_t aFence,
                    std::function<void(const OrderReply&)> aDone) = 0;
  virtual void Poll(const PollOrder& aOrder, std::function<void(const WorkerStatus&)> aDone) = 0;
  /** Limits a task's speed, in per cent of full speed. */
  virtual void SetSpeed(const jobs::TaskId& aTask,
                        std::int64_t aRun,
                        int aPercent,
                        std::int64_t aFence,
                        std::function<void(const OrderReply&)> aDone) = 0;
};

using WorkerPortFactory =
  std::function<std::unique_ptr<WorkerPort>(const std::string& aId, const settings::Endpoint&)>;

/** Permits one worker to run a step. */
struct PlacementTicket
{
  std::string worker_;
  std::string ticket_;
};

struct PlacementAdvice
{
  bool answered_ = false;
  std::vector<PlacementTicket> tickets_;
  std::chrono::milliseconds validity_{ 0 };
};

/** Largest number of workers in one request for advice. */
inline constexpr std::size_t kMaxAdviceWorkers = 100;

/** Interface to the service that decides which workers may run a step. */
class PlacementAdvicePort
{
public:
  virtual ~PlacementAdvicePort() = default;
  virtual void Request(const std::string& aStep,
                       const std::vector<std::string>& aWorkers,
                       std::function<void(const PlacementAdvice&)> aDone) = 0;
};

} // namespace quetzal::workers
