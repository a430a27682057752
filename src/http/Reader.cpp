#include "include/quetzal/http/Reader.h"

#include "include/quetzal/http/Framing.h"
#include "include/quetzal/http/Status.h"
#include "src/http/RequestBody.h"

#include <QtCore/QByteArray>
#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace quetzal::http {
namespace {

namespace beast_http = boost::beast::http;

/** Responses with a status below this one are interim: the final response follows them. */
constexpr unsigned kFirstFinalStatus = 200;

/** What the parser allocates for each field beside its bytes: a node of its list and tree. */
constexpr std::size_t kFieldBytes = 96;

/** What has been read of one message. */
struct Progress
{
  std::size_t headerBytesLeft_ = 0; ///< How many more bytes header and trailers may have.
  std::size_t headerBytes_ = 0;
  std::size_t headerLines_ = 0;
  ChunkedBytes chunked_;
};

std::size_t
CountLines(const QByteArray& aBytes, std::size_t aSize)
{
  const auto end = aBytes.begin() + static_cast<qsizetype>(aSize);
  return static_cast<std::size_t>(std::count(aBytes.begin(), end, '\n'));
}

/** Counts header bytes that have been read. @return whether they are within the limit. */
bool
CountHeader(Progress& aProgress, std::size_t aBytes, std::size_t aLines)
{
  if (aBytes > aProgress.headerBytesLeft_) {
    return false;
  }
  aProgress.headerBytesLeft_ -= aBytes;
  aProgress.headerBytes_ += aBytes;
  aProgress.headerLines_ += aLines;
  return true;
}

ReadError
ErrorOf(const boost::system::error_code& aError)
{
  if (aError == beast_http::error::header_limit) {
    return ReadError::kHeaderTooLarge;
  }
  if (aError == beast_http::error::body_limit) {
    return ReadError::kBodyTooLarge;
  }
  return ReadError::kMalformed;
}

template<typename Message>
Fields
CopyFields(const Message& aMessage)
{
  Fields fields;
  for (const auto& field : aMessage) {
    fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  return fields;
}

/** Returns whether the message has a transfer coding other than exactly one "chunked". Other
 * implementations on the path might frame such a message differently (request smuggling). */
template<typename Message>
bool
HasUnsafeCoding(const Message& aMessage)
{
  const auto fields = aMessage.equal_range(beast_http::field::transfer_encoding);
  if (fields.first == fields.second) {
    return false;
  }
  const bool single = std::next(fields.first) == fields.second;
  return !single || !boost::beast::iequals(fields.first->value(), "chunked");
}

/** Counts bytes of a body that have been read. The last chunk and the trailers count as header.
 * @return the limit that they exceed. */
ReadError
CountBody(Progress& aProgress, std::size_t aUsed, std::size_t aContent, bool aIsDone)
{
  const std::size_t framing = aUsed - std::min(aUsed, aContent);
  aProgress.chunked_.content_ += aContent;
  if (framing > aProgress.headerBytesLeft_) {
    return ReadError::kHeaderTooLarge;
  }
  if (aIsDone) {
    CountHeader(aProgress, framing, 0);
    return ReadError::kNone;
  }
  aProgress.chunked_.framing_ += framing;
  return IsFramingExcessive(aProgress.chunked_) ? ReadError::kFramingTooLarge : ReadError::kNone;
}

/** Feeds bytes to a parser until it is done, fails or has consumed all of them. The parser is not
 * set to eager, because an eager parser goes on to parse the body even if Content-Length in the
 * header exceeds the body limit. The parser does not enforce its own header limit if the whole
 * header arrives in one piece, and has none for trailers and chunk extensions: it leaves them in
 * @p aBytes until they are complete. */
template<typename Parser>
ReadState
Parse(Parser& aParser, QByteArray& aBytes, ReadError& aError, Progress& aProgress)
{
  const auto fail = [&aError](ReadError aCause) {
    aError = aCause;
    return ReadState::kFailed;
  };
  while (!aParser.is_done()) {
    if (aBytes.isEmpty()) {
      return ReadState::kNeedsMore;
    }
    boost::system::error_code error;
    const bool inHeader = !aParser.is_header_done();
    const std::size_t sizeBefore = aParser.get().body().size();
    const std::size_t used = aParser.put(
      boost::asio::const_buffer(aBytes.constData(), static_cast<std::size_t>(aBytes.size())),
      error);
    if (inHeader) {
      if (!CountHeader(aProgress, used, CountLines(aBytes, used))) {
        return fail(ReadError::kHeaderTooLarge);
      }
    } else if (aParser.chunked()) {
      const std::size_t content = aParser.get().body().size() - sizeBefore;
      const ReadError excess = CountBody(aProgress, used, content, aParser.is_done());
      if (excess != ReadError::kNone) {
        return fail(excess);
      }
    }
    aBytes.remove(0, static_cast<qsizetype>(used));
    const bool isWaiting = error == beast_http::error::need_more;
    if (isWaiting && static_cast<std::size_t>(aBytes.size()) > aProgress.headerBytesLeft_) {
      return fail(ReadError::kHeaderTooLarge);
    }
    if (isWaiting) {
      return ReadState::kNeedsMore;
    }
    if (aParser.is_header_done() && HasUnsafeCoding(aParser.get())) {
      return fail(ReadError::kMalformed);
    }
    if (error) {
      return fail(ErrorOf(error));
    }
    if (used == 0 && !aParser.is_done()) {
      return ReadState::kNeedsMore;
    }
  }
  return ReadState::kComplete;
}

} // namespace

struct RequestReader::State
{
  using Parser = beast_http::request_parser<RequestBody>;

