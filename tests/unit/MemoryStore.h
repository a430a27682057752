#pragma once

#include "include/quetzal/store/SharedStore.h"

#include <deque>
#include <map>
#include <set>

namespace quetzal::test {

/** What becomes of one change that is handed to the store. */
enum class Fate : std::uint8_t
{
  kAnswered,
  kAnswerLost, ///< Done at once, not answered.
  kLate,       ///< Not answered, and tried again when RunLate() is called.
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
  void Commit(const store::Change& aChange,
              std::function<void(const store::CommitResult&)> aDone) override;
  void GrantLease(std::chrono::milliseconds aTerm,
                  std::function<void(const store::LeaseResult&)> aDone) override;
  void KeepLease(std::int64_t aLease,
                 std::function<void(const store::LeaseResult&)> aDone) override;
  void EndLease(std::int64_t aLease, std::function<void(const store::LeaseResult&)> aDone) override;

  /** Decides the fate of changes from now on, first come first; kAnswered when it runs out. */
  void Expect(Fate aFate) { fates_.push_back(aFate); }

  /** Answers the oldest call. @return whether there was one. */
  bool Step();
  /** Answers every call, and those that their answers bring. */
  void StepAll();
  /** Tries the changes that are late, as a network would deliver them. */
  void RunLate();

  /** Changes a key as somebody else. */
  std::int64_t Put(const std::string& aKey, const std::string& aValue);
  std::int64_t RevisionOf(const std::string& aKey) const;
  const std::map<std::string, store::KeyValue>& Items() const { return items_; }
  void Compact() { compacted_ = revision_; }
  std::size_t Commits() const { return commits_; }

private:
  store::CommitResult Apply(const store::Change& aChange);

  std::map<std::string, store::KeyValue> items_;
  std::vector<store::KeyChange> history_;
  std::deque<std::function<void()>> calls_;
  std::deque<Fate> fates_;
  std::vector<store::Change> late_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  std::size_t commits_ = 0;
  std::int64_t leases_ = 0;
};

} // namespace quetzal::test
