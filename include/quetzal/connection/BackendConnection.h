#pragma once

#include "include/quetzal/clock/Deadline.h"
#include "include/quetzal/http/Reader.h"
#include "include/quetzal/settings/Node.h"

#include <QtCore/QByteArray>
#include <QtCore/QObject>
#include <memory>

class QTcpSocket;

namespace quetzal::connection {

/** Why an exchange ended without an answer. */
enum class ExchangeError : std::uint8_t
{
  kConnectFailed,
  kConnectionLost,
  kTruncated,
  kMalformed,
  kTooLarge,
  kTimedOut,
};

/** One connection to a backend server. It carries one exchange at a time and owns its socket.
 * After any error it is of no further use. */
class BackendConnection : public QObject
{
  Q_OBJECT

public:
  BackendConnection(const settings::Endpoint& aEndpoint, QObject* aParent);

  /** Connects first where need be, then writes the request.
   * @param aTimeout bound on the exchange, connecting included. */
  void Send(const std::string& aBytes,
            bool aIsHead,
            const http::Limits& aLimits,
            clock::Milliseconds aTimeout);

  /** Tells whether the connection stands and carries no exchange. */
  bool IsIdle() const { return phase_ == Phase::kIdle; }
  bool IsClosed() const { return phase_ == Phase::kClosed; }
  bool HasWritten() const { return written_; }

  /** Tells whether the answer in hand has begun to arrive. */
  bool HasAnswerStarted() const;

  /** The moment at which the last byte arrived, or the connection was made. */
  clock::Moment LastReceivedAt() const { return lastReceivedAt_; }

  /** From now on the connection must be proven before anything but a proof is written. */
  void MarkSuspect() { suspect_ = true; }
  bool IsSuspect() const { return suspect_; }

  /** Ends the connection at once. No signal follows. */
  void Abort();

Q_SIGNALS:
  void AnswerArrived(const quetzal::http::Response& aResponse);
  void ExchangeFailed(quetzal::connection::ExchangeError aError);
  /** The connection ended while it carried no exchange. */
  void IdleClosed();

private:
  enum class Phase : std::uint8_t
  {
    kNew,
    kConnecting,
    kBusy,
    kIdle,
    kClosed,
  };

  void OnConnected();
  void OnReadyRead();
  void OnClosed();
  void Write();
  void Fail(ExchangeError aError);

  settings::Endpoint endpoint_;
  QTcpSocket* socket_;
  clock::Deadline deadline_;
  Phase phase_ = Phase::kNew;
  std::string request_;
  QByteArray readBuffer_;
  std::unique_ptr<http::ResponseReader> reader_;
  clock::Moment lastReceivedAt_{};
  clock::Milliseconds exchangeTimeout_{ 0 };
  bool written_ = false;
  bool suspect_ = false;
};

} // namespace quetzal::connection
