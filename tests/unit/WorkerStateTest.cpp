#include "include/quetzal/workers/WorkerState.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::workers;
using namespace std::chrono_literals;

struct BookFixture
{
  static Run MakeRun(std::int64_t aRun, std::int64_t aCpu)
  {
    Run slot;
    slot.number_ = aRun;
    slot.need_ = { aCpu, 10, 0 };
    return slot;
  }

  const jobs::TaskId task_{ "j", 0, 0, 0 };
  clock::Moment now_ = clock::Moment() + 1h;
};

BOOST_FIXTURE_TEST_SUITE(WorkerBook, BookFixture)

BOOST_AUTO_TEST_CASE(Slots_AddedAndRemoved_GiveTheirRoomBack)
{
  WorkerState book;
  AddRun(book, task_, MakeRun(1, 700));
  BOOST_TEST(FreeCapacity(book, { 1'000, 20, 0 }).cpu_ == 300);
  BOOST_TEST(RemoveRun(book, task_, 1));
  BOOST_TEST(FreeCapacity(book, { 1'000, 20, 0 }).cpu_ == 1'000);
}

BOOST_AUTO_TEST_CASE(Slot_OfANewerRun_StaysWhenAnOlderEnds)
{
  WorkerState book;
  AddRun(book, task_, MakeRun(2, 700));
  BOOST_TEST(!RemoveRun(book, task_, 1));
  BOOST_TEST(book.used_.cpu_ == 700);
}

BOOST_AUTO_TEST_CASE(Slot_AddedTwice_CountsOnce)
{
  WorkerState book;
  AddRun(book, task_, MakeRun(1, 700));
  AddRun(book, task_, MakeRun(2, 500));
  BOOST_TEST(book.used_.cpu_ == 500);
}

BOOST_AUTO_TEST_CASE(Lease_OnASlowClock_LapsesOnlyOnceThatClockHasPassedIt)
{
  WorkerState book;
  book.clock_ = { 10'000, now_ };
  book.leaseEndMs_ = 15'000;
  BOOST_TEST(!HasLeaseLapsed(book, now_ + 5'050ms));
  BOOST_TEST(!HasLeaseLapsed(book, now_ + 5'150ms));
  BOOST_TEST(HasLeaseLapsed(book, now_ + 5'200ms));
}

BOOST_AUTO_TEST_CASE(Lease_WithoutAReading_NeverSurelyLapses)
{
  const WorkerState book;
  BOOST_TEST(!HasLeaseLapsed(book, now_ + 24h));
}

BOOST_AUTO_TEST_CASE(Recorded_WithAGap_StopsBeforeIt)
{
  WorkerState book;
  book.lastReportedEnd_ = 5;
  book.unrecordedEnds_ = { 3, 5 };
  BOOST_TEST(RecordedUpTo(book) == 2);
  book.unrecordedEnds_ = { 5 };
  BOOST_TEST(RecordedUpTo(book) == 4);
  book.unrecordedEnds_.clear();
  BOOST_TEST(RecordedUpTo(book) == 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
