#include "review/standin/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

constexpr int kBacklog = 256;

sockaddr_in
AddressOf(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aEndpoint.port_));
  ::inet_pton(AF_INET, aEndpoint.address_.c_str(), &address.sin_addr);
  return address;
}

std::string
FindField(const std::string& aFields, const std::string& aName)
{
  std::size_t begin = 0;
  while (begin < aFields.size()) {
    const std::size_t end = std::min(aFields.find("\r\n", begin), aFields.size());
    const std::string line = aFields.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon == aName.size() && ::strncasecmp(line.c_str(), aName.c_str(), colon) == 0) {
      return line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
    }
    begin = end + 2;
  }
  return {};
}

/** Takes one message from the front of a buffer: its first line, header fields and body. */
struct Message
{
  std::string line_;
  std::string fields_;
  std::string body_;
};

std::optional<Message>
TakeMessage(std::string& aBuffer)
{
  const std::size_t headerEnd = aBuffer.find("\r\n\r\n");
  if (headerEnd == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t lineEnd = aBuffer.find("\r\n");
  Message message;
  message.line_ = aBuffer.substr(0, lineEnd);
  message.fields_ = aBuffer.substr(lineEnd + 2, std::max(headerEnd, lineEnd + 2) - lineEnd - 2);
  const std::string length = FindField(message.fields_, "Content-Length");
  const std::size_t bodyBytes = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
  if (aBuffer.size() < headerEnd + 4 + bodyBytes) {
    return std::nullopt;
  }
  message.body_ = aBuffer.substr(headerEnd + 4, bodyBytes);
  aBuffer.erase(0, headerEnd + 4 + bodyBytes);
  return message;
}

/** Appends what arrives next to a buffer. @return false if the connection has ended. */
bool
Receive(int aSocket, std::string& aBuffer)
{
  char bytes[16 * 1024];
  const auto count = ::recv(aSocket, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count = ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Request
ToRequest(const Message& aMessage)
{
  Request request;
  const std::size_t space = aMessage.line_.find(' ');
  const std::size_t second = aMessage.line_.find(' ', space + 1);
  request.method_ = aMessage.line_.substr(0, space);
  request.target_ = aMessage.line_.substr(space + 1, second - space - 1);
  request.fields_ = aMessage.fields_;
  request.body_ = aMessage.body_;
  return request;
}

} // namespace

std::string
ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.address_ + ":" + std::to_string(aEndpoint.port_);
}

std::string
FieldOf(const Request& aRequest, const std::string& aName)
{
  return FindField(aRequest.fields_, aName);
}

std::string
ParameterOf(const Request& aRequest, const std::string& aName)
{
  const std::size_t query = aRequest.target_.find('?');
  if (query == std::string::npos) {
    return {};
  }
  const std::string text = "&" + aRequest.target_.substr(query + 1);
  const std::size_t begin = text.find("&" + aName + "=");
  if (begin == std::string::npos) {
    return {};
  }
  const std::size_t first = begin + aName.size() + 2;
  const std::string coded =
    text.substr(first, std::min(text.find('&', first), text.size()) - first);
  std::string value;
  for (std::size_t i = 0; i < coded.size(); ++i) {
    if (coded[i] == '%' && i + 2 < coded.size()) {
      value += static_cast<char>(std::strtol(coded.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      value += coded[i];
    }
  }
  return value;
}

/** Shared with the threads of the connections, which may outlive the server. */
struct Server::State
{
  Handler handler_;
  int listener_ = -1;
  std::mutex mutex_;
  std::map<int, int> sockets_; ///< Open connections by their number.
  int nextConnection_ = 0;
  std::atomic<bool> closed_ = false;

  void Accept(const std::shared_ptr<State>& aSelf)
  {
    while (!closed_) {
      const int socket = ::accept(listener_, nullptr, nullptr);
      if (socket < 0) {
        return;
      }
      SetNoDelay(socket);
      const std::lock_guard lock(mutex_);
      const int number = nextConnection_++;
      sockets_[number] = socket;
      std::thread([aSelf, socket, number] { aSelf->Serve(socket, number); }).detach();
    }
  }

  void Serve(int aSocket, int aNumber)
  {
    std::string buffer;
    while (Receive(aSocket, buffer)) {
      while (const auto message = TakeMessage(buffer)) {
        const Response response = handler_(ToRequest(*message));
        if (response.status_ == 0 || closed_) {
          continue;
        }
        SendAll(aSocket,
                "HTTP/1.1 " + std::to_string(response.status_) +
                  " X\r\nContent-Type: application/msgpack\r\nContent-Length: " +
                  std::to_string(response.body_.size()) + "\r\n\r\n" + response.body_);
      }
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(aNumber);
    ::close(aSocket);
  }
};

Server::Server(const Endpoint& aEndpoint, Handler aHandler)
  : state_(std::make_shared<State>())
{
  state_->handler_ = std::move(aHandler);
  state_->listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(state_->listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(aEndpoint);
  if (::bind(state_->listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0 ||
      ::listen(state_->listener_, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + ToString(aEndpoint));
  }
  std::thread([state = state_] { state->Accept(state); }).detach();
}

Server::~Server()
{
  Close();
}

void
Server::Close()
{
  if (state_->closed_.exchange(true)) {
    return;
  }
  ::shutdown(state_->listener_, SHUT_RDWR);
  ::close(state_->listener_);
  const std::lock_guard lock(state_->mutex_);
  for (const auto& [number, socket] : state_->sockets_) {
    const linger reset{ 1, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::shutdown(socket, SHUT_RDWR);
  }
}

Response
Send(const Endpoint& aEndpoint, const Request& aRequest, Milliseconds aTimeout)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{ aTimeout.count() / 1'000, (aTimeout.count() % 1'000) * 1'000 };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  SetNoDelay(socket);
  const sockaddr_in address = AddressOf(aEndpoint);
  Response response;
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      SendAll(socket,
              aRequest.method_ + " " + aRequest.target_ + " HTTP/1.1\r\n" + aRequest.fields_ +
                "Content-Length: " + std::to_string(aRequest.body_.size()) + "\r\n\r\n" +
                aRequest.body_)) {
    std::string buffer;
    std::optional<Message> message;
    while (!message && Receive(socket, buffer)) {
      message = TakeMessage(buffer);
    }
    if (message) {
      response.status_ = std::atoi(message->line_.substr(message->line_.find(' ') + 1).c_str());
      response.body_ = message->body_;
    }
  }
  ::close(socket);
  return response;
}

} // namespace review
