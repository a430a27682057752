#pragma once

#include "tests/harness/Client.h"

#include <functional>
#include <string>
#include <vector>

namespace harness {

/** What each of many hostile callers sends on its connection. */
struct HostileStream
{
  std::string head_;
  std::string part_; ///< Sent again and again after the head.
  int parts_ = 0;    ///< How often the part is sent.
  std::string tail_;
};

/** Many connections that send the same bytes, a piece on each in turn, and then stay open. They
 * ignore what they receive. */
class HostileCallers
{
public:
  /** Opens the connections. Throws where one cannot be opened. */
  HostileCallers(const Endpoint& aEndpoint, int aCount, HostileStream aStream);
  ~HostileCallers();
  HostileCallers(const HostileCallers&) = delete;
  HostileCallers& operator=(const HostileCallers&) = delete;

  /** Sends until each connection has sent everything or is closed by the other end, or none makes
   * progress for some seconds, then waits until the other end has read it. @param aWatch called
   * after each round. */
  void SendAll(const std::function<void()>& aWatch);

private:
  /** The content of a connection that is not sent yet, and its state. */
  struct Connection
  {
    int descriptor_ = -1;
    std::string pending_;
    int partsSent_ = 0;
    bool hasSentTail_ = false;
  };

  void Refill(Connection& aConnection) const;
  /** Sends one piece. @return how many bytes were sent. */
  std::size_t SendPiece(Connection& aConnection) const;

  HostileStream stream_;
  std::vector<Connection> connections_;
};

} // namespace harness
