#include "include/quetzal/platform/EtcdStore.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <QtNetwork/QNetworkReply>

namespace quetzal::platform {
namespace {

constexpr int kFirstClientErrorStatus = 400;

QString
Encode(const std::string& aBytes)
{
  return QString::fromLatin1(QByteArray::fromStdString(aBytes).toBase64());
}

std::string
Decode(const QJsonValue& aValue)
{
  return QByteArray::fromBase64(aValue.toString().toLatin1()).toStdString();
}

/** Parses a 64-bit number, which the gateway writes as a JSON string. */
std::int64_t
ParseNumber(const QJsonValue& aValue)
{
  return aValue.isString() ? aValue.toString().toLongLong() : aValue.toInteger();
}

/** Returns the end (exclusive) of the range of all keys with a prefix. A single zero byte means
 * that the range has no end. */
std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty() && aPrefix.back() == '\xff') {
    aPrefix.pop_back();
  }
  if (aPrefix.empty()) {
    return std::string(1, '\0');
  }
  aPrefix.back() = static_cast<char>(static_cast<unsigned char>(aPrefix.back()) + 1);
  return aPrefix;
}

KeyValue
ToKeyValue(const QJsonObject& aObject)
{
  return { Decode(aObject["key"]),
           Decode(aObject["value"]),
           ParseNumber(aObject["create_revision"]),
           ParseNumber(aObject["mod_revision"]) };
}

void
AppendKeyValues(const QJsonObject& aRange, std::vector<KeyValue>& aKeyValues)
{
  const QJsonArray items = aRange["kvs"].toArray();
  for (const auto& item : items) {
    aKeyValues.push_back(ToKeyValue(item.toObject()));
  }
}

std::int64_t
RevisionOf(const QJsonObject& aAnswer)
{
  return ParseNumber(aAnswer["header"].toObject()["revision"]);
}

QJsonObject
ToJson(const Compare& aCompare)
{
  QJsonObject object{ { "key", Encode(aCompare.key_) }, { "result", "EQUAL" } };
  switch (aCompare.target_) {
    case Compare::Target::kCreateRevision:
      object["target"] = "CREATE";
      object["create_revision"] = QString::number(aCompare.revision_);
      break;
    case Compare::Target::kModRevision:
      object["target"] = "MOD";
      object["mod_revision"] = QString::number(aCompare.revision_);
      break;
    case Compare::Target::kValue:
      object["target"] = "VALUE";
      object["value"] = Encode(aCompare.value_);
      break;
  }
  return object;
}

QJsonObject
ToJson(const Operation& aOperation)
{
  QJsonObject body{ { "key", Encode(aOperation.key_) } };
  switch (aOperation.kind_) {
    case Operation::Kind::kPut:
      body["value"] = Encode(aOperation.value_);
      body["lease"] = QString::number(aOperation.lease_);
      return { { "request_put", body } };
    case Operation::Kind::kDelete:
      return { { "request_delete_range", body } };
    case Operation::Kind::kRange:
      break;
  }
  return { { "request_range", body } };
}

template<typename Item>
QJsonArray
ToJson(const std::vector<Item>& aItems)
{
  QJsonArray array;
  for (const Item& item : aItems) {
    array.append(ToJson(item));
  }
  return array;
}

StoreResult
ParseRange(const QJsonObject& aAnswer)
{
  StoreResult result{ StoreStatus::kSucceeded, RevisionOf(aAnswer), {}, 0 };
  AppendKeyValues(aAnswer, result.read_);
  return result;
}

StoreResult
ParseTransaction(const QJsonObject& aAnswer)
{
  const bool succeeded = aAnswer["succeeded"].toBool();
  StoreResult result;
  result.status_ = succeeded ? StoreStatus::kSucceeded : StoreStatus::kCompareFailed;
  result.revision_ = RevisionOf(aAnswer);
  const QJsonArray responses = aAnswer["responses"].toArray();
  for (const auto& response : responses) {
    AppendKeyValues(response.toObject()["response_range"].toObject(), result.read_);
  }
  return result;
}

