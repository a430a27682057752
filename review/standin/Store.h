#pragma once

#include "review/standin/Http.h"
#include "review/standin/Value.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace review {

/** The platform's key-value store. Safe to use from several threads. */
class Store
{
public:
  explicit Store(const Endpoint& aEndpoint);

  /** Writes a key as an operator or a minion does. */
  void Put(const std::string& aKey, const Value& aValue);
  void Remove(const std::string& aKey);

  /** Returns the decoded value of a key; an absent value if there is none. */
  Value Read(const std::string& aKey) const;

private:
  struct Item
  {
    std::string value_; ///< In Base64.
    std::int64_t revision_ = 0;
    std::int64_t created_ = 0;
    std::int64_t lease_ = 0;
  };
  struct Change
  {
    std::string key_;
    std::int64_t revision_ = 0;
    bool deleted_ = false;
    Item item_;
  };
  struct Lease
  {
    Milliseconds term_{ 0 };
    Moment endsAt_;
  };

  Response Serve(const Request& aRequest);
  Response Get(const Request& aRequest) const;
  Response Range(const Request& aRequest) const;
  Response Watch(const Request& aRequest);
  Response Commit(const Request& aRequest);
  Response GrantLease(const Request& aRequest);
  Response RenewLease(std::int64_t aLease);
  Response EndLease(std::int64_t aLease);
  void ExpireLeases();
  void RemoveKeysOf(std::int64_t aLease);
  void Write(const std::string& aKey, Item aItem);
  void Erase(const std::string& aKey);
  static Map ToMap(const std::string& aKey, const Item& aItem);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 1;
  std::int64_t nextLease_ = 1;
  Server server_;
};

} // namespace review
