#pragma once

#include "include/quetzal/clock/Deadline.h"
#include "include/quetzal/http/Reader.h"
#include "include/quetzal/settings/Node.h"

#include <QtCore/QByteArray>
#include <QtCore/QObject>
#include <memory>

class QTcpSocket;

namespace quetzal::connection {

/** Why an exchange ended without a response. */
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
 * After an error it cannot be used again. */
class BackendConnection : public QObject
{
  Q_OBJECT

public:
  BackendConnection(const settings::Endpoint& aEndpoint, QObject* aParent);

  /** Connects if not yet connected, then writes the request.
   * @param aTimeout bound on the time to connect, and then on the rest of the exchange. */
  void Send(const std::string& aBytes,
            bool aIsHead,
            const http::Limits& aLimits,
            clock::Milliseconds aTimeout);

  /** Returns whether the connection is established and carries no exchange. */
  bool IsIdle() const { return phase_ == Phase::kIdle; }
  bool IsClosed() const { return phase_ == Phase::kClosed; }
  bool HasWritten() const { return written_; }

  /** Returns whether a byte of the current exchange's response has arrived. */
  bool HasAnswerStarted() const;

  /** Returns when the last byte arrived, or when the connection was established if none has. */
  clock::Moment LastReceivedAt() const { return lastReceivedAt_; }

  /** Marks the connection as possibly silent. Until a response arrives on it, only health requests
   * may be written to it. */
  void MarkSuspect() { suspect_ = true; }
  bool IsSuspect() const { return suspect_; }

  /** Closes the connection immediately, without a signal. */
  void Abort();

Q_SIGNALS:
  void AnswerArrived(const quetzal::http::Response& aResponse);
  void ExchangeFailed(quetzal::connection::ExchangeError aError);
  /** The connection was closed while it carried no exchange. */
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
