#define BOOST_TEST_MODULE quetzalwheel
#include "tests/harness/Application.h"

#include <boost/test/unit_test.hpp>

using harness::Application;
BOOST_TEST_GLOBAL_FIXTURE(Application);
