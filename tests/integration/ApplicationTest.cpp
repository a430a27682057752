#include "include/quetzal/connection/Client.h"
#include "tests/harness/Client.h"

#include <QtNetwork/QTcpServer>
#include <boost/test/unit_test.hpp>
#include <filesystem>

namespace {

using namespace harness;
using namespace quetzal;

std::ptrdiff_t
CountThreads()
{
  const std::filesystem::directory_iterator threads("/proc/self/task");
  return std::distance(begin(threads), end(threads));
}

BOOST_AUTO_TEST_SUITE(Application)

/** A lookup of proxies would start a thread for a connection to an address that is not known to be
 * loopback, such as 0.0.0.0, which also reaches this host. */
BOOST_AUTO_TEST_CASE(Connection_ToAnyAddress_StartsNoThread)
{
  QTcpServer server;
  BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
  const std::ptrdiff_t before = CountThreads();
  connection::Client client({ "0.0.0.0", server.serverPort() }, {}, nullptr);
  http::Request request;
  request.method_ = "GET";
  request.target_ = "/";
  client.Send(request, std::chrono::milliseconds(1'000), {});
  BOOST_TEST(WaitUntil([&] {
    Pause(std::chrono::milliseconds(10));
    return server.hasPendingConnections();
  }));
  BOOST_TEST(CountThreads() == before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
