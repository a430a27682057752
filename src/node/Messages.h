#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/node/FleetManager.h"
#include "include/quetzal/node/JobRequestHandler.h"

#include <msgpack.hpp>
#include <optional>

namespace quetzal::node {

/** A JobRequest, as sent between entry hosts. */
struct JobCall
{
  int kind_ = 0;
  std::string cell_;
  std::string queue_;
  std::string id_;
  std::string job_; ///< An encoded JobRecord; empty except for kSubmit.
  std::int64_t timeoutMs_ = 0;
  // Earlier versions send none of the following.
  std::string organisation_;
  std::string entryHost_;
  int attempt_ = 1;

  MSGPACK_DEFINE_ARRAY(kind_,
                       cell_,
                       queue_,
                       id_,
                       job_,
                       timeoutMs_,
                       organisation_,
                       entryHost_,
                       attempt_)
};

/** A cells::Answer, as sent between entry hosts. */
struct JobReply
{
  bool owned_ = false; ///< Whether the answering host owns the cell.
  int status_ = 0;
  int state_ = 0;
  std::int64_t pending_ = 0;
  std::int64_t retryAfterMs_ = 0;
  int refusal_ = 0; ///< A cells::RefusalReason; earlier versions send none.

  MSGPACK_DEFINE_ARRAY(owned_, status_, state_, pending_, retryAfterMs_, refusal_)
};

struct WorkerEntry
{
  std::string id_;
  int runs_ = 0;
  bool hasLongRunning_ = false;
  bool cordoned_ = false;
  bool synchronized_ = false;

  MSGPACK_DEFINE_ARRAY(id_, runs_, hasLongRunning_, cordoned_, synchronized_)
};

/** A workers::Capacity, as sent between entry hosts. */
struct CapacityEntry
{
  std::int64_t cpu_ = 0;
  std::int64_t memory_ = 0;
  std::int64_t accelerators_ = 0;

  MSGPACK_DEFINE_ARRAY(cpu_, memory_, accelerators_)
};

/** An organisations::Demand, as sent between entry hosts. */
struct DemandEntry
{
  std::string organisation_;
  CapacityEntry used_;
  CapacityEntry wanted_;
  CapacityEntry nextNeed_;
  CapacityEntry held_;
  std::int64_t waitingMs_ = 0;

  MSGPACK_DEFINE_ARRAY(organisation_, used_, wanted_, nextNeed_, held_, waitingMs_)
};

/** An organisations::Grant, as sent between entry hosts. */
struct GrantEntry
{
  std::string organisation_;
  CapacityEntry limit_;

  MSGPACK_DEFINE_ARRAY(organisation_, limit_)
};

/** A cells::CellReport, as sent between entry hosts. */
struct ReportCall
{
  std::string service_;
  double longRunningCores_ = 0;
  double longRunningMemory_ = 0;
  int unschedulableTasks_ = 0;
  double urgentCores_ = 0;
  double forecastCores_ = 0;
  std::vector<WorkerEntry> workers_;
  // Earlier versions send none of the following.
  std::int64_t fence_ = 0;
  std::int64_t sequence_ = 0;
  bool isSynchronized_ = false;
  std::vector<DemandEntry> organisations_;

  MSGPACK_DEFINE_ARRAY(service_,
                       longRunningCores_,
                       longRunningMemory_,
                       unschedulableTasks_,
                       urgentCores_,
                       forecastCores_,
                       workers_,
                       fence_,
                       sequence_,
                       isSynchronized_,
                       organisations_)
};

/** CellOrders, as sent between entry hosts. */
struct ReportReply
{
  bool owned_ = false; ///< Whether the answering host owns the fleet.
  std::set<std::string> cordoned_;
  std::set<std::string> evict_;
  std::set<std::string> terminated_;
  // Earlier versions send none of the following.
  std::vector<GrantEntry> grants_;
  bool hasGrants_ = false;
  std::optional<std::int64_t> listAgeMs_;

  MSGPACK_DEFINE_ARRAY(owned_, cordoned_, evict_, terminated_, grants_, hasGrants_, listAgeMs_)
};

JobCall
ToCall(const JobRequest& aRequest);
/** Returns the request; std::nullopt if there is no such kind, or if its job cannot be run. */
std::optional<JobRequest>
FromCall(const JobCall& aCall);
JobReply
ToReply(const cells::Answer& aAnswer);
/** Returns the answer; std::nullopt if any part of it is out of range. */
std::optional<cells::Answer>
FromReply(const JobReply& aReply);
ReportCall
ToCall(const cells::CellReport& aReport);
ReportReply
ToReply(const CellOrders& aOrders);
/** Returns the orders; std::nullopt if any amount is negative or out of range. */
std::optional<CellOrders>
FromReply(const ReportReply& aReply);
/** Returns the report; std::nullopt if any amount is negative, not finite or out of range. */
std::optional<cells::CellReport>
FromCall(const ReportCall& aCall);

} // namespace quetzal::node
