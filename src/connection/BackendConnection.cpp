#include "include/quetzal/connection/BackendConnection.h"

#include <QtNetwork/QTcpSocket>

namespace quetzal::connection {
namespace {

/** Bound on the time to connect. Hosts of one deployment are only milliseconds apart. */
constexpr clock::Milliseconds kConnectTimeout{ 500 };

ExchangeError
ErrorOf(http::ReadError aError)
{
  const bool tooLarge =
    aError == http::ReadError::kBodyTooLarge || aError == http::ReadError::kHeaderTooLarge;
  return tooLarge ? ExchangeError::kTooLarge : ExchangeError::kMalformed;
}

} // namespace

BackendConnection::BackendConnection(const settings::Endpoint& aEndpoint, QObject* aParent)
  : QObject(aParent)
  , endpoint_(aEndpoint)
  , socket_(new QTcpSocket(this))
{
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(socket_, &QTcpSocket::connected, this, &BackendConnection::OnConnected);
  connect(socket_, &QTcpSocket::readyRead, this, &BackendConnection::OnReadyRead);
  connect(socket_, &QTcpSocket::disconnected, this, &BackendConnection::OnClosed);
  connect(socket_, &QTcpSocket::errorOccurred, this, &BackendConnection::OnClosed);
  connect(&deadline_, &clock::Deadline::Passed, this, [this] {
    Fail(phase_ == Phase::kConnecting ? ExchangeError::kConnectFailed : ExchangeError::kTimedOut);
  });
}

void
BackendConnection::Send(const std::string& aBytes,
                        bool aIsHead,
                        const http::Limits& aLimits,
                        clock::Milliseconds aTimeout)
{
  Q_ASSERT(phase_ == Phase::kNew || phase_ == Phase::kIdle);
  request_ = aBytes;
  reader_ = std::make_unique<http::ResponseReader>(aLimits, aIsHead);
  written_ = false;
  const bool isNew = phase_ == Phase::kNew;
  deadline_.Set(isNew ? std::min(aTimeout, kConnectTimeout) : aTimeout);
  if (!isNew) {
    Write();
    return;
  }
  phase_ = Phase::kConnecting;
  exchangeTimeout_ = aTimeout;
  socket_->connectToHost(QHostAddress(QString::fromStdString(endpoint_.address_)), endpoint_.port_);
}

void
BackendConnection::OnConnected()
{
  lastReceivedAt_ = std::chrono::steady_clock::now();
  deadline_.Set(exchangeTimeout_);
  Write();
}

void
BackendConnection::Write()
{
  phase_ = Phase::kBusy;
  written_ = true;
  socket_->write(request_.data(), static_cast<qint64>(request_.size()));
  request_.clear();
  socket_->flush();
}

void
BackendConnection::OnReadyRead()
{
  lastReceivedAt_ = std::chrono::steady_clock::now();
  readBuffer_ += socket_->readAll();
  if (phase_ == Phase::kIdle) {
    // Bytes that arrive while no request is in flight must not be taken for the response to the
    // next request.
    OnClosed();
    return;
  }
  if (phase_ != Phase::kBusy) {
    return;
  }
  const http::ReadState state = reader_->Feed(readBuffer_);
  if (state == http::ReadState::kNeedsMore) {
    return;
  }
  if (state == http::ReadState::kFailed) {
    Fail(ErrorOf(reader_->Error()));
    return;
  }
  const http::Response response = reader_->Take();
  deadline_.Clear();
  suspect_ = false;
  const bool surplus = !readBuffer_.isEmpty();
  phase_ = Phase::kIdle;
  if (surplus || !response.keepAlive_) {
    Abort();
  }
  Q_EMIT AnswerArrived(response);
}

void
BackendConnection::OnClosed()
{
  switch (phase_) {
    case Phase::kNew:
    case Phase::kClosed:
      return;
    case Phase::kConnecting:
      Fail(ExchangeError::kConnectFailed);
      return;
    case Phase::kBusy:
      Fail(reader_->HasStarted() ? ExchangeError::kTruncated : ExchangeError::kConnectionLost);
      return;
    case Phase::kIdle:
      Abort();
      Q_EMIT IdleClosed();
      return;
  }
}

bool
BackendConnection::HasAnswerStarted() const
{
  return phase_ == Phase::kBusy && reader_->HasStarted();
}

void
BackendConnection::Fail(ExchangeError aError)
{
  if (phase_ == Phase::kClosed) {
    return;
  }
  Abort();
  // The signal is queued so that it is never emitted within Send(). The caller of Send() still uses
  // the exchange, and the receiver of the signal ends that exchange.
  QMetaObject::invokeMethod(
    this, [this, aError] { Q_EMIT ExchangeFailed(aError); }, Qt::QueuedConnection);
}

void
BackendConnection::Abort()
{
  phase_ = Phase::kClosed;
  deadline_.Clear();
  socket_->disconnect(this);
  socket_->abort();
}

} // namespace quetzal::connection
