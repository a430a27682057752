#pragma once

#include "include/quetzal/store/SharedStore.h"

#include <deque>
#include <map>
#include <set>

namespace quetzal::test {

/** The fault that is injected into one commit. */
enum class CommitFault : std::uint8_t
{
  kNone,
  kAnswerLost, ///< The commit is applied, but the caller receives kNoAnswer.
  kDelayed,    ///< The caller receives kNoAnswer; ApplyDelayed() attempts the commit.
  kRefused,
};

/** An in-memory store that answers calls in order, each when AnswerNext() is called, so that a test
 * decides what happens between two answers. */
class MemoryStore : public store::SharedStore
{
public:
  void Get(const std::string& aKey, std::function<void(const store::ReadResult&)> aDone) override;
  void List(const std::string& aPrefix,
            const std::string& aAfter,
            std::function<void(const store::ReadResult&)> aDone) override;
  void Watch(const std::string& aPrefix,
             std::int64_t aAfter,
             std::chrono::milliseconds aWait,
             std::function<void(const store::ChangesResult&)> aDone) override;
  void Commit(const store::Transaction& aTransaction,
              std::function<void(const store::CommitResult&)> aDone) override;
  void GrantLease(std::chrono::milliseconds aTerm,
                  std::function<void(const store::LeaseResult&)> aDone) override;
  void RenewLease(std::int64_t aLease,
                  std::function<void(const store::LeaseResult&)> aDone) override;
  void RevokeLease(std::int64_t aLease,
                   std::function<void(const store::LeaseResult&)> aDone) override;

  /** Queues a fault; each commit takes one from the queue, and kNone when the queue is empty. */
  void InjectFault(CommitFault aFault) { faults_.push_back(aFault); }

  /** Answers the oldest pending call. @return whether there was one. */
  bool AnswerNext();
  /** Answers all pending calls, including new calls that are made in response to answers. */
  void AnswerAll();
  /** Attempts the delayed commits, as if a network had delivered them late. */
  void ApplyDelayed();

  /** Writes a key directly, as another client would. */
  std::int64_t Put(const std::string& aKey, const std::string& aValue);
  std::int64_t RevisionOf(const std::string& aKey) const;
  const std::map<std::string, store::KeyValue>& Items() const { return items_; }
  std::int64_t LastLease() const { return lastLease_; }
  /** Ends a lease and removes the keys that were last written under it. */
  void EndLease(std::int64_t aLease);
  /** Grants leases of at most this term from now on. */
  void LimitLeases(std::chrono::milliseconds aTerm) { longestTerm_ = aTerm; }
  void Compact() { compactedRevision_ = revision_; }
  std::size_t CommitCount() const { return commitCount_; }

private:
  store::CommitResult Apply(const store::Transaction& aTransaction);

  std::map<std::string, store::KeyValue> items_;
  std::vector<store::KeyChange> history_;
  std::deque<std::function<void()>> pendingCalls_;
  std::deque<CommitFault> faults_;
  std::vector<store::Transaction> delayed_;
  std::int64_t revision_ = 1;
  std::int64_t compactedRevision_ = 0;
  std::size_t commitCount_ = 0;
  std::int64_t lastLease_ = 0;
  std::set<std::int64_t> endedLeases_;
  std::map<std::string, std::int64_t> leaseOfKey_;
  std::chrono::milliseconds longestTerm_ = std::chrono::milliseconds::max();
};

} // namespace quetzal::test
