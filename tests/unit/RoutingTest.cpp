#include "include/quetzal/routing/Choice.h"
#include "include/quetzal/routing/Ejection.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace {

using namespace quetzal::routing;
using namespace std::chrono_literals;
using quetzal::clock::Moment;

Candidate
MakeCandidate(const std::string& aHost, bool aSameZone, int aInFlight)
{
  return { aHost, aSameZone, true, false, 8 - aInFlight, aInFlight, 1.0 };
}

struct RoutingFixture
{
  std::string Choose(const std::vector<Candidate>& aCandidates)
  {
    const auto chosen = ChooseBackendServer(
      aCandidates, static_cast<std::uint32_t>(random_()), static_cast<std::uint32_t>(random_()));
    return chosen ? aCandidates[*chosen].host_ : std::string();
  }

  std::mt19937 random_{ 7 };
  Moment now_ = Moment{} + 1h;
};

BOOST_FIXTURE_TEST_SUITE(Routing, RoutingFixture)

BOOST_AUTO_TEST_CASE(Choice_OwnZoneHasFreeSlot_ChoosesOwnZone)
{
  BOOST_TEST(Choose({ MakeCandidate("far", false, 0), MakeCandidate("near", true, 7) }) == "near");
}

BOOST_AUTO_TEST_CASE(Choice_OwnZoneFull_ChoosesAnotherZone)
{
  BOOST_TEST(Choose({ MakeCandidate("far", false, 0), MakeCandidate("near", true, 8) }) == "far");
}

BOOST_AUTO_TEST_CASE(Choice_CandidateTriedBefore_ChoosesAnother)
{
  std::vector<Candidate> candidates{ MakeCandidate("far", false, 0),
                                     MakeCandidate("near", true, 0) };
  candidates[1].tried_ = true;
  BOOST_TEST(Choose(candidates) == "far");
}

BOOST_AUTO_TEST_CASE(Choice_NothingAvailable_ChoosesNone)
{
  Candidate leaving = MakeCandidate("near", true, 0);
  leaving.available_ = false;
  BOOST_TEST(Choose({ leaving, MakeCandidate("full", true, 8) }).empty());
}

BOOST_AUTO_TEST_CASE(Choice_TwoCandidates_ChoosesTheLessLoaded)
{
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Choose({ MakeCandidate("busy", true, 6), MakeCandidate("idle", true, 1) }) ==
               "idle");
  }
}

BOOST_AUTO_TEST_CASE(Choice_VeryLowWeight_IsNotChosen)
{
  std::vector<Candidate> candidates;
  candidates.reserve(4);
  for (int i = 0; i < 4; ++i) {
    candidates.push_back(MakeCandidate("host-" + std::to_string(i), true, 3));
  }
  candidates[0].inFlight_ = 0;
  candidates[0].weight_ = 0.05;
  int chosen = 0;
  for (int i = 0; i < 200; ++i) {
    chosen += Choose(candidates) == "host-0" ? 1 : 0;
  }
  BOOST_TEST(chosen == 0);
}

BOOST_AUTO_TEST_CASE(Ejection_FiveConsecutiveFailures_EjectsForOneSecond)
{
  FailureStats stats;
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!ShouldEject(stats, 0, 10, now_));
    stats = Observe(stats, false);
  }
  BOOST_TEST(ShouldEject(stats, 0, 10, now_));
  stats = Eject(stats, now_);
  BOOST_TEST(IsEjected(stats, now_ + 900ms));
  BOOST_TEST(!IsEjected(stats, now_ + 1s));
}

BOOST_AUTO_TEST_CASE(Ejection_OneThirdEjected_EjectsNoMore)
{
  FailureStats stats;
  for (int i = 0; i < 20; ++i) {
    stats = Observe(stats, false);
  }
  BOOST_TEST(ShouldEject(stats, 2, 9, now_));
  BOOST_TEST(!ShouldEject(stats, 3, 9, now_));
}

BOOST_AUTO_TEST_CASE(Ejection_HasEnded_WeightGrowsGradually)
{
  const FailureStats stats = Eject({}, now_);
  const Moment back = now_ + 1s;
  BOOST_TEST(WeightOf(stats, back) < WeightOf(stats, back + 2s));
  BOOST_TEST(WeightOf(stats, back + 5s) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
