#include "include/quetzal/node/RequestRouter.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "src/node/Messages.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>

namespace quetzal::node {
namespace {

using clock::Now;

constexpr clock::Milliseconds kVacantRetryAfter{ 1'000 };
/** Delay between attempts of a request whose outcome is unknown. */
constexpr clock::Milliseconds kAttemptDelay{ 150 };

clock::Milliseconds
TimeSince(clock::Moment aMoment)
{
  return std::chrono::duration_cast<clock::Milliseconds>(Now() - aMoment);
}

/** Logs that a request is sent to an owner again. The first attempt needs no line of its own. */
void
LogRepetition(const JobRequest& aRequest, const std::string& aOwner)
{
  if (aRequest.attempt_ > 1) {
    log::Info("node",
              "event=request-repeated job=",
              aRequest.id_,
              " kind=",
              static_cast<int>(aRequest.kind_),
              " attempt=",
              aRequest.attempt_,
              " owner=",
              aOwner);
  }
}

/** Returns whether a refusal is not final, because the owner that refuses may still carry out an
 * earlier attempt of the same request. */
bool
IsDoubtful(const JobRequest& aRequest, const cells::Answer& aAnswer, const std::string& aOwner)
{
  return aAnswer.status_ == cells::AnswerStatus::kRefused && aRequest.doubtfulOwner_ == aOwner;
}

void
HandleInCell(cells::Cell& aCell, const JobRequest& aRequest, cells::AnswerCallback aDone)
{
  switch (aRequest.kind_) {
    case RequestKind::kSubmit:
      aCell.Submit({ aRequest.queue_,
                     aRequest.id_,
                     aRequest.spec_,
                     aRequest.terms_,
                     aRequest.organisation_,
                     aRequest.entryHost_,
                     aRequest.attempt_ },
                   std::move(aDone));
      return;
    case RequestKind::kGetState:
      aCell.Show(aRequest.id_, aRequest.organisation_, aDone);
      return;
    case RequestKind::kCancel:
      aCell.Cancel(aRequest.id_, aRequest.organisation_, std::move(aDone));
      return;
    case RequestKind::kCountPending:
      cells::Answer answer;
      answer.status_ = cells::AnswerStatus::kCounted;
      answer.pending_ = aCell.PendingOf(aRequest.queue_);
      aDone(answer);
      return;
  }
}

/** Returns whether a request is a cancel from a host of an earlier release. Such a host names no
 * entry host, and stores no tombstone itself if the owner does not know the job. */
bool
LeavesTombstoneToOwner(const JobRequest& aRequest)
{
  return aRequest.kind_ == RequestKind::kCancel && aRequest.entryHost_.empty();
}

/** Returns the answer to a cancel whose job the cell's owner does not know. With kUnknownJob, the
 * job may still exist in another cell. */
cells::Answer
AnswerTo(TombstoneOutcome aOutcome)
{
  switch (aOutcome) {
    case TombstoneOutcome::kStored:
    case TombstoneOutcome::kJobExists:
      return { cells::AnswerStatus::kUnknownJob };
    case TombstoneOutcome::kForbidden:
      return { cells::AnswerStatus::kForbidden };
    case TombstoneOutcome::kRefused:
      return MakeRefusal();
    case TombstoneOutcome::kUnknown:
      break;
  }
  return { cells::AnswerStatus::kUnknownOutcome };
}

} // namespace

cells::Answer
MakeRefusal()
{
  cells::Answer answer;
  answer.status_ = cells::AnswerStatus::kRefused;
  answer.retryAfter_ = kVacantRetryAfter;
  return answer;
}

RequestRouter::RequestRouter(std::string aSelf, RouterPorts aPorts, QObject* aParent)
  : QObject(aParent)
  , self_(std::move(aSelf))
  , ports_(std::move(aPorts))
  , requests_(nullptr)
  , tombstones_(*ports_.store_, *ports_.metrics_, nullptr)
{
}

std::uint64_t
RequestRouter::Handle(const JobRequest& aRequest, cells::AnswerCallback aDone)
{
  JobRequest request = aRequest;
  request.entryHost_ = self_;
  const cells::AnswerCallback done = requests_.Add(request, std::move(aDone));
  Route(request, done);
  return requests_.IsOpen(request.number_) ? request.number_ : 0;
}

void
RequestRouter::HandleCall(const std::string& aBody,
                          const std::function<void(const std::string&)>& aReply)
{
  JobCall call;
  const auto request = jobs::Decode(aBody, call) ? FromCall(call) : std::nullopt;
  if (!request) {
    log::Warn("node", "event=call-ignored kind=", call.kind_, " bytes=", aBody.size());
  }
  cells::Cell* cell = request ? ports_.ownCell_(request->cell_) : nullptr;
  if (cell == nullptr) {
    aReply(jobs::Encode(JobReply{}));
    return;
  }
  const cells::AnswerCallback reply = [aReply](const cells::Answer& aAnswer) {
    aReply(jobs::Encode(ToReply(aAnswer)));
  };
  if (!LeavesTombstoneToOwner(*request)) {
    HandleInCell(*cell, *request, reply);
    return;
  }
  const QPointer<RequestRouter> self(this);
  HandleInCell(*cell, *request, [self, request = *request, reply](const cells::Answer& aAnswer) {
    if (!self || aAnswer.status_ != cells::AnswerStatus::kUnknownJob) {
      reply(aAnswer);
      return;
    }
    self->tombstones_.Store(
      request.id_, request.organisation_, [reply](const TombstoneResult& aResult) {
        reply(AnswerTo(aResult.outcome_));
      });
  });
}

void
RequestRouter::Route(const JobRequest& aRequest, const cells::AnswerCallback& aDone)
{
  if (!requests_.IsOpen(aRequest.number_)) {
    return; // A submission must not run after its caller was answered, and may have cancelled it.
  }
  if (cells::Cell* cell = ports_.ownCell_(aRequest.cell_)) {
    LogRepetition(aRequest, self_);
    requests_.SetStage(aRequest.number_, RequestStage::kOwnCell);
    HandleInCell(
      *cell, aRequest, [this, aRequest, aDone, sentAt = Now()](const cells::Answer& aAnswer) {
        OnAnswer(aRequest, sentAt, aAnswer, aDone);
      });
    return;
  }
  const auto owner = ports_.membership_->OwnerOf(aRequest.cell_);
  if (owner && owner->owner_ != self_) {
    SendToOwner(*owner, aRequest, aDone);
    return;
  }
  if (aRequest.kind_ == RequestKind::kGetState) {
    AnswerFromStore(aRequest, aDone, true);
    return;
  }
  if (aRequest.outcomeUnknown_) {
    JobRequest retry = aRequest;
    retry.timeout_ -= kAttemptDelay;
    Retry(retry, aDone);
    return;
  }
  aDone(MakeRefusal());
}

void
RequestRouter::OnAnswer(const JobRequest& aRequest,
                        clock::Moment aSentAt,
                        const cells::Answer& aAnswer,
                        const cells::AnswerCallback& aDone)
{
  // A job stays in the cell that accepted it even if its queue has moved; the job's record in the
  // store names the cell.
  const bool isUnknown = aAnswer.status_ == cells::AnswerStatus::kUnknownJob;
  if (isUnknown && aRequest.kind_ == RequestKind::kGetState) {
    AnswerFromStore(aRequest, aDone, false);
    return;
  }
  if (isUnknown && aRequest.kind_ == RequestKind::kCancel) {
    StoreTombstone(aRequest, aDone);
    return;
  }
  if (aAnswer.status_ == cells::AnswerStatus::kUnknownOutcome &&
      aRequest.kind_ != RequestKind::kGetState) {
    // If an own cell is dropped, its next owner can determine the outcome of its requests.
    JobRequest retry = aRequest;
    retry.outcomeUnknown_ = true;
    retry.timeout_ -= TimeSince(aSentAt);
    Retry(retry, aDone);
    return;
  }
  aDone(aAnswer);
}

void
RequestRouter::SendToOwner(const jobs::OwnerRecord& aOwner,
                           const JobRequest& aRequest,
                           const cells::AnswerCallback& aDone)
{
  const settings::Endpoint peer{ aOwner.address_, static_cast<std::uint16_t>(aOwner.port_) };
  LogRepetition(aRequest, aOwner.owner_);
  requests_.SetStage(aRequest.number_, RequestStage::kOwner, aOwner.owner_);
  ports_.links_->Call(
    peer,
    PeerMethod::kJob,
    jobs::Encode(ToCall(aRequest)),
    aRequest.timeout_,
    [this, incarnation = aOwner.incarnation_, aRequest, aDone, sentAt = Now()](
      const CallResult& aResult) { OnOwnersReply(incarnation, aRequest, sentAt, aResult, aDone); });
}

void
RequestRouter::OnOwnersReply(const std::string& aIncarnation,
                             const JobRequest& aRequest,
                             clock::Moment aSentAt,
                             const CallResult& aResult,
                             const cells::AnswerCallback& aDone)
{
  JobReply reply;
  const bool hasReply = aResult.failure_ == CallFailure::kNone;
  const auto decoded =
    hasReply && jobs::Decode(aResult.body_, reply) ? FromReply(reply) : std::nullopt;
  const bool isReadable = decoded.has_value();
  if (hasReply && !isReadable) {
    log::Warn("node", "event=reply-ignored job=", aRequest.id_, " status=", reply.status_);
  }
  const bool isAnswered = isReadable && reply.owned_;
  const cells::Answer answer = decoded.value_or(cells::Answer{});
  if (isAnswered && answer.status_ != cells::AnswerStatus::kUnknownOutcome &&
      !IsDoubtful(aRequest, answer, aIncarnation)) {
    OnAnswer(aRequest, aSentAt, answer, aDone);
    return;
  }
  if (aRequest.kind_ == RequestKind::kGetState) {
    AnswerFromStore(aRequest, aDone, true);
    return;
  }
  JobRequest retry = aRequest;
  retry.timeout_ -= TimeSince(aSentAt) + kAttemptDelay;
  retry.outcomeUnknown_ = aRequest.outcomeUnknown_ || isAnswered || hasReply != isReadable ||
                          aResult.failure_ == CallFailure::kNoAnswer;
  const bool isElsewhere = isReadable && !reply.owned_;
  if (retry.outcomeUnknown_ && !isElsewhere) {
    retry.doubtfulOwner_ = aIncarnation;
  }
  Retry(retry, aDone);
}

void
RequestRouter::Retry(const JobRequest& aRequest, const cells::AnswerCallback& aDone)
{
  if (!requests_.IsOpen(aRequest.number_)) {
    return; // The caller has its answer, as the request's time is over.
  }
  // If nothing can have been stored, the request is refused at once and the caller may retry.
  if (!aRequest.outcomeUnknown_) {
    aDone(MakeRefusal());
    return;
  }
  if (aRequest.timeout_ <= kAnswerMargin) {
    log::Warn("node", "event=outcome-unknown job=", aRequest.id_, " cell=", aRequest.cell_);
    aDone({ cells::AnswerStatus::kUnknownOutcome });
    return;
  }
  // The next attempt has the same job id, so whichever host then owns the cell knows whether the
  // job is stored.
  requests_.SetStage(aRequest.number_, RequestStage::kRetry);
  JobRequest next = aRequest;
  ++next.attempt_;
  QTimer::singleShot(kAttemptDelay, this, [this, next, aDone] { Route(next, aDone); });
}

void
RequestRouter::AnswerFromStore(const JobRequest& aRequest,
                               const cells::AnswerCallback& aDone,
                               bool aFinal)
{
  requests_.SetStage(aRequest.number_, RequestStage::kStore);
  const QPointer<RequestRouter> self(this);
  ports_.store_->Get(cells::JobKey(aRequest.id_),
                     [self, aRequest, aDone, aFinal](const store::ReadResult& aResult) {
                       if (self) {
                         self->OnRecordRead(aRequest, aResult, aDone, aFinal);
                       }
                     });
}

void
RequestRouter::OnRecordRead(const JobRequest& aRequest,
                            const store::ReadResult& aResult,
                            const cells::AnswerCallback& aDone,
                            bool aFinal)
{
  const bool isCancel = aRequest.kind_ == RequestKind::kCancel;
  if (aResult.status_ != store::Status::kSucceeded) {
    aDone({ cells::AnswerStatus::kUnknownOutcome });
  } else if (!aResult.items_.empty()) {
    AnswerFromRecord(aRequest, aResult.items_.front().value_, aDone, aFinal);
  } else if (isCancel) {
    aDone(MakeRefusal()); // Nothing keeps a submission from being accepted later.
  } else {
    aDone({ cells::AnswerStatus::kUnknownJob });
  }
}

void
RequestRouter::AnswerFromRecord(const JobRequest& aRequest,
                                const std::string& aBytes,
                                const cells::AnswerCallback& aDone,
                                bool aFinal)
{
  const bool isCancel = aRequest.kind_ == RequestKind::kCancel;
  jobs::JobRecord record;
  if (!jobs::Decode(aBytes, record)) {
    // A tombstone, which a cancel cannot renew now, or a record of a later version.
    aDone(isCancel ? MakeRefusal() : cells::Answer{ cells::AnswerStatus::kUnknownJob });
    return;
  }
  if (!organisations::MayAccess(aRequest.organisation_, record.organisation_)) {
    aDone({ cells::AnswerStatus::kForbidden });
    return;
  }
  const auto known = jobs::ReadJobState(record.state_);
  if (!known) {
    // Another version of this program may have written it.
    log::Warn("node", "event=job-ignored job=", aRequest.id_, " state=", record.state_);
    aDone({ cells::AnswerStatus::kUnknownOutcome });
    return;
  }
  const jobs::JobState state = *known;
  if (!jobs::IsFinal(state) && !aFinal && record.cell_ != aRequest.cell_) {
    JobRequest moved = aRequest;
    moved.cell_ = record.cell_;
    Route(moved, aDone);
    return;
  }
  if (!isCancel) {
    aDone({ cells::AnswerStatus::kFound, state });
    return;
  }
  aDone({ jobs::IsFinal(state) ? cells::AnswerStatus::kCancelled
                               : cells::AnswerStatus::kUnknownOutcome });
}

void
RequestRouter::StoreTombstone(const JobRequest& aRequest, const cells::AnswerCallback& aDone)
{
  requests_.SetStage(aRequest.number_, RequestStage::kTombstone);
  tombstones_.Store(
    aRequest.id_, aRequest.organisation_, [this, aRequest, aDone](const TombstoneResult& aResult) {
      OnTombstone(aRequest, aResult, aDone);
    });
}

void
RequestRouter::OnTombstone(const JobRequest& aRequest,
                           const TombstoneResult& aResult,
                           const cells::AnswerCallback& aDone)
{
  switch (aResult.outcome_) {
    case TombstoneOutcome::kJobExists:
      AnswerFromRecord(aRequest, aResult.record_, aDone, false);
      return;
    case TombstoneOutcome::kRefused:
      AnswerFromStore(aRequest, aDone, false); // The job may exist in another cell.
      return;
    default:
      aDone(AnswerTo(aResult.outcome_));
      return;
  }
}

} // namespace quetzal::node
