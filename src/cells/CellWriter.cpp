#include "include/quetzal/cells/CellWriter.h"

#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <algorithm>

namespace quetzal::cells {
namespace {

constexpr clock::Milliseconds kRetryDelay{ 120 };
/** The writer counts as stalled once the change in flight has had no answer for this time. */
constexpr clock::Milliseconds kStallTimeout{ 1'500 };
/** The writer counts as stalled for this time after the store refused a change. */
constexpr clock::Milliseconds kRefusalWindow{ 250 };
/** Each change has one expectation and one put of the write chain's key. */
constexpr std::size_t kChainEntries = 2;

std::size_t
EntriesOf(const CellWrite& aWrite)
{
  return aWrite.puts_.size() + aWrite.removes_.size() + (aWrite.mustBeAbsent_.empty() ? 0U : 1U);
}

const store::KeyValue*
FindItem(const std::vector<store::KeyValue>& aItems, const std::string& aKey)
{
  const auto found = std::find_if(
    aItems.begin(), aItems.end(), [&aKey](const auto& aItem) { return aItem.key_ == aKey; });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

CellWriter::CellWriter(store::SharedStore& aStore,
                       std::string aChainKey,
                       jobs::OwnerRecord aSelf,
                       std::int64_t aRevision,
                       QObject* aParent)
  : QObject(aParent)
  , store_(aStore)
  , chainKey_(std::move(aChainKey))
  , self_(std::move(aSelf))
  , chainRevision_(aRevision)
{
  timer_.setSingleShot(true);
  connect(&timer_, &QTimer::timeout, this, &CellWriter::Flush);
}

void
CellWriter::Add(CellWrite aWrite, clock::Milliseconds aDelay)
{
  if (ownershipLost_) {
    if (aWrite.done_) {
      aWrite.done_({ WriteOutcome::kOwnershipLost, {} });
    }
    return;
  }
  pending_.push_back(std::move(aWrite));
  const clock::Moment due = std::chrono::steady_clock::now() + aDelay;
  if (!timer_.isActive() || due < dueAt_) {
    dueAt_ = due;
    timer_.start(aDelay);
  }
}

void
CellWriter::SetRoster(std::vector<jobs::RosterEntry> aRoster,
                      clock::Milliseconds aDelay,
                      const std::function<void()>& aDone)
{
  self_.roster_ = std::move(aRoster);
  CellWrite write;
  write.done_ = [aDone](const WriteResult& aResult) {
    if (aResult.outcome_ == WriteOutcome::kStored) {
      aDone();
    }
  };
  Add(std::move(write), aDelay);
}

bool
CellWriter::IsStalled(clock::Moment aNow) const
{
  return (inFlight_ && aNow - firstSentAt_ > kStallTimeout) || aNow - refusedAt_ < kRefusalWindow;
}

void
CellWriter::Flush()
{
  if (inFlight_ || pending_.empty() || ownershipLost_) {
    return;
  }
  std::size_t entries = kChainEntries;
  batch_.clear();
  while (!pending_.empty() &&
         entries + EntriesOf(pending_.front()) <= store::kMaxTransactionEntries) {
    entries += EntriesOf(pending_.front());
    batch_.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  ++self_.sequence_;
  change_ = {};
  change_.expected_.push_back({ chainKey_, chainRevision_ });
  change_.puts_.push_back({ chainKey_, jobs::Encode(self_), 0 });
  for (const CellWrite& write : batch_) {
    if (!write.mustBeAbsent_.empty()) {
      change_.expected_.push_back({ write.mustBeAbsent_, 0 });
    }
    change_.puts_.insert(change_.puts_.end(), write.puts_.begin(), write.puts_.end());
    change_.removes_.insert(change_.removes_.end(), write.removes_.begin(), write.removes_.end());
  }
  inFlight_ = true;
  outcomeUnknown_ = false;
  firstSentAt_ = std::chrono::steady_clock::now();
  Send();
}

void
CellWriter::Send()
{
  const QPointer<CellWriter> self(this);
  store_.Commit(change_, [self](const store::CommitResult& aResult) {
    if (self) {
      self->OnResult(aResult);
    }
  });
}

void
CellWriter::OnResult(const store::CommitResult& aResult)
{
  if (ownershipLost_) {
    return;
  }
  switch (aResult.status_) {
    case store::Status::kSucceeded:
      OnStored(aResult.revision_);
      return;
    case store::Status::kConflict:
      OnConflict(aResult);
      return;
    case store::Status::kRefused:
      refusedAt_ = std::chrono::steady_clock::now();
      if (!outcomeUnknown_) {
        OnRefused();
        return;
      }
      break;
    case store::Status::kNoAnswer:
      outcomeUnknown_ = true;
      break;
    default:
      break;
  }
  // Sends the same change again. The change expects the revision of the change before it, so it
  // cannot be applied twice.
  QTimer::singleShot(kRetryDelay, this, [this] {
    if (inFlight_ && !ownershipLost_) {
      Send();
    }
  });
}

void
CellWriter::OnRefused()
{
  inFlight_ = false;
  --self_.sequence_;
  std::vector<CellWrite> batch;
  batch.swap(batch_);
  std::vector<CellWrite> refused;
  std::reverse(batch.begin(), batch.end());
  for (CellWrite& write : batch) {
    if (write.mayBeRefused_) {
      refused.push_back(std::move(write));
    } else {
      pending_.push_front(std::move(write));
    }
  }
  dueAt_ = std::chrono::steady_clock::now() + kRetryDelay;
  timer_.stop();
  ScheduleNext();
  for (const CellWrite& write : refused) {
    write.done_({ WriteOutcome::kRefused, {} });
  }
}

void
CellWriter::OnStored(std::int64_t aRevision)
{
  chainRevision_ = aRevision;
  inFlight_ = false;
  std::vector<CellWrite> batch;
  batch.swap(batch_);
  ScheduleNext();
  for (const CellWrite& write : batch) {
    if (write.done_) {
      write.done_({ WriteOutcome::kStored, {} });
    }
  }
}

void
CellWriter::OnConflict(const store::CommitResult& aResult)
{
  const store::KeyValue* chainItem = FindItem(aResult.current_, chainKey_);
  jobs::OwnerRecord owner;
  const bool isOwner = chainItem != nullptr && jobs::Decode(chainItem->value_, owner) &&
                       owner.owner_ == self_.owner_ && owner.incarnation_ == self_.incarnation_;
  if (!isOwner) {
    OnOwnershipLost();
    return;
  }
  if (owner.sequence_ == self_.sequence_) {
    OnStored(chainItem->modRevision_); // An earlier attempt succeeded without an answer.
    return;
  }
  inFlight_ = false;
  chainRevision_ = chainItem->modRevision_;
  std::vector<CellWrite> batch;
  batch.swap(batch_);
  std::vector<std::pair<CellWrite, std::string>> refused;
  std::reverse(batch.begin(), batch.end());
  for (CellWrite& write : batch) {
    const store::KeyValue* existing =
      write.mustBeAbsent_.empty() ? nullptr : FindItem(aResult.current_, write.mustBeAbsent_);
    if (existing != nullptr) {
      refused.emplace_back(std::move(write), existing->value_);
    } else {
      pending_.push_front(std::move(write));
    }
  }
  ScheduleNext();
  for (const auto& [write, value] : refused) {
    write.done_({ WriteOutcome::kConflict, value });
  }
}

void
CellWriter::OnOwnershipLost()
{
  Abandon();
  Q_EMIT OwnershipLost();
}

void
CellWriter::Abandon()
{
  ownershipLost_ = true;
  inFlight_ = false;
  std::vector<CellWrite> all;
  all.swap(batch_);
  for (CellWrite& write : pending_) {
    all.push_back(std::move(write));
  }
  pending_.clear();
  for (const CellWrite& write : all) {
    if (write.done_) {
      write.done_({ WriteOutcome::kOwnershipLost, {} });
    }
  }
}

void
CellWriter::ScheduleNext()
{
  if (pending_.empty()) {
    return;
  }
  const auto remaining =
    std::chrono::duration_cast<clock::Milliseconds>(dueAt_ - std::chrono::steady_clock::now());
  if (!timer_.isActive()) {
    timer_.start(std::max(remaining, clock::Milliseconds(0)));
  }
}

} // namespace quetzal::cells
