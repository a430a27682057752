#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/node/FleetManager.h"
#include "include/quetzal/node/JobDesk.h"

#include <msgpack.hpp>

namespace quetzal::node {

/** JobRequest between entry hosts. */
struct JobCall
{
  int kind_ = 0;
  std::string cell_;
  std::string queue_;
  std::string id_;
  std::string job_; ///< A JobRecord; empty but for submissions.
  std::int64_t patienceMs_ = 0;

  MSGPACK_DEFINE_ARRAY(kind_, cell_, queue_, id_, job_, patienceMs_)
};

/** cells::Answer between entry hosts. */
struct JobReply
{
  bool owned_ = false; ///< Whether the host that answers owns the cell.
  int verdict_ = 0;
  int state_ = 0;
  std::int64_t pending_ = 0;
  std::int64_t retryAfterMs_ = 0;

  MSGPACK_DEFINE_ARRAY(owned_, verdict_, state_, pending_, retryAfterMs_)
};

struct WorkerRow
{
  std::string id_;
  int runs_ = 0;
  bool hasLasting_ = false;
  bool closed_ = false;
  bool settled_ = false;

  MSGPACK_DEFINE_ARRAY(id_, runs_, hasLasting_, closed_, settled_)
};

/** cells::CellReport between entry hosts. */
struct ReportCall
{
  std::string service_;
  double lastingCores_ = 0;
  double lastingMemory_ = 0;
  int stuckTasks_ = 0;
  double urgentCores_ = 0;
  double forecastCores_ = 0;
  std::vector<WorkerRow> workers_;

  MSGPACK_DEFINE_ARRAY(service_,
                       lastingCores_,
                       lastingMemory_,
                       stuckTasks_,
                       urgentCores_,
                       forecastCores_,
                       workers_)
};

/** CellOrders between entry hosts. */
struct ReportReply
{
  bool owned_ = false; ///< Whether the host that answers owns the fleet.
  std::set<std::string> closed_;
  std::set<std::string> vacate_;
  std::set<std::string> gone_;

  MSGPACK_DEFINE_ARRAY(owned_, closed_, vacate_, gone_)
};

JobCall
ToCall(const JobRequest& aRequest);
JobRequest
FromCall(const JobCall& aCall);
JobReply
ToReply(const cells::Answer& aAnswer);
cells::Answer
FromReply(const JobReply& aReply);
ReportCall
ToCall(const cells::CellReport& aReport);
cells::CellReport
FromCall(const ReportCall& aCall);

} // namespace quetzal::node
