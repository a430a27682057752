#include "tests/harness/RawCaller.h"

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>
#include <sys/socket.h>

namespace harness {
namespace {

constexpr const char* kVersion = "HTTP/1.1 ";
constexpr const char* kHeaderEnd = "\r\n\r\n";
constexpr const char* kLengthField = "Content-Length: ";

/** Returns the length of the whole answer at the start of some bytes; 0 if there is none. */
std::size_t
LengthOfAnswer(const std::string& aBytes)
{
  const std::size_t headerEnd = aBytes.find(kHeaderEnd);
  if (headerEnd == std::string::npos) {
    return 0;
  }
  const std::size_t header = headerEnd + std::string(kHeaderEnd).size();
  const std::size_t field = aBytes.find(kLengthField);
  const std::size_t body =
    field < header ? std::stoul(aBytes.substr(field + std::string(kLengthField).size())) : 0;
  return aBytes.size() >= header + body ? header + body : 0;
}

} // namespace

RawCaller::RawCaller(const Endpoint& aEndpoint)
  : socket_(std::make_unique<QTcpSocket>())
{
  QTcpSocket* socket = socket_.get();
  QObject::connect(socket, &QTcpSocket::connected, socket, [this] {
    connected_ = true;
    Write();
  });
  QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] {
    received_ += socket_->readAll().toStdString();
  });
  QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { closed_ = true; });
  QObject::connect(
    socket, &QTcpSocket::errorOccurred, socket, [this] { refused_ = refused_ || !connected_; });
  socket->connectToHost(QHostAddress(QString::fromStdString(aEndpoint.address_)), aEndpoint.port_);
}

RawCaller::~RawCaller()
{
  socket_->disconnect();
}

void
RawCaller::Send(const std::string& aBytes)
{
  unsent_ = aBytes;
  if (socket_->state() == QAbstractSocket::ConnectedState) {
    Write();
  }
}

void
RawCaller::SendPart(const std::string& aBytes)
{
  socket_->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  socket_->flush();
}

void
RawCaller::Write()
{
  if (unsent_.empty() || HasOtherEndClosed()) {
    return;
  }
  ++sent_;
  SendPart(unsent_);
  unsent_.clear();
}

bool
RawCaller::HasOtherEndClosed() const
{
  char byte = 0;
  const auto descriptor = static_cast<int>(socket_->socketDescriptor());
  return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

unsigned
RawCaller::Status() const
{
  constexpr std::size_t kStatusDigits = 3;
  const std::size_t version = std::string(kVersion).size();
  return CountAnswers() == 0
           ? 0
           : static_cast<unsigned>(std::stoul(received_.substr(version, kStatusDigits)));
}

int
RawCaller::CountAnswers() const
{
  int answers = 0;
  std::string rest = received_;
  while (const std::size_t length = LengthOfAnswer(rest)) {
    rest.erase(0, length);
    ++answers;
  }
  return answers;
}

} // namespace harness
