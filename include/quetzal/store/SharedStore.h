#pragma once

#include "include/quetzal/platform/KeyValueStore.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

/** The platform's store as the parts that keep shared state use it. */
namespace quetzal::store {

using platform::KeyValue;

enum class Status : std::uint8_t
{
  kSucceeded,
  kConflict,   ///< A condition did not hold; nothing was done.
  kLeaseEnded, ///< The lease is gone; nothing was done.
  kRefused,    ///< The store is overloaded or away, and did nothing.
  kCompacted,  ///< The changes asked for are no longer kept.
  kNoAnswer,   ///< The call may or may not have taken effect, or may do so later.
};

const char*
ToString(Status aStatus);

/** What a read returned. */
struct ReadResult
{
  Status status_ = Status::kNoAnswer;
  std::vector<KeyValue> items_;
  bool hasMore_ = false;
  std::int64_t revision_ = 0; ///< The store's revision at the answer.
};

/** One change of a key. */
struct KeyChange
{
  KeyValue item_; ///< The key's new state; only key and revision where it was deleted.
  bool deleted_ = false;
};

struct ChangesResult
{
  Status status_ = Status::kNoAnswer;
  std::vector<KeyChange> changes_;
  std::int64_t revision_ = 0; ///< Watch on from here.
};

/** A condition: the key was last changed at this revision; 0: it does not exist. */
struct Expectation
{
  std::string key_;
  std::int64_t revision_ = 0;
};

struct Write
{
  std::string key_;
  std::string value_;
  std::int64_t lease_ = 0; ///< 0: none.
};

/** All of it happens, or nothing. */
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
  std::vector<KeyValue> current_; ///< After kConflict: the expected keys that exist.
};

struct LeaseResult
{
  Status status_ = Status::kNoAnswer;
  std::int64_t lease_ = 0;
  std::chrono::milliseconds term_{ 0 };
};

/** Entries that one change may have: expectations, puts and removes together. */
inline constexpr std::size_t kMaxTransactionEntries = 32;

/** The platform's key-value service. Each callback comes once, from the event loop. */
class SharedStore
{
public:
  virtual ~SharedStore() = default;

  /** Reads one key; succeeds with no item where it is absent. */
  virtual void Get(const std::string& aKey, std::function<void(const ReadResult&)> aDone) = 0;

  /** Reads one page of a prefix, behind a key. */
  virtual void List(const std::string& aPrefix,
                    const std::string& aAfter,
                    std::function<void(const ReadResult&)> aDone) = 0;

  /** Waits for changes of a prefix behind a revision. Succeeds without changes after @p aWait. */
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

/** Reads every page of a prefix. Fails as a whole where one page does. */
void
ListAll(SharedStore& aStore,
        const std::string& aPrefix,
        std::function<void(const ReadResult&)> aDone);

} // namespace quetzal::store
