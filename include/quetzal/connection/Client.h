#pragma once

#include "include/quetzal/connection/BackendConnection.h"
#include "include/quetzal/http/Message.h"

#include <QtCore/QObject>
#include <deque>
#include <functional>
#include <optional>

namespace quetzal::connection {

/** What became of one exchange: an answer, or the reason why there is none. */
struct ExchangeResult
{
  std::optional<ExchangeError> error_;
  http::Response response_;
  bool written_ = false; ///< Whether the request may have been read at the other end.
};

struct ClientOptions
{
  http::Limits limits_;
  std::size_t maxConnections_ = 4;
};

/** Exchanges with one address over a few connections that are kept open. Every exchange is tried
 * once; whether it may be tried again is its sender's decision. Callbacks that are outstanding when
 * the client is destroyed never come. */
class Client : public QObject
{
  Q_OBJECT

public:
  using Callback = std::function<void(const ExchangeResult&)>;

  Client(const settings::Endpoint& aEndpoint, const ClientOptions& aOptions, QObject* aParent);

  /** Sends a request; the time bound includes waiting for a connection. */
  void Send(const http::Request& aRequest, clock::Milliseconds aTimeout, Callback aCallback);

  const settings::Endpoint& Address() const { return endpoint_; }

private:
  struct Exchange
  {
    std::string bytes_;
    clock::Moment expiresAt_;
    Callback callback_;
  };
  struct PooledConnection
  {
    BackendConnection* connection_ = nullptr;
    std::optional<Exchange> exchange_;
  };

  void SendNext();
  void StartExchange(PooledConnection& aPooled, Exchange aExchange);
  PooledConnection* FindFreeConnection();
  PooledConnection& AddConnection();
  void OnAnswer(BackendConnection* aConnection, const http::Response& aResponse);
  void OnFailure(BackendConnection* aConnection, ExchangeError aError);
  Exchange TakeExchange(BackendConnection* aConnection);
  void CloseIdle();
  void RemoveClosed();

  settings::Endpoint endpoint_;
  ClientOptions options_;
  std::deque<PooledConnection> connections_;
  std::deque<Exchange> waiting_;
};

} // namespace quetzal::connection
