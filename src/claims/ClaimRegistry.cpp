#include "include/quetzal/claims/ClaimRegistry.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quetzal::claims {
namespace {

using clock::Now;
using platform::StoreResult;
using platform::StoreStatus;

/** The most claims or updates in one write. The store allows at most 128 operations in a
 * transaction. */
constexpr std::size_t kMaxWriteBatch = 64;
/** Updates held while the store is unreachable. Beyond this number, the oldest are dropped. */
constexpr std::size_t kMaxPendingUpdates = 20'000;
constexpr clock::Milliseconds kDeadlineCheckInterval{ 10 };
constexpr clock::Milliseconds kOutageRetryDelay{ 200 };
/** The retention time is divided into this many parts, and a new lease is requested for each. */
constexpr int kLeasesPerRetention = 6;

} // namespace

ClaimRegistry::ClaimRegistry(platform::KeyValueStore& aStore,
                             const ClaimOptions& aOptions,
                             metrics::Registry& aMetrics,
                             QObject* aParent)
  : QObject(aParent)
  , store_(aStore)
  , options_(aOptions)
  , metrics_(aMetrics)
{
  writeTimer_.setSingleShot(true);
  writeTimer_.setTimerType(Qt::PreciseTimer);
  connect(&writeTimer_, &QTimer::timeout, this, &ClaimRegistry::Write);
  connect(&deadlineTimer_, &QTimer::timeout, this, &ClaimRegistry::DropExpired);
}

std::string
ClaimRegistry::ClaimantOf(const ClaimRequest& aRequest) const
{
  return options_.process_ + "/" + std::to_string(aRequest.request_);
}

ClaimRecord
ClaimRegistry::RecordOf(const ClaimRequest& aRequest) const
{
  return { ClaimState::kClaimed, ClaimantOf(aRequest), aRequest.fingerprint_, 0, {}, {} };
}

std::string
ClaimRegistry::StoreKeyOf(const ClaimRequest& aRequest) const
{
  return ClaimKey(options_.environment_, aRequest.service_, aRequest.key_);
}

void
ClaimRegistry::Claim(const ClaimRequest& aRequest)
{
  waitingClaims_.push_back(aRequest);
  if (!deadlineTimer_.isActive()) {
    deadlineTimer_.start(kDeadlineCheckInterval);
  }
  ScheduleWrite();
}

void
ClaimRegistry::Release(const ClaimRequest& aRequest)
{
  updates_.push_back({ StoreKeyOf(aRequest), Encode(RecordOf(aRequest)), {} });
  ScheduleWrite();
}

void
ClaimRegistry::Complete(const ClaimRequest& aRequest, const http::Response& aAnswer)
{
  const ClaimRecord claim = RecordOf(aRequest);
  const auto answered = RecordAnswer(claim, aAnswer);
  if (answered) {
    updates_.push_back({ StoreKeyOf(aRequest), Encode(claim), Encode(*answered) });
    ScheduleWrite();
  }
}

void
ClaimRegistry::ScheduleWrite()
{
  if (updates_.size() > kMaxPendingUpdates) {
    updates_.pop_front();
    metrics_.Add("quetzal_claim_updates_dropped_total");
  }
  if (writeInFlight_ || writeTimer_.isActive()) {
    return;
  }
  const auto next = lastWriteAt_ + WriteInterval(options_.entryHosts_);
  const auto wait = std::chrono::duration_cast<clock::Milliseconds>(next - Now());
  writeTimer_.start(std::max(wait, clock::Milliseconds(0)));
}

