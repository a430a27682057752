#include "include/quetzal/fleet/Effect.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <sstream>

namespace {

using namespace quetzal::document;
using namespace quetzal::fleet;

/** Builds documents of one pool with racks of a fixed size. */
struct FleetFixture
{
  static DocumentPtr Make(int aHosts, int aPerRack, int aMinHealthy)
  {
    std::ostringstream yaml;
    yaml << "environment: test\nhosts:\n";
    for (int i = 0; i < aHosts; ++i) {
      yaml << "  - {name: h" << i << ", address: 127.0.0." << i + 1
           << ", availability_zone: z, rack: r" << i / aPerRack << "}\n";
    }
    yaml << "pools:\n  - name: p\n    hosts: [";
    for (int i = 0; i < aHosts; ++i) {
      yaml << (i > 0 ? ", h" : "h") << i;
    }
    yaml << "]\nservices: [{name: s, pool: p, port: 8000, min_healthy: " << aMinHealthy << "}]\n";
    return MakeDocument(yaml.str(), "test");
  }

  static std::set<std::string> AllHosts(const Document& aDocument)
  {
    std::set<std::string> hosts;
    for (const Host& host : aDocument.hosts_) {
      hosts.insert(host.name_);
    }
    return hosts;
  }
};

BOOST_FIXTURE_TEST_SUITE(Fleet, FleetFixture)

BOOST_AUTO_TEST_CASE(Margin_WorstRack_IsCountedAsFailed)
{
  const auto document = Make(10, 4, 5);
  const Margin margin = MarginsOf(*document, {}).front();
  BOOST_TEST(margin.worstRack_ == 4);
  BOOST_TEST(margin.Spare() == 1);
}

BOOST_AUTO_TEST_CASE(Batch_WholeRackStopped_PromiseHoldsIfAnotherRackFails)
{
  const auto document = Make(12, 4, 4);
  const auto batch = NextBatch(*document, {}, AllHosts(*document));
  BOOST_TEST(batch == (std::vector<std::string>{ "h0", "h1", "h2", "h3" }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Batch_HostAlreadyFailed_CountsAsUnavailable)
{
  const auto document = Make(12, 4, 5);
  UnavailableHosts unavailable{ "h11" };
  const auto batch = NextBatch(*document, unavailable, AllHosts(*document));
  unavailable.insert(batch.begin(), batch.end());
  BOOST_TEST(batch.size() > 1U);
  BOOST_TEST(MarginsOf(*document, unavailable).front().Spare() == 0);
  BOOST_TEST(NextBatch(*document, { "h9", "h10", "h11" }, { "h0" }).empty() ==
             (MarginsOf(*document, { "h0", "h9", "h10", "h11" }).front().Spare() < 0));
}

BOOST_AUTO_TEST_CASE(Batch_NoMargin_IsEmpty)
{
  const auto document = Make(8, 4, 4);
  BOOST_TEST(NextBatch(*document, {}, AllHosts(*document)).empty());
}

BOOST_AUTO_TEST_CASE(Wave_RandomPoolAndAnyRackFailing_KeepsThePromise)
{
  std::mt19937 random(3);
  for (int round = 0; round < 60; ++round) {
    const int perRack = 1 + static_cast<int>(random() % 4);
    const int hosts = 4 + static_cast<int>(random() % 16);
    const int promised = static_cast<int>(random() % static_cast<unsigned>(hosts));
    const auto document = Make(hosts, perRack, promised);
    if (MarginsOf(*document, {}).front().Spare() < 0) {
      continue;
    }
    std::set<std::string> maintained;
    for (const auto& batch : PlanWave(*document).batches_) {
      maintained.insert(batch.begin(), batch.end());
      const UnavailableHosts unavailable(batch.begin(), batch.end());
      BOOST_TEST(MarginsOf(*document, unavailable).front().Spare() >= 0);
    }
    BOOST_TEST(maintained.size() + PlanWave(*document).blockedHosts_.size() ==
               AllHosts(*document).size());
  }
}

BOOST_AUTO_TEST_CASE(Effect_HostChangesPool_IsOneMove)
{
  const std::string head = "environment: e\nhosts:\n"
                           "  - {name: a, address: 127.0.0.1, availability_zone: z, rack: r}\n"
                           "  - {name: b, address: 127.0.0.2, availability_zone: z, rack: q}\n";
  const auto before = MakeDocument(head + "pools: [{name: p, hosts: [a, b]}, {name: q}]\n", "x");
  const auto after =
    MakeDocument(head + "pools: [{name: p, hosts: [a]}, {name: q, hosts: [b]}]\n", "x");
  const Effect effect = EffectOf(before.get(), *after);
  BOOST_TEST(effect.moves_.size() == 1U);
  BOOST_CHECK((effect.moves_.front() == Move{ "b", "p", "q" }));
}

BOOST_AUTO_TEST_CASE(Effect_PromiseBreaksIfOneRackFails_IsAtRiskAndNotSafe)
{
  const Effect effect = EffectOf(nullptr, *Make(8, 4, 5));
  BOOST_TEST(effect.atRisk_.size() == 1U);
  BOOST_TEST(!IsSafe(effect));
  BOOST_TEST(IsSafe(EffectOf(nullptr, *Make(12, 4, 4))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
