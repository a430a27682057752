#pragma once

#include "include/quetzal/store/SharedStore.h"

#include <deque>
#include <map>
#include <set>

namespace quetzal::test {

/** What becomes of one change that is handed to the store. */
enum class CommitFault : std::uint8_t
{
  kNone,
  kAnswerLost, ///< Done at once, not answered.
  kDelayed,    ///< Not answered, and tried again when ApplyDelayed() is called.
  kRefused,
};

/** A store in memory. Calls are answered when Step() is called, in order, so that a test decides
 * what happens in between. */
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

  /** Decides the fate of changes from now on, first come first; kAnswered when it runs out. */
  void InjectFault(CommitFault aFault) { faults_.push_back(aFault); }

  /** Answers the oldest call. @return whether there was one. */
  bool AnswerNext();
  /** Answers every call, and those that their answers bring. */
  void AnswerAll();
  /** Tries the changes that are late, as a network would deliver them. */
  void ApplyDelayed();

  /** Changes a key as somebody else. */
  std::int64_t Put(const std::string& aKey, const std::string& aValue);
  std::int64_t RevisionOf(const std::string& aKey) const;
  const std::map<std::string, store::KeyValue>& Items() const { return items_; }
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
};

} // namespace quetzal::test
