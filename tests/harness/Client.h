#pragma once

#include "include/quetzal/connection/BackendConnection.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace harness {

using quetzal::http::Request;
using quetzal::http::Response;
using quetzal::settings::Endpoint;

/** A request in flight. It proceeds while the event loop runs. */
class Call
{
public:
  Call(const Endpoint& aEndpoint, const Request& aRequest);

  bool IsDone() const { return done_; }

  /** Waits until the request has ended. @return the answer; nothing where the connection ended
   * without one, or where no answer arrived within 60 s. */
  const std::optional<Response>& Wait();

private:
  std::unique_ptr<quetzal::connection::BackendConnection> connection_;
  std::optional<Response> response_;
  bool done_ = false;
};

/** Sends a request and waits until it has ended. @return as Call::Wait does. */
std::optional<Response>
Send(const Endpoint& aEndpoint, const Request& aRequest);

/** Sends raw bytes. @return everything that was received until the peer closed the connection, or
 * until the received bytes contain @p aUntil, unless that is empty. */
std::string
SendRaw(const Endpoint& aEndpoint, const std::string& aBytes, const std::string& aUntil = {});

/** Runs the event loop until a condition holds. @return false where the condition did not hold
 * within @p aBound. The default is so long that a test may conclude that it will never hold. */
bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aBound = std::chrono::seconds(30));

/** Runs the event loop for a fixed time, for checks that something does not happen. */
void
Pause(std::chrono::milliseconds aTime);

/** Returns the value of a header field, or an empty text where there is none. */
std::string
FieldOf(const std::optional<Response>& aResponse, const std::string& aName);

/** Returns "answered", "not-run" or "unknown", followed by the reason where there is one, such as
 * "not-run queue-full"; "cut" where there is no answer. */
std::string
OutcomeOf(const std::optional<Response>& aResponse);

} // namespace harness
