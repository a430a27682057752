#pragma once

#include "include/quetzal/http/Server.h"

#include <QtNetwork/QTcpServer>
#include <map>
#include <string>

class QTcpSocket;

/** Stand-in for a backend server: runs requests in slots, records every run, and injects faults. */
namespace standins::backend {

/** How a backend server handles requests, set through POST /control/mode. */
enum class Mode : std::uint8_t
{
  kNormal,
  kCloseAfterRead, ///< Reads and records the request, then closes with FIN.
  kResetAfterRead,
  kSilent,   ///< Reads and records the request, but never answers.
  kFail,     ///< Answers 500 at once.
  kRefuse,   ///< Answers 503 at once, without running the request.
  kTruncate, ///< Closes in the middle of the answer.
  kSurplus,  ///< Sends a second, unrequested answer.
  kOversized,
  kMalformed,
  kUnframed,
};

/** Listens for requests on one port and for control calls on another. */
class BackendServer : public QObject
{
  Q_OBJECT

public:
  BackendServer(std::string aName, QObject* aParent = nullptr);

  void Listen(const quetzal::settings::Endpoint& aRequests,
              const quetzal::settings::Endpoint& aControl);

  /** Returns the runs and the maximum counts so far, as JSON. */
  std::string Report() const;

  /** Makes the health check fail from now on. */
  void SetLeaving() { leaving_ = true; }

  /** Makes the health check fail, and stops once no request is in flight. */
  void Stop();

Q_SIGNALS:
  void Stopped();

private:
  struct Connection;

  void Accept();
  void Read(QTcpSocket* aSocket);
  void Handle(QTcpSocket* aSocket, const quetzal::http::Request& aRequest);
  void Record(const quetzal::http::Request& aRequest);
  void ApplyFault(QTcpSocket* aSocket);
  void Finish(QTcpSocket* aSocket, const quetzal::http::Request& aRequest);
  void OnControl(quetzal::http::ServerConnection* aConnection,
                 const quetzal::http::Request& aRequest);
  void CheckStopped();

  std::string name_;
  std::map<QTcpSocket*, std::shared_ptr<Connection>> connections_;
  std::map<std::string, int> runs_; ///< By request id.
  Mode mode_ = Mode::kNormal;
  bool leaving_ = false;
  bool stopping_ = false;
  int inFlight_ = 0;
  int mostInFlight_ = 0;
  int mostConnections_ = 0;
  int cut_ = 0; ///< Connections that ended while their request ran.
  // Declared last, so that connections are closed before the state above is destroyed.
  QTcpServer listener_;
  quetzal::http::Server control_;
};

} // namespace standins::backend
