#include "include/quetzal/http/ServerConnection.h"

#include "include/quetzal/clock/Now.h"

#include <QtNetwork/QTcpSocket>
#include <algorithm>
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

/** Unused capacity that a read buffer may keep. */
constexpr qsizetype kSpareBytes = 1024;

/** Frees unused capacity, which a buffer keeps when bytes are removed from it. */
void
ShrinkBuffer(QByteArray& aBuffer)
{
  if (aBuffer.isEmpty()) {
    aBuffer = QByteArray();
  } else if (aBuffer.capacity() > 2 * aBuffer.size() + kSpareBytes) {
    aBuffer.squeeze();
  }
}

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
  phaseSince_ = clock::Now();
  if (occupancy_ != nullptr) {
    occupancy_->Add(*this);
  }
}

ServerConnection::~ServerConnection()
{
  if (occupancy_ != nullptr) {
    occupancy_->Remove(*this);
  }
}

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
  const qsizetype unread = readBuffer_.size();
  readBuffer_ += socket_->readAll();
  bytesInWindow_ += static_cast<std::size_t>(readBuffer_.size() - unread);
  if (readBuffer_.isEmpty()) {
    return;
  }
  hasReceived_ = true;
  const bool isFirstPart = phase_ == Phase::kIdle;
  if (isFirstPart) {
    SetPhase(Phase::kReading);
  }
  const ReadState state = reader_.Feed(readBuffer_);
  ShrinkBuffer(readBuffer_);
  if (state == ReadState::kNeedsMore) {
    AwaitRest(isFirstPart);
    return;
  }
  deadline_.Clear();
  SetPhase(Phase::kBusy);
  if (state == ReadState::kFailed) {
    Discard();
    Q_EMIT RequestRefused(reader_.Error());
    return;
  }
  const Request request = reader_.Take();
  ReportOccupancy();
  isHead_ = request.method_ == "HEAD";
  keepAlive_ = request.keepAlive_;
  Q_EMIT RequestArrived(request);
}

void
ServerConnection::AwaitRest(bool aIsFirstPart)
{
  if (aIsFirstPart) {
    SetRateDeadline();
  }
  if (reader_.TakeExpectation()) {
    socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  ReportOccupancy();
  if (occupancy_ != nullptr) {
    occupancy_->EnforceHeldBytes();
  }
}

void
ServerConnection::SetRateDeadline()
{
  bytesInWindow_ = 0;
  const auto elapsed = std::chrono::duration_cast<clock::Milliseconds>(clock::Now() - phaseSince_);
  const clock::Milliseconds left = limits_.requestTimeout_ - elapsed;
  deadline_.Set(std::clamp(left, clock::Milliseconds(1), limits_.bodyRate_.window_));
}

bool
ServerConnection::IsTooSlow() const
{
  const bool isLate = clock::Now() - phaseSince_ >= limits_.requestTimeout_;
  return isLate || (reader_.IsInBody() && IsBelowRate(limits_.bodyRate_, bytesInWindow_));
}

void
ServerConnection::Discard()
{
  keepAlive_ = false;
  reader_.Discard();
  readBuffer_ = QByteArray();
  ReportOccupancy();
}

void
ServerConnection::SetPhase(Phase aPhase)
{
  phase_ = aPhase;
  phaseSince_ = clock::Now();
  ReportOccupancy();
}

std::size_t
ServerConnection::HeldBytes() const
{
  return reader_.HeldBytes() + static_cast<std::size_t>(readBuffer_.capacity());
}

void
ServerConnection::ReportOccupancy()
{
  if (occupancy_ == nullptr) {
    return;
  }
  if (phase_ == Phase::kReading) {
    occupancy_->Update(*this, { OccupantState::kUnfinished, HeldBytes(), phaseSince_ });
    return;
  }
  const bool isBusy = phase_ == Phase::kBusy;
  occupancy_->Update(*this,
                     { isBusy ? OccupantState::kBusy : OccupantState::kIdle, 0, phaseSince_ });
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
  SetPhase(Phase::kIdle);
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
  SetPhase(Phase::kLingering);
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
ServerConnection::EvictRequest()
{
  if (phase_ == Phase::kReading) {
    deadline_.Clear();
    SetPhase(Phase::kBusy);
    Discard();
    Q_EMIT RequestEvicted();
  }
}

void
ServerConnection::EndReading()
{
  if (phase_ == Phase::kReading) {
    SetPhase(Phase::kBusy);
    Discard();
    Q_EMIT RequestTooSlow();
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
  if (phase_ == Phase::kReading && !IsTooSlow()) {
    SetRateDeadline();
    return;
  }
  if (phase_ == Phase::kReading) {
    EndReading();
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
  if (occupancy_ != nullptr) {
    occupancy_->Remove(*this);
  }
  if (wasBusy) {
    Q_EMIT CallerLeft();
  }
  deleteLater();
}

} // namespace quetzal::http
