#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace {

using namespace harness;

/** Records a whole session, request by request, and compares it with a golden file. Guards against
 * unintended changes of the statuses, outcomes and reasons that callers see. */
struct GoldenFixture
{
  GoldenFixture()
    : deployment_(MakeOptions())
  {
  }

  static DeploymentOptions MakeOptions()
  {
    DeploymentOptions options;
    options.zones_ = 2;
    options.promises_ = "    deadline_ms: 500\n"
                        "    longest_deadline_ms: 2000\n"
                        "    not_run_statuses: [503]\n"
                        "    routes:\n"
                        "      - {prefix: /ledger, class: long, deadline_ms: 1000}\n"
                        "      - {prefix: /search, idempotent: true}\n";
    return options;
  }

  void Note(const std::string& aText) { session_ << "# " << aText << '\n'; }

  /** Sends a request, and records the answer and how often the request has run. */
  void Exchange(int aEntry,
                const std::string& aMethod,
                const std::string& aPath,
                const std::string& aId,
                const std::string& aKey = {})
  {
    const auto response =
      Send(deployment_.Callers(aEntry), deployment_.MakeRequest(aMethod, aPath, aId, aKey));
    session_ << "entry-" << aEntry << " < " << aMethod << ' ' << aPath << " id " << aId;
    session_ << (aKey.empty() ? "" : " key " + aKey) << '\n';
    session_ << "entry-" << aEntry << " > " << (response ? response->status_ : 0) << ' '
             << OutcomeOf(response)
             << (FieldOf(response, "Quetzal-Replayed").empty() ? "" : " replayed");
    session_ << ", runs " << deployment_.RunsOf(aId) << '\n';
  }

  void Compare(const std::string& aName)
  {
    const std::string file = std::string(GOLDEN_DIR) + "/" + aName;
    if (!qEnvironmentVariableIsEmpty("UPDATE_GOLDEN")) {
      std::ofstream(file) << session_.str();
    }
    std::ifstream stream(file);
    std::ostringstream expected;
    expected << stream.rdbuf();
    BOOST_TEST(session_.str() == expected.str());
  }

  Deployment deployment_;
  std::ostringstream session_;
};

BOOST_FIXTURE_TEST_SUITE(Golden, GoldenFixture)

BOOST_AUTO_TEST_CASE(Session_FromStartToOutageAndBack_IsAsWrittenDown)
{
  Note("started, no document in force");
  deployment_.StartAll();
  Exchange(0, "GET", "/quote", "early");
  Note("document promoted");
  deployment_.Promote();
  deployment_.WaitUntilServing();
  Exchange(0, "GET", "/quote", "quote");
  Exchange(1, "POST", "/ledger", "posting", "key-1");
  BOOST_TEST(WaitUntil([this] {
    const auto again = deployment_.Post(0, "/ledger", "posting", "key-1");
    return OutcomeOf(again) == "answered";
  }));
  Note("the same posting again, at another entry host");
  Exchange(0, "POST", "/ledger", "posting", "key-1");
  Note("its key for another posting");
  Exchange(0, "POST", "/ledger/other", "other", "key-1");
  Note("backend servers close after reading");
  deployment_.SetMode("close-after-read");
  Exchange(0, "POST", "/ledger", "lost", "key-2");
  Exchange(1, "POST", "/ledger", "lost", "key-2");
  Note("backend servers refuse by promise");
  deployment_.SetMode("refuse");
  Exchange(0, "POST", "/ledger", "refused", "key-3");
  deployment_.SetMode("normal");
  Note("the store is down");
  deployment_.ControlPlatform("/control/faults", R"({"down": true})");
  Exchange(0, "POST", "/ledger", "outage", "key-4");
  Exchange(0, "POST", "/plain", "plain");
  Exchange(0, "GET", "/quote", "quote-in-outage");
  Note("the store is back");
  deployment_.ControlPlatform("/control/faults", "{}");
  BOOST_TEST(WaitUntil([this] {
    return OutcomeOf(deployment_.Post(1, "/ledger", "probe", "key-probe")) == "answered";
  }));
  Exchange(1, "POST", "/ledger", "after", "key-5");
  Note("a key that is no key");
  Exchange(0, "POST", "/plain", "bad key", "two words");
  Compare("first-session.txt");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
