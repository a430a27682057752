#pragma once

#include "include/quetzal/connection/BackendConnection.h"
#include "include/quetzal/http/Message.h"

#include <QtCore/QObject>
#include <deque>
#include <functional>
#include <optional>

namespace quetzal::connection {

/** The result of one exchange: a response, or an error. */
struct ExchangeResult
{
  std::optional<ExchangeError> error_;
  http::Response response_;
  bool written_ = false; ///< Whether the other end may have read the request.
};

struct ClientOptions
{
  http::Limits limits_;
  std::size_t maxConnections_ = 4;
};

/** An HTTP client for one address, with a few connections that are kept open. Each request is tried
 * once; the sender decides whether to retry it. Callbacks that are outstanding when the client is
 * destroyed are never called. */
class Client : public QObject
{
  Q_OBJECT

public:
  using Callback = std::function<void(const ExchangeResult&)>;

  Client(const settings::Endpoint& aEndpoint, const ClientOptions& aOptions, QObject* aParent);

  /** Sends a request. The timeout includes the wait for a free connection. */
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
