#pragma once

#include "tests/harness/Client.h"

class QTcpSocket;

namespace harness {

/** A caller's connection that sends raw requests, one after the other, and counts the whole answers
 * to them. It proceeds while the event loop runs. */
class RawCaller
{
public:
  /** Starts to connect. */
  explicit RawCaller(const Endpoint& aEndpoint);
  ~RawCaller();

  /** Sends a whole request as soon as the connection is established. Sends nothing if the other end
   * has closed it by then. */
  void Send(const std::string& aBytes);

  /** Sends a part of a request, which is not counted as a request. */
  void SendPart(const std::string& aBytes);

  /** Returns whether connecting has failed. */
  bool WasRefused() const { return refused_; }
  bool IsClosed() const { return closed_; }
  bool IsAnswered() const { return sent_ > 0 && CountAnswers() == sent_; }
  /** Returns whether the connection ended before each request had a whole answer. */
  bool IsCut() const { return closed_ && CountAnswers() < sent_; }
  /** Returns whether there is nothing to wait for. */
  bool IsDone() const { return closed_ || refused_ || IsAnswered(); }

  /** Returns the status of the first answer; 0 if there is none. */
  unsigned Status() const;

  /** Returns everything received. */
  const std::string& Received() const { return received_; }

private:
  void Write();
  bool HasOtherEndClosed() const;
  int CountAnswers() const;

  std::unique_ptr<QTcpSocket> socket_;
  std::string unsent_;
  std::string received_;
  int sent_ = 0;
  bool connected_ = false;
  bool refused_ = false;
  bool closed_ = false;
};

} // namespace harness