void
ClaimRegistry::Write()
{
  if (writeInFlight_) {
    return;
  }
  EnsureLease();
  lastWriteAt_ = Now();
  const bool canClaim = !waitingClaims_.empty() && lease_ != 0;
  // Claims and updates are written in turn, so that neither delays the other for long.
  if (canClaim && (updates_.empty() || !lastWriteWasClaims_)) {
    lastWriteWasClaims_ = true;
    WriteClaims(TakeClaimBatch());
    return;
  }
  lastWriteWasClaims_ = false;
  if (updates_.empty()) {
    return;
  }
  const std::size_t count = oneUpdatePerWrite_ ? 1 : std::min(updates_.size(), kMaxWriteBatch);
  std::vector<Update> batch;
  std::set<std::string> keys;
  while (batch.size() < count && !updates_.empty() &&
         keys.insert(updates_.front().storeKey_).second) {
    batch.push_back(std::move(updates_.front()));
    updates_.pop_front();
  }
  WriteUpdates(std::move(batch));
}

void
ClaimRegistry::EnsureLease()
{
  const auto leaseUse = options_.retention_ / kLeasesPerRetention;
  const bool due = lease_ == 0 || Now() >= leaseGrantedAt_ + leaseUse;
  if (!due || requestingLease_) {
    return;
  }
  requestingLease_ = true;
  store_.GrantLease(options_.retention_ + leaseUse, [this](const StoreResult& aResult) {
    requestingLease_ = false;
    if (aResult.status_ == StoreStatus::kSucceeded) {
      lease_ = aResult.lease_;
      leaseGrantedAt_ = Now();
    }
    const bool retry = lease_ == 0 && !waitingClaims_.empty();
    if (retry) {
      QTimer::singleShot(kOutageRetryDelay, this, &ClaimRegistry::ScheduleWrite);
    } else {
      ScheduleWrite();
    }
  });
}

std::vector<ClaimRequest>
ClaimRegistry::TakeClaimBatch()
{
  std::vector<ClaimRequest> batch;
  std::deque<ClaimRequest> deferred;
  std::set<std::string> keys;
  while (!waitingClaims_.empty()) {
    ClaimRequest request = std::move(waitingClaims_.front());
    waitingClaims_.pop_front();
    // A transaction may put each key only once: a second submission with the same key waits for a
    // later write.
    const bool fits = batch.size() < kMaxWriteBatch && keys.insert(StoreKeyOf(request)).second;
    (fits ? batch.emplace_back() : deferred.emplace_back()) = std::move(request);
  }
  waitingClaims_ = std::move(deferred);
  return batch;
}

void
ClaimRegistry::WriteClaims(const std::vector<ClaimRequest>& aBatch)
{
  platform::Transaction transaction;
  for (const ClaimRequest& request : aBatch) {
    const std::string key = StoreKeyOf(request);
    transaction.compares_.push_back(platform::KeyIsAbsent(key));
    transaction.success_.push_back(platform::Put(key, Encode(RecordOf(request)), lease_));
    transaction.failure_.push_back(platform::Read(key));
  }
  writeInFlight_ = true;
  claimsInFlight_ = aBatch;
  metrics_.Add("quetzal_claim_writes_total");
  metrics_.Add("quetzal_claims_written_total", {}, static_cast<double>(aBatch.size()));
  store_.Commit(transaction, [this](const StoreResult& aResult) {
    writeInFlight_ = false;
    OnClaimsWritten(std::exchange(claimsInFlight_, {}), aResult);
    if (!waitingClaims_.empty() || !updates_.empty()) {
      ScheduleWrite();
    }
  });
}

void
ClaimRegistry::OnClaimsWritten(const std::vector<ClaimRequest>& aBatch, const StoreResult& aResult)
{
  switch (aResult.status_) {
    case StoreStatus::kSucceeded:
      for (const ClaimRequest& request : aBatch) {
        Decide(request, ClaimDecision::kGranted);
      }
      return;
    case StoreStatus::kCompareFailed:
      for (const ClaimRequest& request : aBatch) {
        DecideFound(request, aResult);
      }
      return;
    case StoreStatus::kRefused:
      // The lease may have been lost with the store's state: a new lease is requested.
      lease_ = 0;
      [[fallthrough]];
    case StoreStatus::kUnreachable:
      // The write may have taken effect. Writing the same claims again shows whether it has.
      metrics_.Add("quetzal_claim_write_retries_total");
      waitingClaims_.insert(waitingClaims_.begin(), aBatch.begin(), aBatch.end());
      return;
  }
}

