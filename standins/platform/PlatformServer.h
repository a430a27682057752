#pragma once

#include "include/quetzal/http/Server.h"
#include "standins/platform/Store.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <map>
#include <vector>

namespace standins::platform {

/** Faults of the platform, set through POST /control/faults. */
struct Faults
{
  bool down_ = false; ///< Calls are never answered.
  bool refuseConnections_ = false;
  int delayMs_ = 0;            ///< Added to every answer.
  int loseWriteAnswers_ = 0;   ///< Number of next writes that take effect but are not answered.
  bool silentWatches_ = false; ///< Watches stay open but send nothing.
  bool stale_ = false;         ///< Reads return the state as of when this was set.
};

/** Serves the calls of the etcd gateway, the host list and the control calls of tests. */
class PlatformServer : public QObject
{
  Q_OBJECT

public:
  explicit PlatformServer(QObject* aParent = nullptr);

  void Listen(const quetzal::settings::Endpoint& aEndpoint);

private:
  struct Watch
  {
    QPointer<quetzal::http::ServerConnection> connection_;
    std::string key_;
  };

  void OnConnection(quetzal::http::ServerConnection* aConnection);
  void OnRequest(quetzal::http::ServerConnection* aConnection,
                 const quetzal::http::Request& aRequest);
  void OnCall(quetzal::http::ServerConnection* aConnection,
              const std::string& aPath,
              const QJsonObject& aBody);
  void OnControl(quetzal::http::ServerConnection* aConnection,
                 const std::string& aPath,
                 const QJsonObject& aBody);
  void StartWatch(quetzal::http::ServerConnection* aConnection, const QJsonObject& aBody);
  void SetFaults(const QJsonObject& aBody);
  QJsonObject HostList() const;
  QJsonObject Read(const QJsonObject& aBody) const;
  void Answer(quetzal::http::ServerConnection* aConnection, const QJsonObject& aAnswer);

  Store store_;
  Store staleStore_;
  Faults faults_;
  std::vector<Watch> watches_;
  std::map<std::string, std::string> hosts_; ///< State by name.
  std::map<std::string, int> calls_;
  QTimer leaseTimer_;
  // Declared last, so that connections are closed before the state above is destroyed.
  quetzal::http::Server server_;
};

} // namespace standins::platform
