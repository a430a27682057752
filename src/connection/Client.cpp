#include "include/quetzal/connection/Client.h"

#include <algorithm>

namespace quetzal::connection {

Client::Client(const settings::Endpoint& aEndpoint, const ClientOptions& aOptions, QObject* aParent)
  : QObject(aParent)
  , endpoint_(aEndpoint)
  , options_(aOptions)
{
}

void
Client::Send(const http::Request& aRequest, clock::Milliseconds aTimeout, Callback aCallback)
{
  const clock::Moment expiresAt = std::chrono::steady_clock::now() + aTimeout;
  waiting_.push_back({ http::Serialize(aRequest), expiresAt, std::move(aCallback) });
  SendNext();
}

void
Client::SendNext()
{
  while (!waiting_.empty()) {
    if (waiting_.front().expiresAt_ <= std::chrono::steady_clock::now()) {
      const Exchange expired = std::move(waiting_.front());
      waiting_.pop_front();
      if (expired.callback_) {
        expired.callback_({ ExchangeError::kTimedOut, {}, false });
      }
      continue;
    }
    PooledConnection* pooled = FindFreeConnection();
    if (pooled == nullptr) {
      return;
    }
    Exchange exchange = std::move(waiting_.front());
    waiting_.pop_front();
    StartExchange(*pooled, std::move(exchange));
  }
}

Client::PooledConnection*
Client::FindFreeConnection()
{
  for (PooledConnection& pooled : connections_) {
    if (!pooled.exchange_ && pooled.connection_->IsIdle()) {
      return &pooled;
    }
  }
  RemoveClosed();
  return connections_.size() < options_.maxConnections_ ? &AddConnection() : nullptr;
}

Client::PooledConnection&
Client::AddConnection()
{
  auto* connection = new BackendConnection(endpoint_, this);
  connect(connection,
          &BackendConnection::AnswerArrived,
          this,
          [this, connection](const http::Response& aResponse) { OnAnswer(connection, aResponse); });
  connect(connection, &BackendConnection::ExchangeFailed, this, [this, connection](auto aError) {
    OnFailure(connection, aError);
  });
  connections_.push_back({ connection, std::nullopt });
  return connections_.back();
}

void
Client::StartExchange(PooledConnection& aPooled, Exchange aExchange)
{
  const auto left = std::chrono::duration_cast<clock::Milliseconds>(
    aExchange.expiresAt_ - std::chrono::steady_clock::now());
  const std::string bytes = std::move(aExchange.bytes_);
  aPooled.exchange_ = std::move(aExchange);
  aPooled.connection_->Send(bytes, false, options_.limits_, std::max(left, clock::Milliseconds(1)));
}

Client::Exchange
Client::TakeExchange(BackendConnection* aConnection)
{
  const auto pooled = std::find_if(
    connections_.begin(), connections_.end(), [aConnection](const PooledConnection& aPooled) {
      return aPooled.connection_ == aConnection;
    });
  Exchange exchange;
  if (pooled != connections_.end() && pooled->exchange_) {
    exchange = std::move(*pooled->exchange_);
    pooled->exchange_.reset();
  }
  return exchange;
}

void
Client::OnAnswer(BackendConnection* aConnection, const http::Response& aResponse)
{
  const Exchange exchange = TakeExchange(aConnection);
  SendNext();
  if (exchange.callback_) {
    exchange.callback_({ std::nullopt, aResponse, true });
  }
}

void
Client::OnFailure(BackendConnection* aConnection, ExchangeError aError)
{
  const bool written = aConnection->HasWritten();
  const Exchange exchange = TakeExchange(aConnection);
  if (aError == ExchangeError::kTimedOut) {
    // The connection may be silent, and idle connections may have gone silent with it.
    CloseIdle();
  }
  SendNext();
  if (exchange.callback_) {
    exchange.callback_({ aError, {}, written });
  }
}

void
Client::CloseIdle()
{
  for (PooledConnection& pooled : connections_) {
    if (!pooled.exchange_ && pooled.connection_->IsIdle()) {
      pooled.connection_->Abort();
    }
  }
}

void
Client::RemoveClosed()
{
  std::erase_if(connections_, [](const PooledConnection& aPooled) {
    const bool closed = !aPooled.exchange_ && aPooled.connection_->IsClosed();
    if (closed) {
      aPooled.connection_->deleteLater();
    }
    return closed;
  });
}

} // namespace quetzal::connection
