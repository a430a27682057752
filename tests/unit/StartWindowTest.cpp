#include "include/quetzal/cells/StartWindow.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::cells;
using namespace std::chrono_literals;

struct StartWindowFixture
{
  void Fill()
  {
    for (int run = 1; run <= kMaxUnansweredStarts; ++run) {
      AddStart(window_, run, now_);
    }
  }

  StartWindow window_;
  clock::Moment now_ = clock::Moment{} + 1h;
};

BOOST_FIXTURE_TEST_SUITE(StartWindowRoom, StartWindowFixture)

BOOST_AUTO_TEST_CASE(Window_Empty_HasRoomForAll)
{
  BOOST_TEST(FreeStarts(window_, now_) == kMaxUnansweredStarts);
}

BOOST_AUTO_TEST_CASE(Window_Full_HasRoomOnlyForAnsweredStarts)
{
  Fill();
  BOOST_TEST(FreeStarts(window_, now_) == 0);
  RemoveStart(window_, 3);
  RemoveStart(window_, 3);
  BOOST_TEST(FreeStarts(window_, now_) == 1);
}

BOOST_AUTO_TEST_CASE(Window_HoldsMoreThanItsLimit_HasNoRoom)
{
  Fill();
  AddStart(window_, kMaxUnansweredStarts + 1, now_); // The last task of a gang.
  BOOST_TEST(FreeStarts(window_, now_) == 0);
}

BOOST_AUTO_TEST_CASE(Window_WorkersStaySilent_HasRoomAgainAfterAWhile)
{
  Fill();
  BOOST_TEST(FreeStarts(window_, now_ + kMaxCountedStartAge - 1ms) == 0);
  BOOST_TEST(FreeStarts(window_, now_ + kMaxCountedStartAge) == kMaxUnansweredStarts);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
