#include "include/quetzal/workers/Book.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::workers;
using namespace std::chrono_literals;

struct BookFixture
{
  static Slot Run(std::int64_t aRun, std::int64_t aCpu)
  {
    Slot slot;
    slot.run_ = aRun;
    slot.need_ = { aCpu, 10, 0 };
    return slot;
  }

  const jobs::TaskId task_{ "j", 0, 0, 0 };
  clock::Moment now_ = clock::Moment() + 1h;
};

BOOST_FIXTURE_TEST_SUITE(WorkerBook, BookFixture)

BOOST_AUTO_TEST_CASE(Slots_AddedAndRemoved_GiveTheirRoomBack)
{
  Book book;
  AddSlot(book, task_, Run(1, 700));
  BOOST_TEST(FreeOf(book, { 1'000, 20, 0 }).cpu_ == 300);
  BOOST_TEST(RemoveSlot(book, task_, 1));
  BOOST_TEST(FreeOf(book, { 1'000, 20, 0 }).cpu_ == 1'000);
}

BOOST_AUTO_TEST_CASE(Slot_OfANewerRun_StaysWhenAnOlderEnds)
{
  Book book;
  AddSlot(book, task_, Run(2, 700));
  BOOST_TEST(!RemoveSlot(book, task_, 1));
  BOOST_TEST(book.used_.cpu_ == 700);
}

BOOST_AUTO_TEST_CASE(Slot_AddedTwice_CountsOnce)
{
  Book book;
  AddSlot(book, task_, Run(1, 700));
  AddSlot(book, task_, Run(2, 500));
  BOOST_TEST(book.used_.cpu_ == 500);
}

BOOST_AUTO_TEST_CASE(Lease_OnASlowClock_LapsesOnlyOnceThatClockHasPassedIt)
{
  Book book;
  book.clock_ = { 10'000, now_ };
  book.grantedMs_ = 15'000;
  BOOST_TEST(!HasSurelyLapsed(book, now_ + 5'050ms));
  BOOST_TEST(!HasSurelyLapsed(book, now_ + 5'150ms));
  BOOST_TEST(HasSurelyLapsed(book, now_ + 5'200ms));
}

BOOST_AUTO_TEST_CASE(Lease_WithoutAReading_NeverSurelyLapses)
{
  const Book book;
  BOOST_TEST(!HasSurelyLapsed(book, now_ + 24h));
}

BOOST_AUTO_TEST_CASE(Recorded_WithAGap_StopsBeforeIt)
{
  Book book;
  book.processed_ = 5;
  book.unrecorded_ = { 3, 5 };
  BOOST_TEST(RecordedUpTo(book) == 2);
  book.unrecorded_ = { 5 };
  BOOST_TEST(RecordedUpTo(book) == 4);
  book.unrecorded_.clear();
  BOOST_TEST(RecordedUpTo(book) == 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
