#include "standins/platform/Store.h"

#include <QtCore/QJsonArray>
#include <vector>

namespace standins::platform {
namespace {

std::string
Decode(const QJsonValue& aValue)
{
  return QByteArray::fromBase64(aValue.toString().toLatin1()).toStdString();
}

QString
Encode(const std::string& aBytes)
{
  return QString::fromLatin1(QByteArray::fromStdString(aBytes).toBase64());
}

std::int64_t
Number(const QJsonValue& aValue)
{
  return aValue.isString() ? aValue.toString().toLongLong() : aValue.toInteger();
}

QJsonObject
ToJson(const std::string& aKey, const Entry& aEntry)
{
  return { { "key", Encode(aKey) },
           { "value", Encode(aEntry.value_) },
           { "create_revision", QString::number(aEntry.createRevision_) },
           { "mod_revision", QString::number(aEntry.modRevision_) },
           { "lease", QString::number(aEntry.lease_) } };
}

} // namespace

QJsonObject
Store::Header() const
{
  return { { "revision", QString::number(revision_) } };
}

QJsonObject
Store::Range(const QJsonObject& aBody) const
{
  const std::string key = Decode(aBody["key"]);
  const std::string end = Decode(aBody["range_end"]);
  QJsonArray found;
  for (auto entry = entries_.lower_bound(key); entry != entries_.end(); ++entry) {
    const bool inside = end.empty() ? entry->first == key : entry->first < end;
    if (!inside) {
      break;
    }
    found.append(ToJson(entry->first, entry->second));
  }
  return { { "header", Header() }, { "kvs", found }, { "count", QString::number(found.size()) } };
}

bool
Store::Holds(const QJsonObject& aCompare) const
{
  const auto found = entries_.find(Decode(aCompare["key"]));
  const Entry entry = found == entries_.end() ? Entry{} : found->second;
  const QString target = aCompare["target"].toString();
  if (target == "CREATE") {
    return entry.createRevision_ == Number(aCompare["create_revision"]);
  }
  if (target == "VALUE") {
    return found != entries_.end() && entry.value_ == Decode(aCompare["value"]);
  }
  return entry.modRevision_ == Number(aCompare["mod_revision"]);
}

QJsonObject
Store::Transact(const QJsonObject& aBody)
{
  bool holds = true;
  const QJsonArray compares = aBody["compare"].toArray();
  for (const auto& compare : compares) {
    holds = holds && Holds(compare.toObject());
  }
  const QJsonArray operations = aBody[holds ? "success" : "failure"].toArray();
  ++revision_;
  bool wrote = false;
  QJsonArray responses;
  for (const auto& operation : operations) {
    responses.append(Apply(operation.toObject(), wrote));
  }
  if (!wrote) {
    --revision_;
  }
  return { { "header", Header() }, { "succeeded", holds }, { "responses", responses } };
}

QJsonObject
Store::Apply(const QJsonObject& aOperation, bool& aWrote)
{
  if (aOperation.contains("request_put")) {
    aWrote = true;
    Put(aOperation["request_put"].toObject());
    return { { "response_put", QJsonObject{} } };
  }
  if (aOperation.contains("request_delete_range")) {
    aWrote = true;
    Delete(Decode(aOperation["request_delete_range"].toObject()["key"]));
    return { { "response_delete_range", QJsonObject{} } };
  }
  return { { "response_range", Range(aOperation["request_range"].toObject()) } };
}

void
Store::Put(const QJsonObject& aBody)
{
  const std::string key = Decode(aBody["key"]);
  Entry& entry = entries_[key];
  entry.value_ = Decode(aBody["value"]);
  entry.lease_ = Number(aBody["lease"]);
  entry.modRevision_ = revision_;
  if (entry.createRevision_ == 0) {
    entry.createRevision_ = revision_;
  }
  Announce(key, entry, false);
}

void
Store::Delete(const std::string& aKey)
{
  if (entries_.erase(aKey) > 0) {
    Announce(aKey, Entry{ {}, 0, revision_, 0 }, true);
  }
}

void
Store::Announce(const std::string& aKey, const Entry& aEntry, bool aDeleted)
{
  if (!onChange_) {
    return;
  }
  QJsonObject event{ { "kv", ToJson(aKey, aEntry) } };
  if (aDeleted) {
    event["type"] = "DELETE";
  }
  onChange_(
    aKey,
    { { "result", QJsonObject{ { "header", Header() }, { "events", QJsonArray{ event } } } } });
}

QJsonObject
Store::GrantLease(const QJsonObject& aBody, Moment aNow)
{
  const std::chrono::seconds term(Number(aBody["TTL"]));
  const std::int64_t id = ++lastLease_;
  leases_[id] = { term, aNow + term };
  return { { "header", Header() },
           { "ID", QString::number(id) },
           { "TTL", QString::number(term.count()) } };
}

QJsonObject
Store::KeepAlive(const QJsonObject& aBody, Moment aNow)
{
  const auto lease = leases_.find(Number(aBody["ID"]));
  std::int64_t term = 0;
  if (lease != leases_.end()) {
    lease->second.end_ = aNow + lease->second.term_;
    term = lease->second.term_.count();
  }
  return { { "result", QJsonObject{ { "header", Header() }, { "TTL", QString::number(term) } } } };
}

QJsonObject
Store::RevokeLease(const QJsonObject& aBody)
{
  EndLease(Number(aBody["ID"]));
  return { { "header", Header() } };
}

void
Store::ExpireLeases(Moment aNow)
{
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.end_ <= aNow) {
      ended.push_back(id);
    }
  }
  for (const std::int64_t id : ended) {
    EndLease(id);
  }
}

void
Store::EndLease(std::int64_t aLease)
{
  leases_.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease_ == aLease) {
      keys.push_back(key);
    }
  }
  if (!keys.empty()) {
    ++revision_;
  }
  for (const std::string& key : keys) {
    Delete(key);
  }
}

} // namespace standins::platform
