#include "include/quetzal/node/NodeSettings.h"

#include <QtCore/QTemporaryFile>
#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;

struct NodeSettingsFixture
{
  static node::NodeSettings Read(const std::string& aMore)
  {
    QTemporaryFile file;
    BOOST_REQUIRE(file.open());
    const std::string text = R"(name: entry-0
address: 127.0.0.1
availability_zone: z0
first_port: 7000
callers: "127.0.0.1:7001"
ready: "127.0.0.1:7002"
metrics_port: 7003
store: {address: "127.0.0.1:7004"}
machines: {address: "127.0.0.1:7005", orders_per_second: 64, reads_per_second: 64}
stop_time_s: 6
longest_lease_ms: 6000
fleet_order_gap_ms: 3000
retention_s: 120
move_s: 1.5
maintenance_s: 2
processor_share: 0.5
)";
    file.write(QByteArray::fromStdString(text + aMore));
    file.close();
    return node::MakeNodeSettings(file.fileName().toStdString());
  }
};

BOOST_FIXTURE_TEST_SUITE(NodeSettingsFile, NodeSettingsFixture)

// Guards against waits for data locality in deployments that have no far factor.
BOOST_AUTO_TEST_CASE(FarFactor_IsAbsent_IsOne)
{
  BOOST_TEST(Read("").farFactor_ == 1);
}

BOOST_AUTO_TEST_CASE(FarFactor_IsGiven_IsRead)
{
  BOOST_TEST(Read("far_factor: 2.5\n").farFactor_ == 2.5);
}

// Guards against a factor by which far runs would be faster.
BOOST_AUTO_TEST_CASE(FarFactor_IsBelowOne_IsRefused)
{
  BOOST_CHECK_THROW(Read("far_factor: 0.5\n"), settings::SettingsError);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