StoreResult
ParseLease(const QJsonObject& aAnswer)
{
  StoreResult result{
    StoreStatus::kSucceeded, RevisionOf(aAnswer), {}, ParseNumber(aAnswer["ID"])
  };
  if (result.lease_ == 0) {
    result.status_ = StoreStatus::kRefused;
  }
  return result;
}

/** Parses one line of the answer to a watch, which lists the keys that have changed. */
StoreResult
ParseWatchLine(const QByteArray& aLine)
{
  const QJsonObject result = QJsonDocument::fromJson(aLine).object()["result"].toObject();
  StoreResult change{ StoreStatus::kSucceeded, RevisionOf(result), {}, 0 };
  const QJsonArray events = result["events"].toArray();
  for (const auto& event : events) {
    change.read_.push_back(ToKeyValue(event.toObject()["kv"].toObject()));
  }
  return change;
}

} // namespace

EtcdStore::EtcdStore(const EtcdOptions& aOptions)
  : options_(aOptions)
{
  network_.setAutoDeleteReplies(true);
}

QNetworkReply*
EtcdStore::Post(const char* aPath, const QJsonObject& aBody, std::chrono::milliseconds aTimeout)
{
  QUrl url;
  url.setScheme("http");
  url.setHost(QString::fromStdString(options_.endpoint_.address_));
  url.setPort(options_.endpoint_.port_);
  url.setPath(QString::fromLatin1(aPath));
  QNetworkRequest request(url);
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setTransferTimeout(static_cast<int>(aTimeout.count()));
  return network_.post(request, QJsonDocument(aBody).toJson(QJsonDocument::Compact));
}

void
EtcdStore::Call(const char* aPath,
                const QJsonObject& aBody,
                const Parser& aParser,
                StoreCallback aCallback)
{
  QNetworkReply* reply = Post(aPath, aBody, options_.callTimeout_);
  QObject::connect(
    reply, &QNetworkReply::finished, reply, [reply, aParser, callback = std::move(aCallback)] {
      const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
      const QJsonDocument answer = QJsonDocument::fromJson(reply->readAll());
      if (reply->error() == QNetworkReply::NoError && answer.isObject()) {
        callback(aParser(answer.object()));
        return;
      }
      const bool refused = status >= kFirstClientErrorStatus && status < 500;
      callback({ refused ? StoreStatus::kRefused : StoreStatus::kUnreachable, 0, {}, 0 });
    });
}

void
EtcdStore::Range(const std::string& aKey, bool aIsPrefix, StoreCallback aCallback)
{
  QJsonObject body{ { "key", Encode(aKey) } };
  if (aIsPrefix) {
    body["range_end"] = Encode(PrefixEnd(aKey));
  }
  Call("/v3/kv/range", body, ParseRange, std::move(aCallback));
}

void
EtcdStore::Commit(const Transaction& aTransaction, StoreCallback aCallback)
{
  const QJsonObject body{ { "compare", ToJson(aTransaction.compares_) },
                          { "success", ToJson(aTransaction.success_) },
                          { "failure", ToJson(aTransaction.failure_) } };
  Call("/v3/kv/txn", body, ParseTransaction, std::move(aCallback));
}

void
EtcdStore::GrantLease(std::chrono::seconds aTerm, StoreCallback aCallback)
{
  const QJsonObject body{ { "TTL", QString::number(aTerm.count()) } };
  Call("/v3/lease/grant", body, ParseLease, std::move(aCallback));
}

void
EtcdStore::Watch(const std::string& aKey, StoreCallback aCallback)
{
  static constexpr std::chrono::milliseconds kNoTimeout{ 0 };
  const QJsonObject body{ { "create_request", QJsonObject{ { "key", Encode(aKey) } } } };
  QNetworkReply* reply = Post("/v3/watch", body, kNoTimeout);
  QObject::connect(reply, &QNetworkReply::readyRead, reply, [reply, aCallback] {
    while (reply->canReadLine()) {
      const StoreResult change = ParseWatchLine(reply->readLine());
      if (!change.read_.empty()) {
        aCallback(change);
      }
    }
  });
  QObject::connect(reply, &QNetworkReply::finished, reply, [aCallback] {
    aCallback({ StoreStatus::kUnreachable, 0, {}, 0 });
  });
}

} // namespace quetzal::platform