void
ClaimRegistry::DecideFound(const ClaimRequest& aRequest, const StoreResult& aResult)
{
  const std::string key = StoreKeyOf(aRequest);
  const auto found = std::find_if(aResult.read_.begin(),
                                  aResult.read_.end(),
                                  [&key](const auto& aItem) { return aItem.key_ == key; });
  if (found == aResult.read_.end()) {
    waitingClaims_.push_back(aRequest);
    return;
  }
  const auto record = DecodeClaim(found->value_);
  if (!record) {
    Decide(aRequest, ClaimDecision::kHeld);
    return;
  }
  const ClaimDecision decision = DecideClaim(record, ClaimantOf(aRequest), aRequest.fingerprint_);
  Decide(
    aRequest, decision, decision == ClaimDecision::kReplay ? ReplayOf(*record) : http::Response{});
}

void
ClaimRegistry::WriteUpdates(std::vector<Update> aBatch)
{
  platform::Transaction transaction;
  for (const Update& update : aBatch) {
    transaction.compares_.push_back(platform::KeyHasValue(update.storeKey_, update.expectedValue_));
    transaction.success_.push_back(update.newValue_.empty()
                                     ? platform::Delete(update.storeKey_)
                                     : platform::Put(update.storeKey_, update.newValue_, lease_));
  }
  writeInFlight_ = true;
  metrics_.Add("quetzal_claim_writes_total");
  store_.Commit(transaction, [this, batch = std::move(aBatch)](const StoreResult& aResult) {
    writeInFlight_ = false;
    OnUpdatesWritten(batch, aResult);
  });
}

void
ClaimRegistry::OnUpdatesWritten(const std::vector<Update>& aBatch, const StoreResult& aResult)
{
  const bool failed = aResult.status_ == StoreStatus::kCompareFailed;
  if (aResult.status_ == StoreStatus::kUnreachable) {
    RequeueUpdates(aBatch);
    QTimer::singleShot(kOutageRetryDelay, this, &ClaimRegistry::ScheduleWrite);
    return;
  }
  if (failed && aBatch.size() > 1) {
    // One expired claim fails the whole transaction: the updates are then written one by one.
    RequeueUpdates(aBatch);
    oneUpdatePerWrite_ = true;
  } else if (!failed && updates_.empty()) {
    oneUpdatePerWrite_ = false;
  }
  if (!waitingClaims_.empty() || !updates_.empty()) {
    ScheduleWrite();
  }
}

void
ClaimRegistry::RequeueUpdates(const std::vector<Update>& aBatch)
{
  updates_.insert(updates_.begin(), aBatch.begin(), aBatch.end());
}

void
ClaimRegistry::DropExpired()
{
  const auto now = Now();
  std::deque<ClaimRequest> remaining;
  std::vector<ClaimRequest> expired;
  for (const ClaimRequest& request : waitingClaims_) {
    if (request.deadline_ > now) {
      remaining.push_back(request);
    } else {
      expired.push_back(request);
    }
  }
  waitingClaims_ = std::move(remaining);
  const auto expiredInFlight =
    std::stable_partition(claimsInFlight_.begin(),
                          claimsInFlight_.end(),
                          [now](const auto& aRequest) { return aRequest.deadline_ > now; });
  expired.insert(expired.end(), expiredInFlight, claimsInFlight_.end());
  claimsInFlight_.erase(expiredInFlight, claimsInFlight_.end());
  for (const ClaimRequest& request : expired) {
    // An earlier write may have taken effect, but the request was not sent to a backend server: the
    // key is released.
    Release(request);
    Decide(request, ClaimDecision::kUnavailable);
  }
  if (waitingClaims_.empty() && !writeInFlight_) {
    deadlineTimer_.stop();
  }
}

void
ClaimRegistry::Decide(const ClaimRequest& aRequest,
                      ClaimDecision aDecision,
                      const http::Response& aReplay)
{
  Q_EMIT Decided({ aRequest.request_, aDecision, aReplay });
}

} // namespace quetzal::claims
