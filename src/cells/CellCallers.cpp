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
  write.done_ = [this,
                 id,
                 caller = aSubmission.organisation_,
                 entryHost = aSubmission.entryHost_,
                 attempt = aSubmission.attempt_](const WriteResult& aResult) {
    const auto waiters = submitting_.extract(id);
    jobs::Job* submitted = jobs_.Find(id);
    Answer answer{ AnswerStatus::kUnknownOutcome };
    if (aResult.outcome_ == WriteOutcome::kStored && submitted != nullptr) {
      jobs::Job& stored = *submitted;
      stored.stored_ = true;
      jobs::OpenDueOccurrences(stored, UnixMs());
      jobs_.Update(stored);
      if (!stored.longRunning_ && stored.spec_.repetitions_ == 0) {
        arrivals_.push_back({ Now(), stored.estimatedCoreSeconds_ });
      }
      log::Info("cell",
                "event=job-accepted cell=",
                service_,
                " job=",
                id,
                " queue=",
                stored.queue_,
                " work=",
                stored.estimatedCoreSeconds_,
                " from=",
                entryHost,
                " attempt=",
                attempt);
      context_.metrics_->Add("quetzal_jobs_accepted_total", { { "service", service_ } });
      answer.status_ = AnswerStatus::kAccepted;
      SchedulePlacement();
    } else if (aResult.outcome_ == WriteOutcome::kRefused) {
      jobs_.Remove(id);
      answer = { AnswerStatus::kRefused, {}, 0, kRetryAfter };
    } else if (aResult.outcome_ == WriteOutcome::kConflict) {
      // The job was cancelled first, or the same job was submitted earlier, to the cell that its
      // queue belonged to at that time.
      jobs_.Remove(id);
      answer = AnswerToStored(caller, id, aResult.existing_);
    }
    if (!waiters.empty()) {
      for (const AnswerCallback& waiter : waiters.mapped()) {
        waiter(answer);
      }
    }
  };
  writer_.Add(id, std::move(write), kAcceptDelay);
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
  jobs::Job& job = *found;
  cancelling_[aId].push_back(std::move(aDone));
  if (job.ending_) {
    return;
  }
  log::Info("cell", "event=job-cancel cell=", service_, " job=", aId, " placed=", job.placedTasks_);
  StopTasks(job);
  FinishJob(job, jobs::JobState::kCancelled, {});
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
