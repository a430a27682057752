#include "src/node/Messages.h"

#include <algorithm>

namespace quetzal::node {
namespace {

/** More than any fleet has: cores, megabytes, tasks or runs. */
constexpr double kMaxReportedAmount = 1e12;
constexpr std::int64_t kMaxRetryAfterMs = 24LL * 3'600 * 1'000;

bool
IsKind(int aKind)
{
  return aKind >= static_cast<int>(RequestKind::kSubmit) &&
         aKind <= static_cast<int>(RequestKind::kCountPending);
}

bool
IsAnswerStatus(int aStatus)
{
  return aStatus >= 0 && aStatus <= static_cast<int>(cells::AnswerStatus::kForbidden);
}

bool
IsRefusalReason(int aReason)
{
  return aReason >= 0 && aReason <= static_cast<int>(cells::RefusalReason::kOverRate);
}

constexpr std::int64_t kMaxReportedUnits = 1'000'000'000'000;

bool
IsUsable(const CapacityEntry& aCapacity)
{
  const auto isWithin = [](std::int64_t aUnits) {
    return aUnits >= 0 && aUnits <= kMaxReportedUnits;
  };
  return isWithin(aCapacity.cpu_) && isWithin(aCapacity.memory_) &&
         isWithin(aCapacity.accelerators_);
}

bool
IsUsable(const DemandEntry& aDemand)
{
  return IsUsable(aDemand.used_) && IsUsable(aDemand.wanted_) && IsUsable(aDemand.nextNeed_) &&
         IsUsable(aDemand.held_) && aDemand.waitingMs_ >= 0;
}

CapacityEntry
ToEntry(const workers::Capacity& aCapacity)
{
  return { aCapacity.cpu_, aCapacity.memory_, aCapacity.accelerators_ };
}

workers::Capacity
FromEntry(const CapacityEntry& aEntry)
{
  return { aEntry.cpu_, aEntry.memory_, aEntry.accelerators_ };
}

DemandEntry
ToEntry(const organisations::Demand& aDemand)
{
  return { aDemand.organisation_,      ToEntry(aDemand.used_), ToEntry(aDemand.wanted_),
           ToEntry(aDemand.nextNeed_), ToEntry(aDemand.held_), aDemand.waitingMs_ };
}

organisations::Demand
FromEntry(const DemandEntry& aEntry)
{
  return { aEntry.organisation_,        FromEntry(aEntry.used_), FromEntry(aEntry.wanted_),
           FromEntry(aEntry.nextNeed_), FromEntry(aEntry.held_), aEntry.waitingMs_ };
}

/** Returns whether an amount is usable. It is false for values that are not numbers, which have no
 * order and cannot be converted to an integer. */
bool
IsAmount(double aAmount)
{
  return aAmount >= 0 && aAmount <= kMaxReportedAmount;
}

bool
HasValidAmounts(const ReportCall& aCall)
{
  const bool hasValidRuns =
    std::all_of(aCall.workers_.begin(), aCall.workers_.end(), [](const WorkerEntry& aWorker) {
      return aWorker.runs_ >= 0;
    });
  const bool hasValidDemands =
    std::all_of(aCall.organisations_.begin(),
                aCall.organisations_.end(),
                [](const DemandEntry& aDemand) { return IsUsable(aDemand); });
  return hasValidRuns && hasValidDemands && aCall.unschedulableTasks_ >= 0 &&
         IsAmount(aCall.longRunningCores_) && IsAmount(aCall.longRunningMemory_) &&
         IsAmount(aCall.urgentCores_) && IsAmount(aCall.forecastCores_);
}

/** Reads the job of a submission. @return whether it can be run. */
bool
ReadJob(const std::string& aJob, JobRequest& aRequest)
{
  jobs::JobRecord record;
  std::string why;
  if (!jobs::Decode(aJob, record)) {
    return false;
  }
  aRequest.spec_ = jobs::SpecOf(record);
  aRequest.terms_ = jobs::TermsOf(record);
  return jobs::IsValid(aRequest.spec_, why) && jobs::IsValid(record, why);
}

} // namespace

JobCall
ToCall(const JobRequest& aRequest)
{
  JobCall call;
  call.kind_ = static_cast<int>(aRequest.kind_);
  call.cell_ = aRequest.cell_;
  call.queue_ = aRequest.queue_;
  call.id_ = aRequest.id_;
  call.timeoutMs_ = aRequest.timeout_.count();
  call.organisation_ = aRequest.organisation_;
  call.entryHost_ = aRequest.entryHost_;
  call.attempt_ = aRequest.attempt_;
  if (aRequest.kind_ == RequestKind::kSubmit) {
    call.job_ = jobs::Encode(jobs::MakeJobRecord(
      aRequest.cell_,
      { aRequest.queue_, aRequest.id_, aRequest.spec_, aRequest.terms_, aRequest.organisation_ },
      0));
  }
  return call;
}

std::optional<JobRequest>
FromCall(const JobCall& aCall)
{
  if (!IsKind(aCall.kind_)) {
    return std::nullopt;
  }
  JobRequest request;
  request.kind_ = static_cast<RequestKind>(aCall.kind_);
  request.cell_ = aCall.cell_;
  request.queue_ = aCall.queue_;
  request.id_ = aCall.id_;
  request.timeout_ = clock::Milliseconds(aCall.timeoutMs_);
  request.organisation_ = aCall.organisation_;
  request.entryHost_ = aCall.entryHost_;
  request.attempt_ = aCall.attempt_;
  if (request.kind_ == RequestKind::kSubmit && !ReadJob(aCall.job_, request)) {
    return std::nullopt;
  }
  return request;
}

JobReply
ToReply(const cells::Answer& aAnswer)
{
  JobReply reply;
  reply.owned_ = true;
  reply.status_ = static_cast<int>(aAnswer.status_);
  reply.state_ = static_cast<int>(aAnswer.state_);
  reply.pending_ = aAnswer.pending_;
  reply.retryAfterMs_ = aAnswer.retryAfter_.count();
  reply.refusal_ = static_cast<int>(aAnswer.refusal_);
  return reply;
}

std::optional<cells::Answer>
FromReply(const JobReply& aReply)
{
  const auto state = jobs::ReadJobState(aReply.state_);
  if (!IsAnswerStatus(aReply.status_) || !state || aReply.pending_ < 0 ||
      aReply.retryAfterMs_ < 0 || aReply.retryAfterMs_ > kMaxRetryAfterMs ||
      !IsRefusalReason(aReply.refusal_)) {
    return std::nullopt;
  }
  cells::Answer answer;
  answer.status_ = static_cast<cells::AnswerStatus>(aReply.status_);
  answer.state_ = *state;
  answer.pending_ = aReply.pending_;
  answer.retryAfter_ = clock::Milliseconds(aReply.retryAfterMs_);
  answer.refusal_ = static_cast<cells::RefusalReason>(aReply.refusal_);
  return answer;
}

ReportCall
ToCall(const cells::CellReport& aReport)
{
  ReportCall call;
  call.service_ = aReport.service_;
  call.longRunningCores_ = aReport.longRunningCores_;
  call.longRunningMemory_ = aReport.longRunningMemory_;
  call.unschedulableTasks_ = aReport.unschedulableTasks_;
  call.urgentCores_ = aReport.urgentCores_;
  call.forecastCores_ = aReport.forecastCores_;
  for (const cells::WorkerReport& worker : aReport.workers_) {
    call.workers_.push_back(
      { worker.id_, worker.runs_, worker.hasLongRunning_, worker.cordoned_, worker.synchronized_ });
  }
  call.fence_ = aReport.fence_;
  call.sequence_ = aReport.sequence_;
  call.isSynchronized_ = aReport.isSynchronized_;
  for (const organisations::Demand& demand : aReport.organisations_) {
    call.organisations_.push_back(ToEntry(demand));
  }
  return call;
}

std::optional<cells::CellReport>
FromCall(const ReportCall& aCall)
{
  if (!HasValidAmounts(aCall)) {
    return std::nullopt;
  }
  cells::CellReport report;
  report.service_ = aCall.service_;
  report.longRunningCores_ = aCall.longRunningCores_;
  report.longRunningMemory_ = aCall.longRunningMemory_;
  report.unschedulableTasks_ = aCall.unschedulableTasks_;
  report.urgentCores_ = aCall.urgentCores_;
  report.forecastCores_ = aCall.forecastCores_;
  for (const WorkerEntry& worker : aCall.workers_) {
    report.workers_.push_back(
      { worker.id_, worker.runs_, worker.hasLongRunning_, worker.cordoned_, worker.synchronized_ });
  }
  report.fence_ = aCall.fence_;
  report.sequence_ = aCall.sequence_;
  report.isSynchronized_ = aCall.isSynchronized_;
  for (const DemandEntry& demand : aCall.organisations_) {
    report.organisations_.push_back(FromEntry(demand));
  }
  return report;
}

ReportReply
ToReply(const CellOrders& aOrders)
{
  ReportReply reply{ true, aOrders.cordoned_,  aOrders.evict_,          aOrders.terminated_,
                     {},   aOrders.hasGrants_, aOrders.listAge_.count() };
  for (const organisations::Grant& grant : aOrders.grants_) {
    reply.grants_.push_back({ grant.organisation_, ToEntry(grant.limit_) });
  }
  return reply;
}

std::optional<CellOrders>
FromReply(const ReportReply& aReply)
{
  CellOrders orders;
  orders.cordoned_ = aReply.cordoned_;
  orders.evict_ = aReply.evict_;
  orders.terminated_ = aReply.terminated_;
  orders.hasGrants_ = aReply.hasGrants_;
  if (aReply.listAgeMs_) {
    orders.listAge_ = clock::Milliseconds(*aReply.listAgeMs_);
  }
  for (const GrantEntry& grant : aReply.grants_) {
    if (!IsUsable(grant.limit_)) {
      return std::nullopt;
    }
    orders.grants_.push_back({ grant.organisation_, FromEntry(grant.limit_) });
  }
  return orders;
}

} // namespace quetzal::node
