#pragma once

#include "include/quetzal/clock/Deadline.h"
#include "include/quetzal/http/Reader.h"

#include <QtCore/QByteArray>
#include <QtCore/QObject>
#include <chrono>

class QTcpSocket;

namespace quetzal::http {

/** Bounds on one connection. */
struct ServerLimits
{
  Limits message_;
  std::chrono::milliseconds requestTimeout_{ 10'000 }; ///< From a request's first byte to its last.
  std::chrono::milliseconds idleTimeout_{ 60'000 };    ///< Between requests.
};

/** One accepted connection. It handles one request at a time, in order, and owns its socket.
 * It deletes itself once the connection has ended. */
class ServerConnection : public QObject
{
  Q_OBJECT

public:
  ServerConnection(QTcpSocket* aSocket, const ServerLimits& aLimits, QObject* aParent);

  /** Answers the request in hand. A call without one is ignored: its caller has left. */
  void Answer(const Response& aResponse);

  /** Begins an answer in chunks, for streams that end only with the connection. */
  void StartStream(unsigned aStatus);
  void SendChunk(const std::string& aBytes);

  /** From now on every answer ends the connection. */
  void CloseAfterAnswer();

  /** Ends the connection if it carries no request. */
  void CloseIfIdle();

  bool IsBusy() const { return phase_ == Phase::kBusy; }

  /** Ends the connection at once, with a reset. */
  void Abort();

Q_SIGNALS:
  void RequestArrived(const quetzal::http::Request& aRequest);
  /** The next message could not be read. The receiver answers; the connection then ends. */
  void RequestRefused(quetzal::http::ReadError aError);
  /** The request did not arrive within its time. The receiver answers. */
  void RequestTooSlow();
  /** The other end has left while its request was in hand. */
  void CallerLeft();

private:
  enum class Phase : std::uint8_t
  {
    kIdle,
    kReading,
    kBusy,
    kLingering,
  };

  void Read();
  void Linger();
  void OnTimeout();
  void OnDisconnected();

  QTcpSocket* socket_;
  ServerLimits limits_;
  RequestReader reader_;
  QByteArray readBuffer_;
  clock::Deadline deadline_;
  Phase phase_ = Phase::kIdle;
  bool isHead_ = false;
  bool keepAlive_ = true;
  bool closeAfterAnswer_ = false;
};

} // namespace quetzal::http
