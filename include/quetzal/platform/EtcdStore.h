#pragma once

#include "include/quetzal/platform/KeyValueStore.h"
#include "include/quetzal/settings/Node.h"

#include <QtNetwork/QNetworkAccessManager>

class QJsonObject;

namespace quetzal::platform {

/** Options for calls to the store. */
struct EtcdOptions
{
  settings::Endpoint endpoint_;
  /** Timeout of each call except a watch. A watch has no timeout. */
  std::chrono::milliseconds callTimeout_{ 1'000 };
};

/** A store that is reached through etcd v3's HTTP/JSON gateway. Every call must be safe to repeat,
 * because QNetworkAccessManager may resend a request by itself. */
class EtcdStore : public KeyValueStore
{
public:
  explicit EtcdStore(const EtcdOptions& aOptions);

  void Range(const std::string& aKey, bool aIsPrefix, StoreCallback aCallback) override;
  void Commit(const Transaction& aTransaction, StoreCallback aCallback) override;
  void GrantLease(std::chrono::seconds aTerm, StoreCallback aCallback) override;
  void Watch(const std::string& aKey, StoreCallback aCallback) override;

private:
  using Parser = std::function<StoreResult(const QJsonObject&)>;

  void Call(const char* aPath,
            const QJsonObject& aBody,
            const Parser& aParser,
            StoreCallback aCallback);
  QNetworkReply* Post(const char* aPath,
                      const QJsonObject& aBody,
                      std::chrono::milliseconds aTimeout);

  EtcdOptions options_;
  QNetworkAccessManager network_;
};

} // namespace quetzal::platform
