#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Moment = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Endpoint
{
  std::string address_;
  int port_ = 0;
};

std::string
ToString(const Endpoint& aEndpoint);

struct Request
{
  std::string method_;
  std::string target_;
  std::string fields_; ///< The header lines.
  std::string body_;
};

/** Returns the value of a header field; empty if absent. */
std::string
FieldOf(const Request& aRequest, const std::string& aName);

/** Returns the decoded value of a parameter in the query; empty if absent. */
std::string
ParameterOf(const Request& aRequest, const std::string& aName);

/** A response. Status 0: none is ever sent, and the connection stays open. */
struct Response
{
  int status_ = 0;
  std::string body_;
};

/** An HTTP server with a thread for each connection. */
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;

  Server(const Endpoint& aEndpoint, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Resets all connections and ends listening. */
  void Close();

private:
  struct State;
  std::shared_ptr<State> state_;
};

/** Sends a request on a new connection. @return status 0 if no whole response arrives in time. */
Response
Send(const Endpoint& aEndpoint, const Request& aRequest, Milliseconds aTimeout);

} // namespace review
