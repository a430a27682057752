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
Client::Send(const http::Request& aRequest, clock::Milliseconds aTime, Callback aCallback)
{
  const clock::Moment expires = std::chrono::steady_clock::now() + aTime;
  waiting_.push_back({ http::Serialize(aRequest), expires, std::move(aCallback) });
  SendNext();
}

void
Client::SendNext()
{
  while (!waiting_.empty()) {
    Row* row = FreeRow();
    if (row == nullptr) {
      return;
    }
    Exchange exchange = std::move(waiting_.front());
    waiting_.pop_front();
    Begin(*row, std::move(exchange));
  }
}

Client::Row*
Client::FreeRow()
{
  for (Row& row : rows_) {
    if (!row.exchange_ && row.connection_->IsIdle()) {
      return &row;
    }
  }
  DropDead();
  return rows_.size() < options_.mostConnections_ ? &AddRow() : nullptr;
}

Client::Row&
Client::AddRow()
{
  auto* connection = new BackendConnection(endpoint_, this);
  connect(connection,
          &BackendConnection::AnswerArrived,
          this,
          [this, connection](const http::Response& aResponse) { OnAnswer(connection, aResponse); });
  connect(connection, &BackendConnection::ExchangeFailed, this, [this, connection](auto aError) {
    OnFailure(connection, aError);
  });
  rows_.push_back({ connection, std::nullopt });
  return rows_.back();
}

void
Client::Begin(Row& aRow, Exchange aExchange)
{
  const auto left = std::chrono::duration_cast<clock::Milliseconds>(
    aExchange.expires_ - std::chrono::steady_clock::now());
  const std::string bytes = std::move(aExchange.bytes_);
  aRow.exchange_ = std::move(aExchange);
  aRow.connection_->Send(bytes, false, options_.limits_, std::max(left, clock::Milliseconds(1)));
}

Client::Exchange
Client::Release(BackendConnection* aConnection)
{
  const auto row = std::find_if(rows_.begin(), rows_.end(), [aConnection](const Row& aRow) {
    return aRow.connection_ == aConnection;
  });
  Exchange exchange;
  if (row != rows_.end() && row->exchange_) {
    exchange = std::move(*row->exchange_);
    row->exchange_.reset();
  }
  return exchange;
}

void
Client::OnAnswer(BackendConnection* aConnection, const http::Response& aResponse)
{
  const Exchange exchange = Release(aConnection);
  SendNext();
  if (exchange.callback_) {
    exchange.callback_({ std::nullopt, aResponse, true });
  }
}

void
Client::OnFailure(BackendConnection* aConnection, ExchangeError aError)
{
  const bool written = aConnection->HasWritten();
  const Exchange exchange = Release(aConnection);
  if (aError == ExchangeError::kTimedOut) {
    // The others of that age may have fallen silent as well.
    DropIdle();
  }
  SendNext();
  if (exchange.callback_) {
    exchange.callback_({ aError, {}, written });
  }
}

void
Client::DropIdle()
{
  for (Row& row : rows_) {
    if (!row.exchange_ && row.connection_->IsIdle()) {
      row.connection_->Abort();
    }
  }
}

void
Client::DropDead()
{
  std::erase_if(rows_, [](const Row& aRow) {
    const bool dead = !aRow.exchange_ && aRow.connection_->IsDead();
    if (dead) {
      aRow.connection_->deleteLater();
    }
    return dead;
  });
}

} // namespace quetzal::connection
