#pragma once

#include "include/quetzal/http/Message.h"

#include <cstdint>
#include <memory>

class QByteArray;

namespace quetzal::http {

/** Limits on one message. */
struct Limits
{
  std::uint32_t headerBytes_ = 16 * 1024;
  std::uint64_t bodyBytes_ = 1024 * 1024;
};

enum class ReadState : std::uint8_t
{
  kNeedsMore,
  kComplete,
  kFailed,
};

/** Why a message could not be read. */
enum class ReadError : std::uint8_t
{
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kFramingTooLarge, ///< The framing of a chunked body is out of proportion to its content.
  kUnframed,        ///< Only the end of the connection marks the end of the response.
  kTruncated,       ///< The connection ended inside the message.
};

/** Parses successive requests from a stream of bytes. */
class RequestReader
{
public:
  explicit RequestReader(const Limits& aLimits);
  ~RequestReader();

  /** Removes bytes from the front of @p aBytes until a request is complete or no byte is left. */
  ReadState Feed(QByteArray& aBytes);

  /** Returns the complete request and resets the reader for the next one. */
  Request Take();

  ReadError Error() const;

  /** Returns whether the caller waits for "100 Continue" before it sends the body. Returns true at
   * most once for each request. */
  bool TakeExpectation();

  /** Returns whether the header is complete and the body is not. */
  bool IsInBody() const;

  /** Returns the bytes allocated for the unfinished request. */
  std::size_t HeldBytes() const;

  /** Frees the unfinished request. The reader must not be fed the rest of it. */
  void Discard();

private:
  struct State;
  std::unique_ptr<State> state_;
};

/** Parses one response from a stream of bytes; interim (1xx) responses are skipped. */
class ResponseReader
{
public:
  /** @param aIsHead the request was HEAD: no body follows the header. */
  ResponseReader(const Limits& aLimits, bool aIsHead);
  ~ResponseReader();

  /** Removes bytes from the front of @p aBytes until the response is complete or no byte is left.
   * Bytes that remain behind a complete response belong to no request: the connection must not be
   * used again. */
  ReadState Feed(QByteArray& aBytes);

  /** Returns the complete response. */
  Response Take();

  ReadError Error() const;

  /** Returns whether any byte of the response has been read. */
  bool HasStarted() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace quetzal::http
