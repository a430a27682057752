#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/** The interface to the platform's services. */
namespace quetzal::platform {

/** One key of the store with the revisions at which it was created and last changed. */
struct KeyValue
{
  std::string key_;
  std::string value_;
  std::int64_t createRevision_ = 0;
  std::int64_t modRevision_ = 0;

  auto operator<=>(const KeyValue&) const = default;
};

enum class StoreStatus : std::uint8_t
{
  kSucceeded,
  kCompareFailed,
  kUnreachable, ///< No usable answer: a write may or may not have taken effect.
  kRefused,     ///< The store rejected the call.
};

/** Returns the name used in logs, such as "compare-failed". */
const char*
ToString(StoreStatus aStatus);

/** A condition on one key. The revisions of an absent key are 0. */
struct Compare
{
  enum class Target : std::uint8_t
  {
    kCreateRevision,
    kModRevision,
    kValue,
  };

  std::string key_;
  Target target_ = Target::kModRevision;
  std::int64_t revision_ = 0;
  std::string value_;
};

Compare
KeyIsAbsent(std::string aKey);
Compare
KeyIsAtRevision(std::string aKey, std::int64_t aModRevision);
Compare
KeyHasValue(std::string aKey, std::string aValue);

/** One read or write of a transaction. */
struct Operation
{
  enum class Kind : std::uint8_t
  {
    kPut,
    kDelete,
    kRange,
  };

  Kind kind_ = Kind::kRange;
  std::string key_;
  std::string value_;
  std::int64_t lease_ = 0;
};

Operation
Put(std::string aKey, std::string aValue, std::int64_t aLease = 0);
Operation
Delete(std::string aKey);
Operation
Read(std::string aKey);

/** A conditional transaction. If all comparisons hold, the operations in success_ are executed,
 * otherwise those in failure_. Either all of these operations take effect, at one revision, or none
 * does. */
struct Transaction
{
  std::vector<Compare> compares_;
  std::vector<Operation> success_;
  std::vector<Operation> failure_;
};

/** The store's answer to one call. */
struct StoreResult
{
  StoreStatus status_ = StoreStatus::kUnreachable;
  std::int64_t revision_ = 0;
  std::vector<KeyValue> read_; ///< Keys that were read, or that a watch reports as changed.
  std::int64_t lease_ = 0;
};

using StoreCallback = std::function<void(const StoreResult&)>;

/** The platform's key-value service. Callbacks are made from the event loop, once for each call
 * except Watch(). */
class KeyValueStore
{
public:
  virtual ~KeyValueStore() = default;

  /** Reads one key, or every key with a prefix. */
  virtual void Range(const std::string& aKey, bool aIsPrefix, StoreCallback aCallback) = 0;

  /** Commits a transaction. The same transaction may be committed again after kUnreachable. */
  virtual void Commit(const Transaction& aTransaction, StoreCallback aCallback) = 0;

  /** Grants a lease. The keys put under a lease are deleted when the lease ends. */
  virtual void GrantLease(std::chrono::seconds aTerm, StoreCallback aCallback) = 0;

  /** Calls back at every later change of a key, and with kUnreachable when the watch ends. */
  virtual void Watch(const std::string& aKey, StoreCallback aCallback) = 0;
};

} // namespace quetzal::platform
