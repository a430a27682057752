#include "include/quetzal/http/Reader.h"

#include "include/quetzal/http/Status.h"

#include <QtCore/QByteArray>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace quetzal::http {
namespace {

namespace beast_http = boost::beast::http;

/** Responses with a status below this one are interim: the final response follows them. */
constexpr unsigned kFirstFinalStatus = 200;

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

/** Feeds bytes to a parser until it is done, fails or has consumed all of them. The parser is not
 * set to eager, because an eager parser goes on to parse the body even if Content-Length in the
 * header exceeds the body limit.
 * @param aHeaderBytesLeft how many more bytes the header may have. The parser does not enforce its
 * own header limit if the whole header arrives in one piece. */
template<typename Parser>
ReadState
Parse(Parser& aParser, QByteArray& aBytes, ReadError& aError, std::size_t& aHeaderBytesLeft)
{
  while (!aParser.is_done()) {
    if (aBytes.isEmpty()) {
      return ReadState::kNeedsMore;
    }
    boost::system::error_code error;
    const bool inHeader = !aParser.is_header_done();
    const std::size_t used = aParser.put(
      boost::asio::const_buffer(aBytes.constData(), static_cast<std::size_t>(aBytes.size())),
      error);
    aBytes.remove(0, static_cast<qsizetype>(used));
    if (inHeader && used > aHeaderBytesLeft) {
      aError = ReadError::kHeaderTooLarge;
      return ReadState::kFailed;
    }
    aHeaderBytesLeft -= inHeader ? used : 0;
    if (error == beast_http::error::need_more) {
      return ReadState::kNeedsMore;
    }
    if (aParser.is_header_done() && HasUnsafeCoding(aParser.get())) {
      aError = ReadError::kMalformed;
      return ReadState::kFailed;
    }
    if (error) {
      aError = ErrorOf(error);
      return ReadState::kFailed;
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
  using Parser = beast_http::request_parser<beast_http::string_body>;

  void Reset()
  {
    parser_.emplace();
    parser_->header_limit(limits_.headerBytes_);
    headerBytesLeft_ = limits_.headerBytes_;
    parser_->body_limit(limits_.bodyBytes_);
    expectationTaken_ = false;
  }

  Limits limits_;
  std::optional<Parser> parser_;
  ReadError error_ = ReadError::kNone;
  std::size_t headerBytesLeft_ = 0;
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
  return Parse(*state_->parser_, aBytes, state_->error_, state_->headerBytesLeft_);
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

struct ResponseReader::State
{
  using Parser = beast_http::response_parser<beast_http::string_body>;

  void Reset()
  {
    parser_.emplace();
    parser_->skip(isHead_);
    parser_->header_limit(limits_.headerBytes_);
    headerBytesLeft_ = limits_.headerBytes_;
    parser_->body_limit(limits_.bodyBytes_);
  }

  Limits limits_;
  bool isHead_ = false;
  bool started_ = false;
  std::optional<Parser> parser_;
  ReadError error_ = ReadError::kNone;
  std::size_t headerBytesLeft_ = 0;
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
    const ReadState result =
      Parse(*state_->parser_, aBytes, state_->error_, state_->headerBytesLeft_);
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
