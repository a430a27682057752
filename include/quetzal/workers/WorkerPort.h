#pragma once

#include "include/quetzal/jobs/Job.h"
#include "include/quetzal/settings/Node.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Workers: what they are, what they report, and the orders that they take. */
namespace quetzal::workers {

/** Processor time in thousandths of a core, memory in megabytes, accelerators. */
struct Capacity
{
  std::int64_t cpu_ = 0;
  std::int64_t memory_ = 0;
  std::int64_t accelerators_ = 0;

  auto operator<=>(const Capacity&) const = default;
};

/** What a worker says of itself in the platform's store. */
struct Registration
{
  std::string id_;
  settings::Endpoint endpoint_;
  std::string service_;
  std::string availabilityZone_;
  std::string host_;           ///< The host that it is a life of; empty where it did not say.
  std::int64_t startedMs_ = 0; ///< Unix milliseconds of its start; tells its lives apart.
  bool draining_ = false;
  std::int64_t remainingMs_ = 0; ///< While it drains: the time it has left at least.
  Capacity capacity_;
  std::vector<std::string> labels_;

  auto operator<=>(const Registration&) const = default;
};

enum class OrderStatus : std::uint8_t
{
  kAccepted,
  kFenced,     ///< A higher fence number has been seen there.
  kSuperseded, ///< A run of that number or a higher one was stopped or ended there.
  kLate,       ///< The order's deadline had passed.
  kNoRoom,
  kNoTicket, ///< The ticket is missing or no longer valid.
  kInvalid,
  kUnhealthy,        ///< The worker did nothing.
  kOtherIncarnation, ///< Another life of the worker answered; it did nothing.
  kNoAnswer,         ///< The order may have been carried out, or may be later.
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
  std::int64_t deadlineMs_ = 0; ///< On the worker's clock; later the order does nothing.
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
  int progressPercent_ = 0; ///< Per cent; a lasting task is at work at 100.
  std::int64_t measurement_ =
    0; ///< A serving task's tail in ms; otherwise processor use in millicores.
};

struct EndedTask
{
  std::int64_t number_ = 0; ///< Counts the ends of one life of the worker, from 1.
  jobs::TaskId task_;
  std::int64_t run_ = 0;
  jobs::EndKind kind_ = jobs::EndKind::kDone;
  std::string checkpoint_;
};

/** What a worker runs, and which ends it still lists. */
struct WorkerStatus
{
  OrderStatus status_ = OrderStatus::kNoAnswer;
  std::int64_t clockMs_ = 0;
  std::int64_t startedMs_ = 0; ///< 0 where the worker did not say.
  std::vector<RunningTask> running_;
  std::vector<EndedTask> ended_;
};

/** Renews the lease of everything on a worker, and looks at it. */
struct PollOrder
{
  std::int64_t fence_ = 0;
  std::int64_t acknowledgeUpTo_ = 0;       ///< Ends up to this number are recorded.
  std::optional<std::int64_t> leaseEndMs_; ///< On the worker's clock.
  std::chrono::milliseconds wait_{ 0 };    ///< The answer may wait this long for an end.
};

/** One worker's interface. Each callback comes once, unless the port is destroyed first. */
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
  /** Lets a task work at a share of its speed, in per cent. */
  virtual void SetSpeed(const jobs::TaskId& aTask,
                        std::int64_t aRun,
                        int aPercent,
                        std::int64_t aFence,
                        std::function<void(const OrderReply&)> aDone) = 0;
};

using WorkerPortFactory =
  std::function<std::unique_ptr<WorkerPort>(const std::string& aId, const settings::Endpoint&)>;

/** A worker that may run a step, and the ticket that says so. */
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

/** Workers that one question may name. */
inline constexpr std::size_t kMaxAdviceWorkers = 100;

/** The service that knows which workers a step may use. */
class PlacementAdvicePort
{
public:
  virtual ~PlacementAdvicePort() = default;
  virtual void Request(const std::string& aStep,
                       const std::vector<std::string>& aWorkers,
                       std::function<void(const PlacementAdvice&)> aDone) = 0;
};

} // namespace quetzal::workers
