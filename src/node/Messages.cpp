#include "src/node/Messages.h"

namespace quetzal::node {

JobCall
ToCall(const JobRequest& aRequest)
{
  JobCall call;
  call.kind_ = static_cast<int>(aRequest.kind_);
  call.cell_ = aRequest.cell_;
  call.queue_ = aRequest.queue_;
  call.id_ = aRequest.id_;
  call.timeoutMs_ = aRequest.timeout_.count();
  if (aRequest.kind_ == RequestKind::kSubmit) {
    call.job_ =
      jobs::Encode(jobs::MakeJobRecord(aRequest.cell_, aRequest.queue_, aRequest.spec_, 0));
  }
  return call;
}

JobRequest
FromCall(const JobCall& aCall)
{
  JobRequest request;
  request.kind_ = static_cast<RequestKind>(aCall.kind_);
  request.cell_ = aCall.cell_;
  request.queue_ = aCall.queue_;
  request.id_ = aCall.id_;
  request.timeout_ = clock::Milliseconds(aCall.timeoutMs_);
  jobs::JobRecord record;
  if (!aCall.job_.empty() && jobs::Decode(aCall.job_, record)) {
    request.spec_ = jobs::SpecOf(record);
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
  return reply;
}

cells::Answer
FromReply(const JobReply& aReply)
{
  cells::Answer answer;
  answer.status_ = static_cast<cells::AnswerStatus>(aReply.status_);
  answer.state_ = static_cast<jobs::JobState>(aReply.state_);
  answer.pending_ = aReply.pending_;
  answer.retryAfter_ = clock::Milliseconds(aReply.retryAfterMs_);
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
  return call;
}

cells::CellReport
FromCall(const ReportCall& aCall)
{
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
  return report;
}

} // namespace quetzal::node
