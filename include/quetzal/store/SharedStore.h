#pragma once

#include "include/quetzal/platform/KeyValueStore.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

/** The platform's store, which holds the state that entry hosts share. */
namespace quetzal::store {

using platform::KeyValue;

enum class Status : std::uint8_t
{
  kSucceeded,
  kConflict,   ///< An expectation did not hold; nothing was written.
  kLeaseEnded, ///< The lease has expired or was revoked; nothing was written.
  kRefused,    ///< The store is overloaded or unreachable; the call had no effect.
  kCompacted,  ///< The requested changes are no longer in the store's history.
  kNoAnswer,   ///< The call may have taken effect, or may still do so later.
};

const char*
ToString(Status aStatus);

struct ReadResult
{
  Status status_ = Status::kNoAnswer;
  std::vector<KeyValue> items_;
  bool hasMore_ = false;
  std::int64_t revision_ = 0; ///< The store's revision at the time of the read.
};

struct KeyChange
{
  KeyValue item_; ///< The key's new state; only key and revision are set if it was deleted.
  bool deleted_ = false;
};

struct ChangesResult
{
  Status status_ = Status::kNoAnswer;
  std::vector<KeyChange> changes_;
  std::int64_t revision_ = 0; ///< The next watch starts after this revision.
};

/** Requires that a key was last changed at this revision; revision 0 requires that the key is
 * absent. */
struct Expectation
{
  std::string key_;
  std::int64_t revision_ = 0;
};

struct Write
{
  std::string key_;
  std::string value_;
  std::int64_t lease_ = 0; ///< 0 for none.
};

/** A set of writes and removals that is applied as a whole, or not at all. */
struct Transaction
{
  std::vector<Expectation> expected_;
  std::vector<Write> puts_;
  std::vector<std::string> removes_;
};

struct CommitResult
{
  Status status_ = Status::kNoAnswer;
  std::int64_t revision_ = 0;
  std::vector<KeyValue> current_; ///< After kConflict, the items of the expected keys that exist.
};

struct LeaseResult
{
  Status status_ = Status::kNoAnswer;
  std::int64_t lease_ = 0;
  std::chrono::milliseconds term_{ 0 };
};

/** The limit on expectations, puts and removes of one transaction together. */
inline constexpr std::size_t kMaxTransactionEntries = 32;

/** Interface to the platform's key-value store. Callbacks are called once, from the event loop. */
class SharedStore
{
public:
  virtual ~SharedStore() = default;

  /** Reads one key. Succeeds without an item if the key is absent. */
  virtual void Get(const std::string& aKey, std::function<void(const ReadResult&)> aDone) = 0;

  /** Reads one page of the keys with a prefix that follow @p aAfter. */
  virtual void List(const std::string& aPrefix,
                    const std::string& aAfter,
                    std::function<void(const ReadResult&)> aDone) = 0;

  /** Waits for changes of keys with a prefix after revision @p aAfter. Succeeds without changes
   * after @p aWait. */
  virtual void Watch(const std::string& aPrefix,
                     std::int64_t aAfter,
                     std::chrono::milliseconds aWait,
                     std::function<void(const ChangesResult&)> aDone) = 0;

  virtual void Commit(const Transaction& aTransaction,
                      std::function<void(const CommitResult&)> aDone) = 0;

  virtual void GrantLease(std::chrono::milliseconds aTerm,
                          std::function<void(const LeaseResult&)> aDone) = 0;
  virtual void RenewLease(std::int64_t aLease, std::function<void(const LeaseResult&)> aDone) = 0;
  virtual void RevokeLease(std::int64_t aLease, std::function<void(const LeaseResult&)> aDone) = 0;
};

/** Reads all pages of a prefix. Fails if any page fails. */
void
ListAll(SharedStore& aStore,
        const std::string& aPrefix,
        std::function<void(const ReadResult&)> aDone);

} // namespace quetzal::store
