#include "review/standin/Store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr Milliseconds kLeaseCheckInterval{ 20 };
constexpr Milliseconds kAnswerDelay{ 4 };
constexpr std::size_t kPageItems = 500;

std::int64_t
NumberIn(const std::string& aText)
{
  return std::strtoll(aText.c_str(), nullptr, 10);
}

/** Returns the last segment of a path as a number. */
std::int64_t
LastNumber(const std::string& aTarget)
{
  return NumberIn(aTarget.substr(aTarget.rfind('/') + 1));
}

} // namespace

Store::Store(const Endpoint& aEndpoint)
  : server_(aEndpoint, [this](const Request& aRequest) { return Serve(aRequest); })
{
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(kLeaseCheckInterval);
      ExpireLeases();
    }
  }).detach();
}

void
Store::Put(const std::string& aKey, const Value& aValue)
{
  const std::lock_guard lock(mutex_);
  ++revision_;
  Item item;
  item.value_ = EncodeBase64(aValue.Encode());
  Write(aKey, item);
  changed_.notify_all();
}

void
Store::Remove(const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  ++revision_;
  Erase(aKey);
  changed_.notify_all();
}

Value
Store::Read(const std::string& aKey) const
{
  const std::lock_guard lock(mutex_);
  const auto item = items_.find(aKey);
  return item == items_.end() ? Value() : Value::Decode(DecodeBase64(item->second.value_));
}

Response
Store::Serve(const Request& aRequest)
{
  const std::string& target = aRequest.target_;
  std::this_thread::sleep_for(kAnswerDelay);
  if (target.starts_with("/api/kv-watch")) {
    return Watch(aRequest);
  }
  const std::lock_guard lock(mutex_);
  if (target.starts_with("/api/kv-key")) {
    return Get(aRequest);
  }
  if (target.starts_with("/api/kv-range")) {
    return Range(aRequest);
  }
  if (target == "/api/kv-txn") {
    return Commit(aRequest);
  }
  if (target == "/api/kv-lease") {
    return GrantLease(aRequest);
  }
  if (target.starts_with("/api/kv-keep/")) {
    return RenewLease(LastNumber(target));
  }
  if (target.starts_with("/api/kv-lease-end/")) {
    return EndLease(LastNumber(target));
  }
  return { 404, {} };
}

Map
Store::ToMap(const std::string& aKey, const Item& aItem)
{
  return { { "key", aKey },
           { "value", aItem.value_ },
           { "revision", aItem.revision_ },
           { "created", aItem.created_ },
           { "lease", aItem.lease_ } };
}

Response
Store::Get(const Request& aRequest) const
{
  const auto item = items_.find(ParameterOf(aRequest, "key"));
  if (item == items_.end()) {
    return { 404, {} };
  }
  Map answer = ToMap(item->first, item->second);
  answer["current-rev"] = revision_;
  return { 200, Value(answer).Encode() };
}

Response
Store::Range(const Request& aRequest) const
{
  const std::string prefix = ParameterOf(aRequest, "prefix");
  const std::string after = ParameterOf(aRequest, "after");
  List found;
  bool hasMore = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    hasMore = found.size() == kPageItems;
    if (hasMore) {
      break;
    }
    found.emplace_back(ToMap(key, item));
  }
  return {
    200,
    Value(Map{ { "items", found }, { "has-more", hasMore }, { "current-rev", revision_ } }).Encode()
  };
}

