/** fuzz-reader: feeds randomly changed messages to http::RequestReader and http::ResponseReader; a
 * seed repeats a run. Guards against readers whose result depends on how the bytes are split on
 * arrival, that exceed their limits or hold more bytes than these allow, or that accept a request
 * which a backend server reads differently (request smuggling). */

#include "include/quetzal/http/Reader.h"

#include <QtCore/QByteArray>
#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

using namespace quetzal::http;

constexpr Limits kLimits{ 512, 256 };
/** Bytes after a complete request belong to the next one; at most this many requests are read. */
constexpr int kMostMessages = 8;
/** The shortest header line has 4 bytes, and each line takes up to 96 bytes beside them. */
constexpr std::size_t kMaxHeaderHeld = kLimits.headerBytes_ * (1 + 96 / 4);
/** A body's capacity is at most doubled when it grows. */
constexpr std::size_t kMaxBodyHeld = 2 * kLimits.bodyBytes_ + 64;

const std::array kRequests{
  "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
  "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
  "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close, x-b\r\nX-B: c\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
  "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: b\r\n\r\n",
};

const std::array kResponses{
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
  "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
};

const std::array kPieces{
  "\r\n", "\r\n\r\n", ":", " ",    "0",        "chunked", "Content-Length: 7\r\n",
  "\n",   "\0",       ",", "\xff", "ffffffff", ";a=b",    "Transfer-Encoding: x\r\n"
};

/** The result of reading a stream. */
struct End
{
  std::vector<std::string> messages_; ///< Every complete message, serialized again.
  std::size_t held_ = 0;              ///< The most that an unfinished message held.
  std::size_t unread_ = 0;            ///< The most that the reader left in the buffer.
  ReadState state_ = ReadState::kNeedsMore;
};

class Fuzz
{
public:
  explicit Fuzz(unsigned aSeed)
    : random_(aSeed)
  {
  }

  /** Checks one changed message. @return the fault; empty where there is none. */
  std::string RunOnce()
  {
    const bool isRequest = Draw(3) != 0;
    const QByteArray bytes =
      Change(isRequest ? kRequests[Draw(kRequests.size())] : kResponses[Draw(kResponses.size())]);
    const End whole =
      isRequest ? ReadRequests(bytes, bytes.size()) : ReadResponse(bytes, bytes.size());
    const qsizetype piece = 1 + static_cast<qsizetype>(Draw(40));
    const End pieces = isRequest ? ReadRequests(bytes, piece) : ReadResponse(bytes, piece);
    // A fault in a header may be detected only at the end of the header, so one reading may fail
    // where the other needs more bytes. Which messages are complete must not depend on the pieces.
    const bool differs = whole.state_ != pieces.state_ && (whole.state_ == ReadState::kComplete ||
                                                           pieces.state_ == ReadState::kComplete);
    if (differs || whole.messages_ != pieces.messages_) {
      return "read whole it ends " + Show(whole) + ", in pieces of " + std::to_string(piece) + " " +
             Show(pieces) + ": " + Show(bytes);
    }
    for (const std::string& message : whole.messages_) {
      if (message.size() > kLimits.headerBytes_ + kLimits.bodyBytes_ + kSerializeSlack) {
        return "a message is over the limits: " + Show(bytes);
      }
    }
    const std::size_t held = std::max(whole.held_, pieces.held_);
    const std::size_t unread = std::max(whole.unread_, pieces.unread_);
    if (held > kMaxHeaderHeld + kMaxBodyHeld || unread > kLimits.headerBytes_) {
      return "holds " + std::to_string(held) + " bytes and leaves " + std::to_string(unread) +
             " unread: " + Show(bytes);
    }
    return isRequest ? CheckAgain(whole) : std::string();
  }

private:
  static constexpr std::size_t kSerializeSlack = 64; ///< Bytes of framing that Serialize may add.