  void Reset()
  {
    parser_.emplace();
    parser_->header_limit(limits_.headerBytes_);
    progress_ = {};
    progress_.headerBytesLeft_ = limits_.headerBytes_;
    parser_->body_limit(limits_.bodyBytes_);
    expectationTaken_ = false;
  }

  Limits limits_;
  std::optional<Parser> parser_;
  ReadError error_ = ReadError::kNone;
  Progress progress_;
  bool expectationTaken_ = false;
};

RequestReader::RequestReader(const Limits& aLimits)
  : state_(std::make_unique<State>())
{
  state_->limits_ = aLimits;
  state_->Reset();
}

RequestReader::~RequestReader() = default;

ReadState
RequestReader::Feed(QByteArray& aBytes)
{
  return Parse(*state_->parser_, aBytes, state_->error_, state_->progress_);
}

Request
RequestReader::Take()
{
  auto message = state_->parser_->release();
  state_->Reset();
  Request request;
  request.method_ = std::string(message.method_string());
  request.target_ = std::string(message.target());
  request.fields_ = CopyFields(message);
  request.keepAlive_ = message.keep_alive();
  request.body_ = std::move(message.body());
  return request;
}

ReadError
RequestReader::Error() const
{
  return state_->error_;
}

bool
RequestReader::TakeExpectation()
{
  auto& parser = *state_->parser_;
  if (state_->expectationTaken_ || !parser.is_header_done() || parser.is_done()) {
    return false;
  }
  state_->expectationTaken_ = true;
  return boost::beast::iequals(parser.get()[beast_http::field::expect], "100-continue");
}

bool
RequestReader::IsInBody() const
{
  return state_->parser_->is_header_done() && !state_->parser_->is_done();
}

std::size_t
RequestReader::HeldBytes() const
{
  const Progress& progress = state_->progress_;
  return state_->parser_->get().body().capacity() + progress.headerBytes_ +
         progress.headerLines_ * kFieldBytes;
}

void
RequestReader::Discard()
{
  state_->Reset();
}

struct ResponseReader::State
{
  using Parser = beast_http::response_parser<beast_http::string_body>;

  void Reset()
  {
    parser_.emplace();
    parser_->skip(isHead_);
    parser_->header_limit(limits_.headerBytes_);
    progress_ = {};
    progress_.headerBytesLeft_ = limits_.headerBytes_;
    parser_->body_limit(limits_.bodyBytes_);
  }

  Limits limits_;
  bool isHead_ = false;
  bool started_ = false;
  std::optional<Parser> parser_;
  ReadError error_ = ReadError::kNone;
  Progress progress_;
};

ResponseReader::ResponseReader(const Limits& aLimits, bool aIsHead)
  : state_(std::make_unique<State>())
{
  state_->limits_ = aLimits;
  state_->isHead_ = aIsHead;
  state_->Reset();
}

ResponseReader::~ResponseReader() = default;

ReadState
ResponseReader::Feed(QByteArray& aBytes)
{
  state_->started_ = state_->started_ || !aBytes.isEmpty();
  for (;;) {
    const ReadState result = Parse(*state_->parser_, aBytes, state_->error_, state_->progress_);
    const bool unframed =
      state_->parser_->is_header_done() && state_->parser_->need_eof() && !state_->isHead_;
    if (result != ReadState::kFailed && unframed) {
      state_->error_ = ReadError::kUnframed;
      return ReadState::kFailed;
    }
    if (result != ReadState::kComplete) {
      return result;
    }
    const unsigned status = state_->parser_->get().result_int();
    if (status == status::kSwitchingProtocols) {
      state_->error_ = ReadError::kMalformed;
      return ReadState::kFailed;
    }
    if (status >= kFirstFinalStatus) {
      return ReadState::kComplete;
    }
    state_->Reset();
  }
}

Response
ResponseReader::Take()
{
  auto message = state_->parser_->release();
  Response response;
  response.status_ = message.result_int();
  response.fields_ = CopyFields(message);
  response.keepAlive_ = message.keep_alive();
  response.body_ = std::move(message.body());
  return response;
}

ReadError
ResponseReader::Error() const
{
  return state_->error_;
}

bool
ResponseReader::HasStarted() const
{
  return state_->started_;
}

} // namespace quetzal::http
