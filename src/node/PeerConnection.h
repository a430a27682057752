#pragma once

#include "include/quetzal/node/LinkHealth.h"
#include "include/quetzal/node/PeerCall.h"
#include "include/quetzal/settings/Node.h"

#include <QtCore/QByteArray>
#include <QtCore/QObject>
#include <map>

class QTcpSocket;

namespace quetzal::node {

/** One connection to another entry host, and the calls that wait on it. Each call's handler is
 * called once. Closing the connection ends its calls; it can't be used again. */
class PeerConnection : public QObject
{
  Q_OBJECT

public:
  /** Starts to connect. */
  PeerConnection(const settings::Endpoint& aPeer, QObject* aParent);
  ~PeerConnection() override;

  /** Sends a call, at once or when connected. */
  void Call(std::int64_t aNumber,
            const QByteArray& aFrame,
            clock::Moment aExpiresAt,
            CallResultHandler aDone);

  void Ping(std::int64_t aNumber);

  /** Ends the calls that have expired. Their answers are ignored if they still arrive. */
  void ExpireCalls(clock::Moment aNow);

  /** Advances the health by the time since the last check. */
  void Check(clock::Milliseconds aElapsed);

  void Close();

  std::size_t CallCount() const { return calls_.size(); }
  /** Returns whether the other host owes nothing on this connection. */
  bool IsIdle() const { return health_.connected_ && !health_.answerDue_ && calls_.empty(); }
  bool IsClosed() const { return closed_; }
  LinkState State(clock::Milliseconds aSuccessorAnswersFor) const
  {
    return StateOf(health_, aSuccessorAnswersFor);
  }

  /** Returns how long ago the first bytes arrived; 0 if none have. */
  clock::Milliseconds AnswersFor(clock::Moment aNow) const;

Q_SIGNALS:
  /** The connection is closed. Emitted before its calls end. */
  void Closed();

private:
  struct WaitingCall
  {
    CallState state_;
    CallResultHandler done_;
  };

  void OnConnected();
  void OnBytes();
  void Send(std::int64_t aNumber, const QByteArray& aFrame);

  settings::Endpoint peer_;
  QTcpSocket* socket_;
  QByteArray unparsed_;
  std::map<std::int64_t, QByteArray> unsent_; ///< Frames to send once connected, by call.
  std::map<std::int64_t, WaitingCall> calls_;
  LinkHealth health_;
  std::optional<clock::Moment> firstBytesAt_;
  bool closed_ = false;
};

} // namespace quetzal::node
