#include "include/quetzal/node/HostHistory.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace std::chrono_literals;

/** A host's record as the version before wrote and read it. */
struct FormerHostRecord
{
  std::string address_;
  int port_ = 0;
  std::string availabilityZone_;
  bool stopping_ = false;
  double processorShare_ = 1;

  MSGPACK_DEFINE_ARRAY(address_, port_, availabilityZone_, stopping_, processorShare_)
};

struct HostHistoryFixture
{
  void Update() { history_.Update(hosts_, now_ += 1s); }

  jobs::HostRecord& AddHost(const std::string& aName)
  {
    hosts_[aName].incarnation_ = aName + "1";
    return hosts_[aName];
  }

  clock::Moment now_ = clock::Moment() + 1h;
  std::map<std::string, jobs::HostRecord> hosts_;
  node::HostHistory history_;
};

BOOST_FIXTURE_TEST_SUITE(HostHistory, HostHistoryFixture)

BOOST_AUTO_TEST_CASE(UpSince_RecordIsRewritten_IsKept)
{
  AddHost("a");
  Update();
  const clock::Moment first = now_;
  hosts_["a"].cellWidths_["svc"] = 7;
  Update();
  BOOST_TEST((history_.UpSince("a") == first));
}

BOOST_AUTO_TEST_CASE(UpSince_NewIncarnationOrReturn_StartsAnew)
{
  AddHost("a");
  Update();
  hosts_["a"].incarnation_ = "a2";
  Update();
  BOOST_TEST((history_.UpSince("a") == now_));
  hosts_.clear();
  Update();
  AddHost("a").incarnation_ = "a2";
  Update();
  BOOST_TEST((history_.UpSince("a") == now_));
}

BOOST_AUTO_TEST_CASE(LastStop_RecordStaysStopping_IsWhenItWasFirstSeen)
{
  AddHost("a");
  Update();
  BOOST_TEST((history_.LastStopAt() == clock::Moment()));
  hosts_["a"].stopping_ = true;
  Update();
  const clock::Moment announced = now_;
  Update();
  BOOST_TEST((history_.LastStopAt() == announced));
}

BOOST_AUTO_TEST_CASE(Width_OwnerHasLeft_IsStillKnown)
{
  AddHost("a").cellWidths_["svc"] = 300;
  Update();
  hosts_.clear();
  Update();
  BOOST_TEST(history_.WidthOf("svc") == 300U);
  BOOST_TEST(history_.WidthOf("other") == 0U);
}

BOOST_AUTO_TEST_CASE(Width_FormerOwnerStillNamesTheCell_LatestNewsCounts)
{
  AddHost("z").cellWidths_["svc"] = 300;
  Update();
  AddHost("a").cellWidths_["svc"] = 20;
  Update();
  Update();
  BOOST_TEST(history_.WidthOf("svc") == 20U);
}

BOOST_AUTO_TEST_CASE(Publish_WidthDoublesOrHalves_IsDue)
{
  BOOST_TEST(node::ShouldPublishWidths({}, { { "svc", 300 } }));
  BOOST_TEST(node::ShouldPublishWidths({ { "svc", 300 } }, { { "svc", 100 } }));
  BOOST_TEST(!node::ShouldPublishWidths({ { "svc", 300 } }, { { "svc", 400 } }));
  BOOST_TEST(!node::ShouldPublishWidths({}, { { "svc", 5 } }));
  BOOST_TEST(!node::ShouldPublishWidths({ { "svc", 300 } }, {}));
}

BOOST_AUTO_TEST_CASE(Record_OfThisVersion_IsReadByTheVersionBefore)
{
  jobs::HostRecord record{ "10.0.0.1", 7, "north", true, 0.5, "incarnation", { { "svc", 300 } } };
  FormerHostRecord former;
  BOOST_TEST_REQUIRE(jobs::Decode(jobs::Encode(record), former));
  BOOST_TEST(former.address_ == "10.0.0.1");
  BOOST_TEST(former.port_ == 7);
  BOOST_TEST(former.availabilityZone_ == "north");
  BOOST_TEST(former.stopping_);
  BOOST_TEST(former.processorShare_ == 0.5);
}

BOOST_AUTO_TEST_CASE(Record_OfTheVersionBefore_IsReadWithoutTheNewFields)
{
  FormerHostRecord former{ "10.0.0.1", 7, "north", true, 0.5 };
  jobs::HostRecord record;
  BOOST_TEST_REQUIRE(jobs::Decode(jobs::Encode(former), record));
  BOOST_TEST(record.address_ == "10.0.0.1");
  BOOST_TEST(record.stopping_);
  BOOST_TEST(record.processorShare_ == 0.5);
  BOOST_TEST(record.incarnation_.empty());
  BOOST_TEST(record.cellWidths_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
