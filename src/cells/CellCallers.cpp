#include "include/quetzal/cells/Cell.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <algorithm>

/** Callers' requests about jobs: submissions, their state and their cancelling. */
namespace quetzal::cells {
namespace {

using clock::Now;
using clock::UnixMs;

constexpr clock::Milliseconds kAcceptDelay{ 12 };
/** Time after which a caller whose job cannot be stored now is asked to retry. */
constexpr clock::Milliseconds kRetryAfter{ 1'000 };
/** A cancelled job may be submitted anew only once its tombstone is gone, after some minutes. */
constexpr clock::Milliseconds kCancelledRetryAfter{ 60'000 };

/** Returns the answer to a submission whose job was cancelled before it was accepted. */
Answer
AnswerToCancelled(const std::string& aCaller,
                  const std::string& aId,
                  const jobs::TombstoneRecord& aTombstone)
{
  const bool isOwn = organisations::MayAccess(aCaller, aTombstone.organisation_);
  log::Info("cell", "event=submission-of-cancelled job=", aId, " own=", isOwn);
  if (!isOwn) {
    return { AnswerStatus::kForbidden };
  }
  return { AnswerStatus::kRefused, {}, 0, kCancelledRetryAfter };
}

/** Returns the answer to a submission under whose id the store holds a record. */
Answer
AnswerToStored(const std::string& aCaller, const std::string& aId, const std::string& aBytes)
{
  if (const auto tombstone = jobs::ReadTombstone(aBytes)) {
    return AnswerToCancelled(aCaller, aId, *tombstone);
  }
  if (aCaller.empty()) {
    return { AnswerStatus::kAccepted };
  }
  jobs::JobRecord record;
  if (!jobs::Decode(aBytes, record)) {
    return { AnswerStatus::kUnknownOutcome }; // Another version may have written it, for anybody.
  }
  return { organisations::MayAccess(aCaller, record.organisation_) ? AnswerStatus::kAccepted
                                                                   : AnswerStatus::kForbidden };
}

SubmissionOrigin
OriginOf(const jobs::Submission& aSubmission)
{
  return { aSubmission.organisation_, aSubmission.entryHost_, aSubmission.attempt_ };
}

void
AnswerEach(const std::vector<AnswerCallback>& aCallbacks, const Answer& aAnswer)
{
  for (const AnswerCallback& callback : aCallbacks) {
    callback(aAnswer);
  }
}

} // namespace

void
Cell::Submit(const jobs::Submission& aSubmission, AnswerCallback aDone)
{
  const std::string& id = aSubmission.id_;
  if (IsForbidden(id, aSubmission.organisation_)) {
    aDone({ AnswerStatus::kForbidden });
    return;
  }
  const jobs::Job* known = jobs_.Find(id);
  if (jobs_.FindEnded(id) != nullptr || (known != nullptr && known->stored_)) {
    aDone({ AnswerStatus::kAccepted });
    return;
  }
  if (known != nullptr) {
    submitting_[id].push_back(std::move(aDone));
    return;
  }
  if (handingOver_ || writer_.IsStalled(Now())) {
    aDone({ AnswerStatus::kRefused, {}, 0, kRetryAfter });
    return;
  }
  jobs::Job job = jobs::MakeJob(id, aSubmission.queue_, aSubmission.spec_);
  job.terms_ = TermsAtAcceptance(aSubmission.queue_, aSubmission.terms_);
  job.organisation_ = organisations::OwnerFor(aSubmission.organisation_);
  job.arrivedAt_ = Now();
  job.acceptedMs_ = UnixMs();
  const jobs::Configuration& configuration = context_.platformState_->Configuration();
  CountSubmission(submissions_, configuration, job, job.arrivedAt_);
  if (const auto refusal = DecideRefusal(submissions_, jobs_.Loads(), job)) {
    LogRefusal(submissions_, service_, configuration, jobs_.Loads(), job, *refusal);
    RefuseUnlessStored(aSubmission, refusal->retryAfter_, std::move(aDone));
    return;
  }
  jobs::Submission accepted = aSubmission;
  accepted.terms_ = job.terms_;
  accepted.organisation_ = job.organisation_;
  const std::string record = jobs::Encode(jobs::MakeJobRecord(service_, accepted, job.acceptedMs_));
  jobs_.Add(std::move(job));
  submitting_[id].push_back(std::move(aDone));
  CellWrite write;
  write.mustBeAbsent_ = JobKey(id);
  write.mayBeRefused_ = true;
  write.puts_.push_back({ JobKey(id), record, 0 });
  write.done_ = [this, id, origin = OriginOf(aSubmission)](const WriteResult& aResult) {
    OnSubmissionWritten(id, origin, aResult);
  };
  writer_.Add(id, std::move(write), kAcceptDelay);
}

void
Cell::OnSubmissionWritten(const std::string& aId,
                          const SubmissionOrigin& aOrigin,
                          const WriteResult& aResult)
{
  const auto submissions = submitting_.extract(aId);
  const auto cancels = cancellingUnstored_.extract(aId);
  Answer answer{ AnswerStatus::kUnknownOutcome };
  Answer cancelAnswer{ AnswerStatus::kUnknownOutcome };
  jobs::Job* job = jobs_.Find(aId);
  const bool isStored = aResult.outcome_ == WriteOutcome::kStored && job != nullptr;
  if (isStored) {
    OnJobStored(*job, aOrigin);
    answer.status_ = AnswerStatus::kAccepted;
  } else if (aResult.outcome_ == WriteOutcome::kRefused) {
    jobs_.Remove(aId);
    answer = { AnswerStatus::kRefused, {}, 0, kRetryAfter };
    cancelAnswer.status_ = AnswerStatus::kUnknownJob;
  } else if (aResult.outcome_ == WriteOutcome::kConflict) {
    // The job was cancelled first, or the same job was submitted earlier, to the cell that its
    // queue belonged to at that time.
    jobs_.Remove(aId);
    answer = AnswerToStored(aOrigin.organisation_, aId, aResult.existing_);
    cancelAnswer.status_ = AnswerStatus::kUnknownJob;
  }
  if (!submissions.empty()) {
    AnswerEach(submissions.mapped(), answer);
  }
  if (cancels.empty()) {
    return;
  }
  if (isStored) {
    cancelling_[aId] = cancels.mapped();
    EndCancelledJob(*job);
    return;
  }
  AnswerEach(cancels.mapped(), cancelAnswer);
}

void
Cell::OnJobStored(jobs::Job& aJob, const SubmissionOrigin& aOrigin)
{
  aJob.stored_ = true;
  jobs::OpenDueOccurrences(aJob, UnixMs());
  jobs_.Update(aJob);
  if (!aJob.longRunning_ && aJob.spec_.repetitions_ == 0) {
    arrivals_.push_back({ Now(), aJob.estimatedCoreSeconds_ });
  }
  log::Info("cell",
            "event=job-accepted cell=",
            service_,
            " job=",
            aJob.id_,
            " queue=",
            aJob.queue_,
            " work=",
            aJob.estimatedCoreSeconds_,
            " from=",
            aOrigin.entryHost_,
            " attempt=",
            aOrigin.attempt_);
  context_.metrics_->Add("quetzal_jobs_accepted_total", { { "service", service_ } });
  SchedulePlacement();
}

bool
Cell::IsKnown(const std::string& aId) const
{
  return jobs_.Find(aId) != nullptr || jobs_.FindEnded(aId) != nullptr;
}

bool
Cell::IsForbidden(const std::string& aId, const std::string& aOrganisation) const
{
  if (const jobs::EndedJob* ended = jobs_.FindEnded(aId)) {
    return !organisations::MayAccess(aOrganisation, ended->organisation_);
  }
  const jobs::Job* job = jobs_.Find(aId);
  return job != nullptr && !organisations::MayAccess(aOrganisation, job->organisation_);
}

void
Cell::RefuseUnlessStored(const jobs::Submission& aSubmission,
                         clock::Milliseconds aRetryAfter,
                         AnswerCallback aDone)
{
  const QPointer<Cell> self(this);
  context_.store_->Get(
    JobKey(aSubmission.id_),
    [self, aSubmission, aRetryAfter, aDone = std::move(aDone)](const store::ReadResult& aResult) {
      if (self && self->IsKnown(aSubmission.id_)) {
        self->Submit(aSubmission, aDone); // Another attempt has been admitted meanwhile.
      } else if (aResult.status_ != store::Status::kSucceeded) {
        aDone({ AnswerStatus::kUnknownOutcome });
      } else if (aResult.items_.empty()) {
        aDone({ AnswerStatus::kRefused, {}, 0, aRetryAfter, RefusalReason::kOverRate });
      } else {
        aDone(AnswerToStored(
          aSubmission.organisation_, aSubmission.id_, aResult.items_.front().value_));
      }
    });
}

void
Cell::Show(const std::string& aId,
           const std::string& aOrganisation,
           const AnswerCallback& aDone) const
{
  if (IsForbidden(aId, aOrganisation)) {
    aDone({ AnswerStatus::kForbidden });
  } else if (const jobs::EndedJob* ended = jobs_.FindEnded(aId)) {
    aDone({ AnswerStatus::kFound, ended->state_ });
  } else if (const jobs::Job* job = jobs_.Find(aId)) {
    aDone({ AnswerStatus::kFound, job->state_ });
  } else {
    aDone({ AnswerStatus::kUnknownJob });
  }
}

void
Cell::Cancel(const std::string& aId, const std::string& aOrganisation, AnswerCallback aDone)
{
  if (IsForbidden(aId, aOrganisation)) {
    aDone({ AnswerStatus::kForbidden });
    return;
  }
  if (jobs_.FindEnded(aId) != nullptr) {
    aDone({ AnswerStatus::kCancelled });
    return;
  }
  jobs::Job* found = jobs_.Find(aId);
  if (found == nullptr) {
    aDone({ AnswerStatus::kUnknownJob });
    return;
  }
  if (!found->stored_) {
    // The store may refuse the job, or hold one of the same id that runs in another cell.
    cancellingUnstored_[aId].push_back(std::move(aDone));
    return;
  }
  cancelling_[aId].push_back(std::move(aDone));
  if (!found->ending_) {
    EndCancelledJob(*found);
  }
}

void
Cell::EndCancelledJob(jobs::Job& aJob)
{
  log::Info(
    "cell", "event=job-cancel cell=", service_, " job=", aJob.id_, " placed=", aJob.placedTasks_);
  StopTasks(aJob);
  FinishJob(aJob, jobs::JobState::kCancelled, {});
}

std::int64_t
Cell::PendingOf(const std::string& aQueue) const
{
  const auto& live = jobs_.Live();
  return std::count_if(live.begin(), live.end(), [&aQueue](const auto& aEntry) {
    const jobs::Job& job = aEntry.second;
    return job.queue_ == aQueue && job.stored_ && !job.started_ && !job.ending_;
  });
}

} // namespace quetzal::cells
