#pragma once

#include "include/quetzal/http/Message.h"

#include <cstdint>
#include <memory>

class QByteArray;

namespace quetzal::http {

/** Bounds on one message. */
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
  kUnframed,  ///< The answer's end is marked by nothing but the connection's end.
  kTruncated, ///< The connection ended inside the message.
};

/** Reads requests one after another from a stream of bytes. */
class RequestReader
{
public:
  explicit RequestReader(const Limits& aLimits);
  ~RequestReader();

  /** Takes bytes off the front of @p aBytes until a request is complete or the bytes run out. */
  ReadState Feed(QByteArray& aBytes);

  /** Returns the complete request and makes ready for the next. */
  Request Take();

  ReadError Error() const;

  /** Tells, once, that the caller waits for "100 Continue" before it sends the body. */
  bool TakeExpectation();

private:
  struct State;
  std::unique_ptr<State> state_;
};

/** Reads one answer from a stream of bytes. */
class ResponseReader
{
public:
  /** @param aIsHead the request was HEAD: no body follows the header. */
  ResponseReader(const Limits& aLimits, bool aIsHead);
  ~ResponseReader();

  /** Takes bytes off the front of @p aBytes. Bytes that remain once the answer is complete are
   * surplus: the connection must not be used again. */
  ReadState Feed(QByteArray& aBytes);

  /** Returns the complete answer. */
  Response Take();

  ReadError Error() const;

  /** Tells whether any byte of the answer was taken. */
  bool HasStarted() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace quetzal::http
