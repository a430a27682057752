#define BOOST_TEST_MODULE quetzalwheel
#include <QtCore/QCoreApplication>
#include <boost/test/unit_test.hpp>

namespace {

/** The event loop of tests that use timers. */
struct Application
{
  Application()
    : application_(count_, arguments_)
  {
  }

  int count_ = 1;
  char name_[6] = "tests";
  char* arguments_[2] = { name_, nullptr };
  QCoreApplication application_;
};

BOOST_TEST_GLOBAL_FIXTURE(Application);

} // namespace