  std::size_t Draw(std::size_t aBelow)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(random_);
  }

  QByteArray Change(const char* aMessage)
  {
    QByteArray bytes(aMessage);
    for (std::size_t changes = Draw(6); changes > 0 && !bytes.isEmpty(); --changes) {
      const auto at = static_cast<qsizetype>(Draw(static_cast<std::size_t>(bytes.size())));
      switch (Draw(5)) {
        case 0:
          bytes[at] = static_cast<char>(Draw(256));
          break;
        case 1:
          bytes.remove(at, 1 + static_cast<qsizetype>(Draw(8)));
          break;
        case 2:
          bytes.insert(at, kPieces[Draw(kPieces.size())]);
          break;
        case 3:
          bytes.insert(at, bytes.mid(at, static_cast<qsizetype>(Draw(60))));
          break;
        default:
          bytes.insert(at, QByteArray(static_cast<qsizetype>(Draw(700)), 'x'));
          break;
      }
    }
    return bytes;
  }

  /** Returns the bytes that a backend server is sent for a request. */
  static std::string Forwarded(Request aRequest)
  {
    aRequest.fields_ = EndToEndFields(aRequest.fields_);
    aRequest.keepAlive_ = true;
    return Serialize(aRequest);
  }

  static End ReadRequests(const QByteArray& aBytes, qsizetype aPiece)
  {
    End end;
    RequestReader reader(kLimits);
    QByteArray pending;
    for (qsizetype at = 0; at < aBytes.size(); at += aPiece) {
      pending += aBytes.mid(at, aPiece);
      end.state_ = reader.Feed(pending);
      while (end.state_ == ReadState::kComplete && end.messages_.size() < kMostMessages) {
        end.messages_.push_back(Forwarded(reader.Take()));
        end.state_ = reader.Feed(pending);
      }
      if (end.state_ != ReadState::kNeedsMore) {
        break;
      }
      end.held_ = std::max(end.held_, reader.HeldBytes());
      end.unread_ = std::max(end.unread_, static_cast<std::size_t>(pending.size()));
    }
    return end;
  }

  static End ReadResponse(const QByteArray& aBytes, qsizetype aPiece)
  {
    End end;
    ResponseReader reader(kLimits, false);
    QByteArray pending;
    for (qsizetype at = 0; at < aBytes.size() && end.state_ == ReadState::kNeedsMore;
         at += aPiece) {
      pending += aBytes.mid(at, aPiece);
      end.state_ = reader.Feed(pending);
      if (end.state_ == ReadState::kNeedsMore) {
        end.unread_ = std::max(end.unread_, static_cast<std::size_t>(pending.size()));
      }
    }
    if (end.state_ == ReadState::kComplete) {
      const Response response = reader.Take();
      end.messages_.push_back(std::to_string(response.status_) + response.body_);
    }
    return end;
  }

  /** Checks that each accepted request, serialized again, is read as the same single request, so
   * that the backend server reads the request that was checked. @return as RunOnce does. */
  static std::string CheckAgain(const End& aEnd)
  {
    for (const std::string& message : aEnd.messages_) {
      const auto bytes = QByteArray::fromStdString(message);
      RequestReader reader({ 4 * kLimits.headerBytes_, 4 * kLimits.bodyBytes_ });
      QByteArray pending = bytes;
      if (reader.Feed(pending) != ReadState::kComplete || !pending.isEmpty()) {
        return "written out it is another request: " + Show(bytes);
      }
      if (Forwarded(reader.Take()) != message) {
        return "written out twice it differs: " + Show(bytes);
      }
    }
    return {};
  }

  static std::string Show(const End& aEnd)
  {
    static constexpr std::array kStates{ "unfinished", "complete", "failed" };
    return std::string(kStates[static_cast<std::size_t>(aEnd.state_)]) + " after " +
           std::to_string(aEnd.messages_.size());
  }

  static std::string Show(const QByteArray& aBytes)
  {
    return aBytes.toPercentEncoding().toStdString();
  }

  std::mt19937 random_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    TCLAP::CmdLine line("Feeds changed messages to the HTTP readers.", ' ', "0.1.0");
    TCLAP::ValueArg<unsigned> seed("s", "seed", "First seed", false, 1, "number", line);
    TCLAP::ValueArg<unsigned> runs("r", "runs", "Number of seeds", false, 20'000, "number", line);
    line.parse(aCount, aArguments);
    for (unsigned i = 0; i < runs.getValue(); ++i) {
      const std::string wrong = Fuzz(seed.getValue() + i).RunOnce();
      if (!wrong.empty()) {
        std::cout << "seed " << seed.getValue() + i << ": " << wrong << '\n';
        return 1;
      }
    }
    std::cout << runs.getValue() << " messages read\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
