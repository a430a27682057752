#include "tests/harness/HostileCallers.h"

#include <QtNetwork/QHostAddress>
#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace harness {
namespace {

constexpr std::size_t kPieceBytes = 16 * 1024;
/** Rounds of 5 ms without progress after which the callers give up. */
constexpr int kMaxQuietRounds = 400;
constexpr int kSettleRounds = 400;
constexpr std::chrono::milliseconds kRoundPause{ 5 };

sockaddr_in
AddressOf(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port_);
  const QHostAddress host(QString::fromStdString(aEndpoint.address_));
  address.sin_addr.s_addr = htonl(host.toIPv4Address());
  return address;
}

int
Connect(const Endpoint& aEndpoint)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(aEndpoint);
  if (descriptor < 0 ||
      ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    throw std::runtime_error("a hostile caller cannot connect");
  }
  return descriptor;
}

/** Discards received bytes. @return whether the connection is still open. */
bool
Drain(int aDescriptor)
{
  std::array<char, 4096> bytes{};
  for (;;) {
    const ssize_t count = ::recv(aDescriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count <= 0) {
      return count < 0 && errno == EAGAIN;
    }
  }
}

} // namespace

HostileCallers::HostileCallers(const Endpoint& aEndpoint, int aCount, HostileStream aStream)
  : stream_(std::move(aStream))
{
  for (int i = 0; i < aCount; ++i) {
    connections_.push_back({ Connect(aEndpoint), stream_.head_ });
  }
}

HostileCallers::~HostileCallers()
{
  for (const Connection& connection : connections_) {
    if (connection.descriptor_ >= 0) {
      ::close(connection.descriptor_);
    }
  }
}

void
HostileCallers::SendAll(const std::function<void()>& aWatch)
{
  int quietRounds = 0;
  while (quietRounds < kMaxQuietRounds) {
    std::size_t sent = 0;
    bool isDone = true;
    for (Connection& connection : connections_) {
      sent += SendPiece(connection);
      Refill(connection);
      isDone = isDone && (connection.descriptor_ < 0 || connection.pending_.empty());
    }
    quietRounds = sent == 0 ? quietRounds + 1 : 0;
    if (sent == 0 || isDone) {
      Pause(kRoundPause);
    }
    aWatch();
    if (isDone) {
      break;
    }
  }
  // What is sent may still be in the kernel's buffers.
  for (int i = 0; i < kSettleRounds; ++i) {
    Pause(kRoundPause);
    aWatch();
  }
}

void
HostileCallers::Refill(Connection& aConnection) const
{
  while (aConnection.pending_.size() < kPieceBytes && aConnection.partsSent_ < stream_.parts_) {
    aConnection.pending_ += stream_.part_;
    ++aConnection.partsSent_;
  }
  if (aConnection.partsSent_ == stream_.parts_ && !aConnection.hasSentTail_) {
    aConnection.pending_ += stream_.tail_;
    aConnection.hasSentTail_ = true;
  }
}

std::size_t
HostileCallers::SendPiece(Connection& aConnection) const
{
  if (aConnection.descriptor_ < 0 || aConnection.pending_.empty()) {
    return 0;
  }
  const std::size_t size = std::min(aConnection.pending_.size(), kPieceBytes);
  const ssize_t sent =
    ::send(aConnection.descriptor_, aConnection.pending_.data(), size, MSG_DONTWAIT | MSG_NOSIGNAL);
  const bool isBroken = sent < 0 && errno != EAGAIN;
  if (isBroken || !Drain(aConnection.descriptor_)) {
    ::close(aConnection.descriptor_);
    aConnection.descriptor_ = -1;
    return 0;
  }
  if (sent < 0) {
    return 0;
  }
  aConnection.pending_.erase(0, static_cast<std::size_t>(sent));
  return static_cast<std::size_t>(sent);
}

} // namespace harness
