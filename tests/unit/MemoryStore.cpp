#include "tests/unit/MemoryStore.h"

#include <algorithm>

namespace quetzal::test {

void
MemoryStore::Get(const std::string& aKey, std::function<void(const store::ReadResult&)> aDone)
{
  pendingCalls_.push_back([this, aKey, aDone] {
    store::ReadResult result{ store::Status::kSucceeded, {}, false, revision_ };
    if (const auto item = items_.find(aKey); item != items_.end()) {
      result.items_.push_back(item->second);
    }
    aDone(result);
  });
}

void
MemoryStore::List(const std::string& aPrefix,
                  const std::string& aAfter,
                  std::function<void(const store::ReadResult&)> aDone)
{
  pendingCalls_.push_back([this, aPrefix, aAfter, aDone] {
    constexpr std::size_t kPageSize = 3;
    store::ReadResult result{ store::Status::kSucceeded, {}, false, revision_ };
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(aPrefix) || key <= aAfter) {
        continue;
      }
      if (result.items_.size() == kPageSize) {
        result.hasMore_ = true;
        break;
      }
      result.items_.push_back(item);
    }
    aDone(result);
  });
}

void
MemoryStore::Watch(const std::string& aPrefix,
                   std::int64_t aAfter,
                   std::chrono::milliseconds /*aWait*/,
                   std::function<void(const store::ChangesResult&)> aDone)
{
  pendingCalls_.push_back([this, aPrefix, aAfter, aDone] {
    store::ChangesResult result{ store::Status::kSucceeded, {}, revision_ };
    if (aAfter < compactedRevision_) {
      result.status_ = store::Status::kCompacted;
    }
    for (const store::KeyChange& change : history_) {
      if (change.item_.modRevision_ > aAfter && change.item_.key_.starts_with(aPrefix)) {
        result.changes_.push_back(change);
      }
    }
    aDone(result);
  });
}

void
MemoryStore::Commit(const store::Transaction& aTransaction,
                    std::function<void(const store::CommitResult&)> aDone)
{
  ++commitCount_;
  pendingCalls_.push_back([this, aTransaction, aDone] {
    CommitFault fault = CommitFault::kNone;
    if (!faults_.empty()) {
      fault = faults_.front();
      faults_.pop_front();
    }
    switch (fault) {
      case CommitFault::kNone:
        aDone(Apply(aTransaction));
        return;
      case CommitFault::kAnswerLost:
        Apply(aTransaction);
        aDone({});
        return;
      case CommitFault::kDelayed:
        delayed_.push_back(aTransaction);
        aDone({});
        return;
      case CommitFault::kRefused:
        aDone({ store::Status::kRefused, 0, {} });
        return;
    }
  });
}

void
MemoryStore::GrantLease(std::chrono::milliseconds aTerm,
                        std::function<void(const store::LeaseResult&)> aDone)
{
  pendingCalls_.push_back([this, aTerm, aDone] {
    aDone({ store::Status::kSucceeded, ++lastLease_, std::min(aTerm, longestTerm_) });
  });
}

void
MemoryStore::EndLease(std::int64_t aLease)
{
  endedLeases_.insert(aLease);
  store::Transaction removal;
  for (const auto& [key, lease] : leaseOfKey_) {
    if (lease == aLease) {
      removal.removes_.push_back(key);
    }
  }
  Apply(removal);
}

void
MemoryStore::RenewLease(std::int64_t aLease, std::function<void(const store::LeaseResult&)> aDone)
{
  pendingCalls_.push_back([aLease, aDone] {
    aDone({ store::Status::kSucceeded, aLease, std::chrono::milliseconds(0) });
  });
}

void
MemoryStore::RevokeLease(std::int64_t aLease, std::function<void(const store::LeaseResult&)> aDone)
{
  RenewLease(aLease, std::move(aDone));
}

bool
MemoryStore::AnswerNext()
{
  if (pendingCalls_.empty()) {
    return false;
  }
  const auto call = std::move(pendingCalls_.front());
  pendingCalls_.pop_front();
  call();
  return true;
}

void
MemoryStore::AnswerAll()
{
  while (AnswerNext()) {
  }
}

void
MemoryStore::ApplyDelayed()
{
  std::vector<store::Transaction> delayed;
  delayed.swap(delayed_);
  for (const store::Transaction& transaction : delayed) {
    Apply(transaction);
  }
}

std::int64_t
MemoryStore::Put(const std::string& aKey, const std::string& aValue)
{
  store::Transaction transaction;
  transaction.puts_.push_back({ aKey, aValue, 0 });
  return Apply(transaction).revision_;
}

std::int64_t
MemoryStore::RevisionOf(const std::string& aKey) const
{
  const auto item = items_.find(aKey);
  return item == items_.end() ? 0 : item->second.modRevision_;
}

store::CommitResult
MemoryStore::Apply(const store::Transaction& aTransaction)
{
  store::CommitResult result;
  bool holds = true;
  for (const store::Expectation& expectation : aTransaction.expected_) {
    holds = holds && RevisionOf(expectation.key_) == expectation.revision_;
    if (const auto item = items_.find(expectation.key_); item != items_.end()) {
      result.current_.push_back(item->second);
    }
  }
  if (!holds) {
    result.status_ = store::Status::kConflict;
    return result;
  }
  const auto hasEnded = [this](const store::Write& aPut) {
    return endedLeases_.contains(aPut.lease_);
  };
  if (std::any_of(aTransaction.puts_.begin(), aTransaction.puts_.end(), hasEnded)) {
    result.status_ = store::Status::kLeaseEnded;
    return result;
  }
  ++revision_;
  for (const store::Write& put : aTransaction.puts_) {
    store::KeyValue& item = items_[put.key_];
    item.key_ = put.key_;
    item.value_ = put.value_;
    item.modRevision_ = revision_;
    leaseOfKey_[put.key_] = put.lease_;
    history_.push_back({ item, false });
  }
  for (const std::string& key : aTransaction.removes_) {
    items_.erase(key);
    leaseOfKey_.erase(key);
    store::KeyChange change;
    change.item_.key_ = key;
    change.item_.modRevision_ = revision_;
    change.deleted_ = true;
    history_.push_back(change);
  }
  result.status_ = store::Status::kSucceeded;
  result.revision_ = revision_;
  result.current_.clear();
  return result;
}

} // namespace quetzal::test
