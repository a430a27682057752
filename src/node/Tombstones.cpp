#include "include/quetzal/node/Tombstones.h"

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <algorithm>
#include <array>

namespace quetzal::node {
namespace {

using clock::Now;

/** A lease is given no more tombstones once less than this is left of it. The difference to
 * kMinTombstoneLifetime is what a commit may take. */
constexpr clock::Milliseconds kMinLeaseLeft{ 180'000 };
/** More requests than this are refused, so that a crowd of them does not fill the store's queue. */
constexpr std::size_t kMaxUnfinished = 32;
/** Commits of one request, after which its outcome is unknown. */
constexpr int kMaxCommits = 4;

} // namespace

const char*
ToString(TombstoneOutcome aOutcome)
{
  static constexpr std::array kNames{ "stored", "job-exists", "forbidden", "refused", "unknown" };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

Tombstones::Tombstones(store::SharedStore& aStore, metrics::Registry& aMetrics, QObject* aParent)
  : QObject(aParent)
  , store_(aStore)
  , metrics_(aMetrics)
{
}

void
Tombstones::Store(const std::string& aJob,
                  const std::string& aOrganisation,
                  TombstoneCallback aDone)
{
  if (unfinished_ >= kMaxUnfinished || !TakeTombstone(budget_, aOrganisation, Now())) {
    log::Info("node", "event=tombstone-refused job=", aJob, " unfinished=", unfinished_);
    metrics_.Add("quetzal_tombstones_total", { { "outcome", "over-budget" } });
    aDone({ TombstoneOutcome::kRefused, {} });
    return;
  }
  ++unfinished_;
  CommitOrWait({ aJob, aOrganisation, std::move(aDone) });
}

bool
Tombstones::MayUseLease() const
{
  return lease_ && lease_->endsAt_ - Now() >= kMinLeaseLeft;
}

void
Tombstones::CommitOrWait(Request aRequest)
{
  if (MayUseLease()) {
    Commit(std::move(aRequest));
    return;
  }
  waiting_.push_back(std::move(aRequest));
  if (!requestingLease_) {
    RequestLease();
  }
}

void
Tombstones::Commit(Request aRequest)
{
  if (++aRequest.commits_ > kMaxCommits) {
    Finish(aRequest, { TombstoneOutcome::kUnknown, {} });
    return;
  }
  const std::string key = cells::JobKey(aRequest.job_);
  const jobs::TombstoneRecord record{ {},
                                      clock::UnixMs(),
                                      organisations::OwnerFor(aRequest.organisation_) };
  store::Transaction change;
  change.expected_.push_back({ key, aRequest.expectedRevision_ });
  change.puts_.push_back({ key, jobs::Encode(record), lease_->id_ });
  const QPointer<Tombstones> self(this);
  store_.Commit(change, [self, aRequest, lease = *lease_](const store::CommitResult& aResult) {
    if (self) {
      self->OnCommitted(aRequest, lease, aResult);
    }
  });
}

void
Tombstones::OnCommitted(Request aRequest, const Lease& aLease, const store::CommitResult& aResult)
{
  switch (aResult.status_) {
    case store::Status::kSucceeded:
      // A process that was paused may have sent the commit when the lease was about to end.
      Finish(aRequest,
             { aLease.endsAt_ - Now() >= kMinTombstoneLifetime ? TombstoneOutcome::kStored
                                                               : TombstoneOutcome::kUnknown,
               {} });
      return;
    case store::Status::kConflict:
      OnConflict(std::move(aRequest), aResult);
      return;
    case store::Status::kLeaseEnded:
      if (lease_ && lease_->id_ == aLease.id_) {
        lease_.reset();
      }
      CommitOrWait(std::move(aRequest));
      return;
    case store::Status::kRefused:
      // An earlier commit of the request may have been carried out, or may still be.
      Finish(
        aRequest,
        { aRequest.isDoubtful_ ? TombstoneOutcome::kUnknown : TombstoneOutcome::kRefused, {} });
      return;
    default:
      aRequest.isDoubtful_ = true;
      CommitOrWait(std::move(aRequest));
      return;
  }
}

void
Tombstones::OnConflict(Request aRequest, const store::CommitResult& aResult)
{
  if (aResult.current_.empty()) {
    aRequest.expectedRevision_ = 0; // The tombstone that was to be renewed is gone.
    CommitOrWait(std::move(aRequest));
    return;
  }
  const store::KeyValue& item = aResult.current_.front();
  const auto tombstone = jobs::ReadTombstone(item.value_);
  if (!tombstone) {
    Finish(aRequest, { TombstoneOutcome::kJobExists, item.value_ });
    return;
  }
  if (!organisations::MayAccess(aRequest.organisation_, tombstone->organisation_)) {
    Finish(aRequest, { TombstoneOutcome::kForbidden, {} });
    return;
  }
  aRequest.expectedRevision_ = item.modRevision_;
  CommitOrWait(std::move(aRequest));
}

void
Tombstones::RequestLease()
{
  requestingLease_ = true;
  const QPointer<Tombstones> self(this);
  store_.GrantLease(kTombstoneTerm, [self, sentAt = Now()](const store::LeaseResult& aResult) {
    if (self) {
      self->OnLease(sentAt, aResult);
    }
  });
}

void
Tombstones::OnLease(clock::Moment aSentAt, const store::LeaseResult& aResult)
{
  requestingLease_ = false;
  const bool isGranted = aResult.status_ == store::Status::kSucceeded && aResult.lease_ != 0;
  if (isGranted) {
    lease_ = Lease{ aResult.lease_, aSentAt + aResult.term_ };
    log::Info("node",
              "event=tombstone-lease lease=",
              aResult.lease_,
              " term_ms=",
              aResult.term_.count(),
              " waiting=",
              waiting_.size());
  }
  std::vector<Request> waiting;
  waiting.swap(waiting_);
  for (Request& request : waiting) {
    if (MayUseLease()) {
      Commit(std::move(request));
    } else {
      Finish(request, { TombstoneOutcome::kRefused, {} });
    }
  }
}

void
Tombstones::Finish(const Request& aRequest, const TombstoneResult& aResult)
{
  --unfinished_;
  log::Info("node",
            "event=tombstone job=",
            aRequest.job_,
            " outcome=",
            ToString(aResult.outcome_),
            " commits=",
            aRequest.commits_);
  metrics_.Add("quetzal_tombstones_total", { { "outcome", ToString(aResult.outcome_) } });
  aRequest.done_(aResult);
}

} // namespace quetzal::node
