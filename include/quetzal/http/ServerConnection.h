#pragma once

#include "include/quetzal/clock/Deadline.h"
#include "include/quetzal/http/Occupancy.h"
#include "include/quetzal/http/Reader.h"
#include "include/quetzal/http/TransferRate.h"

#include <QtCore/QByteArray>
#include <QtCore/QObject>
#include <chrono>

class QTcpSocket;

namespace quetzal::http {

/** Limits on one connection. */
struct ServerLimits
{
  Limits message_;
  std::chrono::milliseconds requestTimeout_{ 10'000 }; ///< From a request's first byte to its last.
  std::chrono::milliseconds idleTimeout_{ 60'000 };    ///< Between requests.
  TransferRate bodyRate_;
};

/** One accepted connection. It handles one request at a time, in order of arrival, and owns its
 * socket. It deletes itself once the connection is closed. */
class ServerConnection : public QObject
{
  Q_OBJECT

public:
  /** @param aOccupancy limits what all connections hold together; null: no such limit. */
  ServerConnection(QTcpSocket* aSocket,
                   const ServerLimits& aLimits,
                   QObject* aParent,
                   Occupancy* aOccupancy = nullptr);
  ~ServerConnection() override;

  /** Sends the response to the current request. Does nothing if the caller has left,
   * because there is no current request then. */
  void Answer(const Response& aResponse);

  /** Starts a chunked response, for a stream that ends only with the connection. */
  void StartStream(unsigned aStatus);
  void SendChunk(const std::string& aBytes);

  /** Closes the connection after the current or next response. */
  void CloseAfterAnswer();

  /** Closes the connection if it carries no request, otherwise after the current or next response.
   * A new connection has a short time for its first request, which may be on its way. */
  void CloseIfIdle();

  /** If part of a request has arrived, frees it and emits RequestEvicted(). */
  void EvictRequest();

  /** If part of a request has arrived, emits RequestTooSlow(). */
  void EndReading();

  /** Returns whether a request waits for its response. */
  bool IsBusy() const { return phase_ == Phase::kBusy; }

  /** Returns whether part of a request has arrived. */
  bool IsReading() const { return phase_ == Phase::kReading; }

  /** Returns whether part of a response has not been given to the network yet. */
  bool HasUnsentBytes() const;

  /** Closes the connection immediately, with a reset. */
  void Abort();

Q_SIGNALS:
  void RequestArrived(const quetzal::http::Request& aRequest);
  /** The request could not be parsed. The receiver responds; the connection is then closed. */
  void RequestRefused(quetzal::http::ReadError aError);
  /** The request did not arrive within ServerLimits::requestTimeout_. The receiver responds; the
   * connection is then closed. */
  void RequestTooSlow();
  /** The request was discarded because the process holds too many bytes. The receiver responds; the
   * connection is then closed. */
  void RequestEvicted();
  /** The caller closed the connection before its request was answered. */
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
  /** Waits for the rest of a request. */
  void AwaitRest(bool aIsFirstPart);
  /** Frees the unfinished request, whose refusal is the last response. */
  void Discard();
  void SetPhase(Phase aPhase);
  /** Tells the occupancy what the connection holds. */
  void ReportOccupancy();
  std::size_t HeldBytes() const;
  void SetRateDeadline();
  /** Returns whether an unfinished request has exceeded its time or is below its rate. */
  bool IsTooSlow() const;
  void CloseUnlessReadable();
  void Linger();
  void OnTimeout();
  void OnDisconnected();

  QTcpSocket* socket_;
  Occupancy* occupancy_;
  ServerLimits limits_;
  RequestReader reader_;
  QByteArray readBuffer_;
  clock::Deadline deadline_;
  Phase phase_ = Phase::kIdle;
  clock::Moment phaseSince_{};
  std::size_t bytesInWindow_ = 0; ///< Received since the rate was last checked.
  bool isHead_ = false;
  bool keepAlive_ = true;
  bool closeAfterAnswer_ = false;
  bool hasReceived_ = false;
};

} // namespace quetzal::http