Response
Store::Watch(const Request& aRequest)
{
  const std::string prefix = ParameterOf(aRequest, "prefix");
  const std::int64_t after = NumberIn(ParameterOf(aRequest, "after"));
  const Moment until = Clock::now() + Milliseconds(NumberIn(ParameterOf(aRequest, "wait-ms")));
  std::unique_lock lock(mutex_);
  List events;
  const auto hasEvents = [&] {
    const auto first = std::upper_bound(
      history_.begin(), history_.end(), after, [](std::int64_t aRevision, const Change& aChange) {
        return aRevision < aChange.revision_;
      });
    for (auto change = first; change != history_.end(); ++change) {
      if (!change->key_.starts_with(prefix)) {
        continue;
      }
      events.emplace_back(
        change->deleted_
          ? Map{ { "key", change->key_ }, { "revision", change->revision_ }, { "deleted", true } }
          : ToMap(change->key_, change->item_));
    }
    return !events.empty();
  };
  changed_.wait_until(lock, until, hasEvents);
  return { 200, Value(Map{ { "events", events }, { "current-rev", revision_ } }).Encode() };
}

Response
Store::Commit(const Request& aRequest)
{
  const Value body = Value::Decode(aRequest.body_);
  List current;
  bool holds = true;
  for (const Value& expectation : body["expected-revision"].Items()) {
    const auto item = items_.find(expectation["key"].Text());
    const std::int64_t revision = item == items_.end() ? 0 : item->second.revision_;
    holds = holds && revision == expectation["revision"].Integer();
    if (item != items_.end()) {
      current.emplace_back(ToMap(item->first, item->second));
    }
  }
  if (!holds) {
    return { 412, Value(Map{ { "items", current } }).Encode() };
  }
  for (const Value& put : body["puts"].Items()) {
    const std::int64_t lease = put["lease"].Integer();
    if (lease != 0 && !leases_.contains(lease)) {
      return { 404, {} };
    }
  }
  ++revision_;
  for (const Value& put : body["puts"].Items()) {
    Item item;
    item.value_ = put["value"].Text();
    item.lease_ = put["lease"].Integer();
    Write(put["key"].Text(), item);
  }
  for (const Value& key : body["remove"].Items()) {
    Erase(key.Text());
  }
  changed_.notify_all();
  return { 200, Value(Map{ { "revision", revision_ } }).Encode() };
}

Response
Store::GrantLease(const Request& aRequest)
{
  const Milliseconds term(Value::Decode(aRequest.body_)["ttl-ms"].Integer());
  const std::int64_t id = nextLease_++;
  leases_[id] = { term, Clock::now() + term };
  return { 200,
           Value(Map{ { "lease", id }, { "ttl-ms", std::int64_t{ term.count() } } }).Encode() };
}

Response
Store::RenewLease(std::int64_t aLease)
{
  const auto lease = leases_.find(aLease);
  if (lease == leases_.end()) {
    return { 404, {} };
  }
  lease->second.endsAt_ = Clock::now() + lease->second.term_;
  return { 200, Value(Map{ { "ttl-ms", std::int64_t{ lease->second.term_.count() } } }).Encode() };
}

Response
Store::EndLease(std::int64_t aLease)
{
  if (leases_.erase(aLease) == 0) {
    return { 404, {} };
  }
  RemoveKeysOf(aLease);
  return { 200, Value(Map{}).Encode() };
}

void
Store::ExpireLeases()
{
  const std::lock_guard lock(mutex_);
  const Moment now = Clock::now();
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.endsAt_ <= now) {
      ended.push_back(id);
    }
  }
  for (const std::int64_t id : ended) {
    leases_.erase(id);
    RemoveKeysOf(id);
  }
}

void
Store::RemoveKeysOf(std::int64_t aLease)
{
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease_ == aLease) {
      keys.push_back(key);
    }
  }
  ++revision_;
  for (const std::string& key : keys) {
    Erase(key);
  }
  changed_.notify_all();
}

void
Store::Write(const std::string& aKey, Item aItem)
{
  const auto before = items_.find(aKey);
  aItem.revision_ = revision_;
  aItem.created_ = before == items_.end() ? revision_ : before->second.created_;
  items_[aKey] = aItem;
  history_.push_back({ aKey, revision_, false, aItem });
}

void
Store::Erase(const std::string& aKey)
{
  if (items_.erase(aKey) > 0) {
    history_.push_back({ aKey, revision_, true, {} });
  }
}

} // namespace review
