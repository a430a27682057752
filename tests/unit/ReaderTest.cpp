#include "include/quetzal/http/Reader.h"

#include <QtCore/QByteArray>
#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::http;

constexpr Limits kLimits{ 1024, 10 };

/** Feeds a response in pieces, as they would arrive on a socket. */
ReadState
FeedInPieces(ResponseReader& aReader, const QByteArray& aBytes, qsizetype aPiece)
{
  QByteArray pending;
  ReadState state = ReadState::kNeedsMore;
  for (qsizetype at = 0; at < aBytes.size() && state == ReadState::kNeedsMore; at += aPiece) {
    pending += aBytes.mid(at, aPiece);
    state = aReader.Feed(pending);
  }
  return state;
}

BOOST_AUTO_TEST_SUITE(Reader)

BOOST_AUTO_TEST_CASE(ResponseReader_BodyOverTheLimit_Fails)
{
  const QByteArray bytes = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n01234567890123456789";
  for (const qsizetype piece : { qsizetype{ 1 }, qsizetype{ 45 }, bytes.size() }) {
    ResponseReader reader(kLimits, false);
    BOOST_CHECK(FeedInPieces(reader, bytes, piece) == ReadState::kFailed);
    BOOST_CHECK(reader.Error() == ReadError::kBodyTooLarge);
  }
}

BOOST_AUTO_TEST_CASE(ResponseReader_ChunkedBodyOverTheLimit_Fails)
{
  const QByteArray bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n8\r\n01234567\r\n8\r\n01234567\r\n0\r\n\r\n";
  ResponseReader reader(kLimits, false);
  BOOST_CHECK(FeedInPieces(reader, bytes, bytes.size()) == ReadState::kFailed);
}

BOOST_AUTO_TEST_CASE(RequestReader_HeaderOverTheLimit_FailsForEveryPieceSize)
{
  const QByteArray bytes = "GET /" + QByteArray(1'100, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const qsizetype piece : { qsizetype{ 7 }, qsizetype{ 100 }, bytes.size() }) {
    RequestReader reader(kLimits);
    QByteArray pending;
    ReadState state = ReadState::kNeedsMore;
    for (qsizetype at = 0; at < bytes.size() && state == ReadState::kNeedsMore; at += piece) {
      pending += bytes.mid(at, piece);
      state = reader.Feed(pending);
    }
    BOOST_CHECK(state == ReadState::kFailed);
    BOOST_CHECK(reader.Error() == ReadError::kHeaderTooLarge);
  }
}

BOOST_AUTO_TEST_CASE(ResponseReader_WithoutFraming_Fails)
{
  ResponseReader reader(kLimits, false);
  QByteArray bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
  BOOST_CHECK(reader.Feed(bytes) == ReadState::kFailed);
  BOOST_CHECK(reader.Error() == ReadError::kUnframed);
}

BOOST_AUTO_TEST_CASE(ResponseReader_InterimResponseFirst_ReturnsTheFinalOne)
{
  ResponseReader reader(kLimits, false);
  QByteArray bytes =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";
  BOOST_CHECK(reader.Feed(bytes) == ReadState::kComplete);
  const Response response = reader.Take();
  BOOST_TEST(response.status_ == 201U);
  BOOST_TEST(response.body_ == "ok");
}

BOOST_AUTO_TEST_CASE(ResponseReader_ResponseToHead_HasNoBody)
{
  ResponseReader reader(kLimits, true);
  QByteArray bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  BOOST_CHECK(reader.Feed(bytes) == ReadState::kComplete);
  BOOST_TEST(reader.Take().body_.empty());
}

BOOST_AUTO_TEST_CASE(ResponseReader_SurplusBytes_StayInTheBuffer)
{
  ResponseReader reader(kLimits, false);
  QByteArray bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1";
  BOOST_CHECK(reader.Feed(bytes) == ReadState::kComplete);
  BOOST_TEST(bytes.toStdString() == "HTTP/1.1");
}

BOOST_AUTO_TEST_CASE(RequestReader_TwoRequestsInOnePiece_ReturnsBothInOrder)
{
  RequestReader reader(kLimits);
  QByteArray bytes = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
  BOOST_CHECK(reader.Feed(bytes) == ReadState::kComplete);
  BOOST_TEST(reader.Take().target_ == "/a");
  BOOST_CHECK(reader.Feed(bytes) == ReadState::kComplete);
  BOOST_TEST(reader.Take().target_ == "/b");
}

BOOST_AUTO_TEST_CASE(RequestReader_BodyOverTheLimitLooksLikeAField_FailsWithBodyTooLarge)
{
  RequestReader reader(kLimits);
  QByteArray bytes = "POST / HTTP/1.1\r\nContent-Length: 20\r\n\r\nX-Field: a\r\n\r\n12345678";
  BOOST_CHECK(reader.Feed(bytes) == ReadState::kFailed);
  BOOST_CHECK(reader.Error() == ReadError::kBodyTooLarge);
}

/** Returns the reader's state after a request with these header fields and a body of one chunk. */
ReadState
ReadRequestWith(const QByteArray& aFieldLines)
{
  RequestReader reader({ 1'024, 100 });
  QByteArray bytes = "POST / HTTP/1.1\r\nHost: h\r\n" + aFieldLines + "\r\n3\r\nabc\r\n0\r\n\r\n";
  return reader.Feed(bytes);
}

BOOST_AUTO_TEST_CASE(RequestReader_TransferCodingIsNotOneChunked_Fails)
{
  BOOST_CHECK(ReadRequestWith("Transfer-Encoding: chunked\r\n") == ReadState::kComplete);
  BOOST_CHECK(ReadRequestWith("transfer-encoding:  CHUNKED \r\n") == ReadState::kComplete);
  for (const char* fieldLines : { "Transfer-Encoding: chunked, chunked\r\n",
                                  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                  "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                                  "Transfer-Encoding: gzip, chunked\r\n",
                                  "Transfer-Encoding: chunked, gzip\r\n" }) {
    BOOST_TEST((ReadRequestWith(fieldLines) == ReadState::kFailed), fieldLines);
  }
}

BOOST_AUTO_TEST_CASE(ResponseReader_TransferCodingIsNotOneChunked_Fails)
{
  ResponseReader reader({ 1'024, 100 }, false);
  QByteArray bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n"
                     "3\r\nabc\r\n0\r\n\r\n";
  BOOST_CHECK(reader.Feed(bytes) == ReadState::kFailed);
}

BOOST_AUTO_TEST_CASE(EndToEndFields_SeveralConnectionFields_RemovesAllNamedFields)
{
  const Fields fields{ { "Connection", "close" },
                       { "X-Secret", "1" },
                       { "connection", "X-Other, x-secret" },
                       { "X-Other", "2" },
                       { "X-Kept", "3" } };
  const Fields expected{ { "X-Kept", "3" } };
  BOOST_TEST((EndToEndFields(fields) == expected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
