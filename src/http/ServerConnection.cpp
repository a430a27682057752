#include "include/quetzal/http/ServerConnection.h"

#include <QtNetwork/QTcpSocket>
#include <sys/socket.h>

namespace quetzal::http {
namespace {

/** Bound on the bytes that are buffered while a request is processed. */
constexpr qint64 kReadBufferBytes = 64 * 1024;

/** How long the other end has to receive a further part of the last response, and then to close the
 * connection. After this time, the connection is reset. */
constexpr std::chrono::milliseconds kLingerTimeout{ 2'000 };

/** How long a connection that was accepted shortly before the server closes it has for its first
 * request. */
constexpr std::chrono::milliseconds kFirstRequestTimeout{ 150 };

} // namespace

ServerConnection::ServerConnection(QTcpSocket* aSocket,
                                   const ServerLimits& aLimits,
                                   QObject* aParent,
                                   Occupancy* aOccupancy)
  : QObject(aParent)
  , socket_(aSocket)
  , occupancy_(aOccupancy)
  , limits_(aLimits)
  , reader_(aLimits.message_)
{
  socket_->setParent(this);
  socket_->setReadBufferSize(kReadBufferBytes);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(socket_, &QTcpSocket::readyRead, this, &ServerConnection::Read);
  connect(socket_, &QTcpSocket::disconnected, this, &ServerConnection::OnDisconnected);
  connect(&deadline_, &clock::Deadline::Passed, this, &ServerConnection::OnTimeout);
  deadline_.Set(limits_.idleTimeout_);
}

ServerConnection::~ServerConnection() = default;

void
ServerConnection::Read()
{
  if (phase_ == Phase::kLingering) {
    socket_->readAll();
    return;
  }
  if (phase_ == Phase::kBusy) {
    return;
  }
  readBuffer_ += socket_->readAll();
  if (readBuffer_.isEmpty()) {
    return;
  }
  hasReceived_ = true;
  const bool isFirstPart = phase_ == Phase::kIdle;
  phase_ = Phase::kReading;
  const ReadState state = reader_.Feed(readBuffer_);
  if (state == ReadState::kNeedsMore) {
    if (isFirstPart) {
      deadline_.Set(limits_.requestTimeout_);
    }
    if (reader_.TakeExpectation()) {
      socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  deadline_.Clear();
  phase_ = Phase::kBusy;
  if (state == ReadState::kFailed) {
    keepAlive_ = false;
    Q_EMIT RequestRefused(reader_.Error());
    return;
  }
  const Request request = reader_.Take();
  isHead_ = request.method_ == "HEAD";
  keepAlive_ = request.keepAlive_;
  Q_EMIT RequestArrived(request);
}

void
ServerConnection::Answer(const Response& aResponse)
{
  if (phase_ != Phase::kBusy) {
    return;
  }
  Response response = aResponse;
  response.keepAlive_ = aResponse.keepAlive_ && keepAlive_ && !closeAfterAnswer_;
  const std::string bytes = Serialize(response, isHead_);
  socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
  if (!response.keepAlive_) {
    Linger();
    return;
  }
  phase_ = Phase::kIdle;
  deadline_.Set(limits_.idleTimeout_);
  // The next request may have arrived already. The call is queued so that other events are handled
  // in between.
  QMetaObject::invokeMethod(this, &ServerConnection::Read, Qt::QueuedConnection);
}

void
ServerConnection::StartStream(unsigned aStatus)
{
  const std::string head =
    "HTTP/1.1 " + std::to_string(aStatus) + " OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  socket_->write(head.data(), static_cast<qint64>(head.size()));
}

void
ServerConnection::SendChunk(const std::string& aBytes)
{
  if (phase_ != Phase::kBusy) {
    return;
  }
  const QByteArray size = QByteArray::number(static_cast<qulonglong>(aBytes.size()), 16);
  socket_->write(size + "\r\n");
  socket_->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  socket_->write("\r\n");
}

void
ServerConnection::Linger()
{
  // Closing a socket with unread bytes resets the connection, and the response might get lost.
  phase_ = Phase::kLingering;
  socket_->readAll();
  const auto finish = [this] {
    deadline_.Set(kLingerTimeout);
    if (socket_->bytesToWrite() == 0) {
      ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    }
  };
  connect(socket_, &QTcpSocket::bytesWritten, this, finish);
  socket_->flush();
  finish();
}

void
ServerConnection::CloseAfterAnswer()
{
  closeAfterAnswer_ = true;
}

void
ServerConnection::CloseIfIdle()
{
  closeAfterAnswer_ = true;
  if (!hasReceived_) {
    deadline_.Set(kFirstRequestTimeout);
    return;
  }
  CloseUnlessReadable();
}

void
ServerConnection::CloseUnlessReadable()
{
  // A request may have arrived that is still in the kernel's buffer.
  socket_->waitForReadyRead(0);
  if (phase_ == Phase::kIdle && socket_->bytesAvailable() == 0) {
    Linger();
  }
}

void
ServerConnection::EndReading()
{
  if (phase_ == Phase::kReading) {
    OnTimeout();
  }
}

bool
ServerConnection::HasUnsentBytes() const
{
  return socket_->bytesToWrite() > 0;
}

void
ServerConnection::Abort()
{
  socket_->abort();
}

void
ServerConnection::OnTimeout()
{
  if (phase_ == Phase::kReading) {
    phase_ = Phase::kBusy;
    keepAlive_ = false;
    Q_EMIT RequestTooSlow();
    return;
  }
  if (phase_ == Phase::kIdle && closeAfterAnswer_) {
    CloseUnlessReadable();
    return;
  }
  socket_->abort();
}

void
ServerConnection::OnDisconnected()
{
  const bool wasBusy = phase_ == Phase::kBusy;
  phase_ = Phase::kLingering;
  deadline_.Clear();
  if (wasBusy) {
    Q_EMIT CallerLeft();
  }
  deleteLater();
}

} // namespace quetzal::http
