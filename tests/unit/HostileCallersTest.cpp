#include "include/quetzal/http/Eviction.h"
#include "include/quetzal/http/Framing.h"
#include "include/quetzal/http/OccupancyLimits.h"
#include "include/quetzal/http/Reader.h"
#include "include/quetzal/http/TransferRate.h"

#include <QtCore/QByteArray>
#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::http;
using quetzal::clock::Milliseconds;
using quetzal::clock::Moment;

constexpr Limits kLimits{ 1024, 4096 };
constexpr const char* kChunkedHead =
  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

Moment
At(int aMs)
{
  return Moment(Milliseconds(aMs));
}

/** Feeds bytes in pieces, as they would arrive on a socket. */
ReadState
Feed(RequestReader& aReader, const QByteArray& aBytes, qsizetype aPiece)
{
  QByteArray pending;
  ReadState state = ReadState::kNeedsMore;
  for (qsizetype at = 0; at < aBytes.size() && state == ReadState::kNeedsMore; at += aPiece) {
    pending += aBytes.mid(at, aPiece);
    state = aReader.Feed(pending);
  }
  return state;
}

BOOST_AUTO_TEST_SUITE(HostileCallers)

/** Evicting a busy request would answer "not run" for a request that may run. */
BOOST_AUTO_TEST_CASE(RequestToEvict_BusyHoldsMost_ChoosesTheLargestUnfinished)
{
  const std::vector<Occupant> occupants{ { OccupantState::kBusy, 900, At(0) },
                                         { OccupantState::kUnfinished, 100, At(0) },
                                         { OccupantState::kUnfinished, 300, At(5) },
                                         { OccupantState::kUnfinished, 300, At(4) } };
  BOOST_CHECK(RequestToEvict(occupants) == std::optional<std::size_t>(3));
}

BOOST_AUTO_TEST_CASE(RequestToEvict_NothingUnfinished_ChoosesNone)
{
  BOOST_CHECK(!RequestToEvict({ { OccupantState::kBusy, 900, At(0) }, {} }));
}

BOOST_AUTO_TEST_CASE(ConnectionToEvict_IdleAndUnfinished_ChoosesTheOldest)
{
  const std::vector<Occupant> occupants{ { OccupantState::kBusy, 0, At(0) },
                                         { OccupantState::kIdle, 0, At(3) },
                                         { OccupantState::kUnfinished, 10, At(2) } };
  BOOST_CHECK(ConnectionToEvict(occupants) == std::optional<std::size_t>(2));
}

/** A client may send each byte in a chunk of its own; only padding is out of proportion. */
BOOST_AUTO_TEST_CASE(IsFramingExcessive_ChunksOfOneByte_IsFalse)
{
  BOOST_CHECK(!IsFramingExcessive({ std::size_t{ 5 } * 262'144, 262'144 }));
  BOOST_CHECK(IsFramingExcessive({ std::size_t{ 50 } * 262'144, 262'144 }));
}

BOOST_AUTO_TEST_CASE(IsBelowRate_BytesInWindow_AreComparedWithTheRate)
{
  const TransferRate rate{ 100, Milliseconds(5'000) };
  BOOST_CHECK(IsBelowRate(rate, 499));
  BOOST_CHECK(!IsBelowRate(rate, 500));
}

BOOST_AUTO_TEST_CASE(MakeOccupancyLimits_HostLimits_AreDivided)
{
  const OccupancyLimits limits = MakeOccupancyLimits({ 160, 4'100 });
  BOOST_TEST(limits.heldBytes_ == std::size_t{ 40 } * 1024 * 1024);
  BOOST_TEST(limits.connections_ == 2'050U);
  BOOST_CHECK(MakeOccupancyLimits({}) == OccupancyLimits());
}

/** The parser leaves an unfinished trailer in the buffer, where it could grow without limit. */
BOOST_AUTO_TEST_CASE(RequestReader_EndlessTrailers_Fails)
{
  QByteArray bytes = QByteArray(kChunkedHead) + "0\r\n";
  for (int i = 0; i < 100; ++i) {
    bytes += "X-Trailer: 0123456789\r\n";
  }
  for (const qsizetype piece : { qsizetype{ 1 }, qsizetype{ 100 }, bytes.size() }) {
    RequestReader reader(kLimits);
    BOOST_CHECK(Feed(reader, bytes, piece) == ReadState::kFailed);
    BOOST_CHECK(reader.Error() == ReadError::kHeaderTooLarge);
  }
}

BOOST_AUTO_TEST_CASE(RequestReader_ShortTrailer_IsAccepted)
{
  RequestReader reader(kLimits);
  const QByteArray bytes = QByteArray(kChunkedHead) + "1\r\na\r\n0\r\nX-T: 1\r\n\r\n";
  BOOST_CHECK(Feed(reader, bytes, 3) == ReadState::kComplete);
  BOOST_TEST(reader.Take().body_ == "a");
}

/** Extensions of every chunk make the caller's bytes many times the body that they carry. */
BOOST_AUTO_TEST_CASE(RequestReader_LongChunkExtensions_Fails)
{
  QByteArray bytes = kChunkedHead;
  for (int i = 0; i < 20; ++i) {
    bytes += "1;a=" + QByteArray(200, 'x') + "\r\nc\r\n";
  }
  RequestReader reader(kLimits);
  BOOST_CHECK(Feed(reader, bytes, 64) == ReadState::kFailed);
  BOOST_CHECK(reader.Error() == ReadError::kFramingTooLarge);
}

BOOST_AUTO_TEST_CASE(RequestReader_WholeBodyInChunksOfOneByte_IsAccepted)
{
  QByteArray bytes = kChunkedHead;
  for (std::uint64_t i = 0; i < kLimits.bodyBytes_; ++i) {
    bytes += "1\r\nc\r\n";
  }
  bytes += "0\r\n\r\n";
  RequestReader reader(kLimits);
  BOOST_CHECK(Feed(reader, bytes, 50) == ReadState::kComplete);
  BOOST_TEST(reader.Take().body_.size() == kLimits.bodyBytes_);
}

/** Allocating the announced length would let callers that send nothing occupy the memory. */
BOOST_AUTO_TEST_CASE(RequestReader_AnnouncedBody_HoldsOnlyWhatArrived)
{
  RequestReader reader({ 1024, 1024 * 1024 });
  const QByteArray bytes = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\nabc";
  BOOST_CHECK(Feed(reader, bytes, bytes.size()) == ReadState::kNeedsMore);
  BOOST_TEST(reader.IsInBody());
  BOOST_TEST(reader.HeldBytes() < 2'048U);
}

BOOST_AUTO_TEST_CASE(RequestReader_Discarded_HoldsNoBody)
{
  RequestReader reader({ 1024, 1024 * 1024 });
  const QByteArray bytes =
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n" + QByteArray(200'000, 'b');
  Feed(reader, bytes, bytes.size());
  BOOST_TEST(reader.HeldBytes() > 200'000U);
  reader.Discard();
  BOOST_TEST(reader.HeldBytes() < 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
