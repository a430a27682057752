#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <fstream>

namespace {

using namespace harness;

/** Operators must put in force only what they have tried, against the document that was in force
 * then. Otherwise an untested document, or one that undoes a colleague's change, could come in
 * force. */
struct PromoteFixture
{
  PromoteFixture()
    : deployment_({})
  {
    deployment_.StartPlatform();
  }

  /** Writes the deployment's own document with some more lines and a comment that makes its bytes
   * unique. @return the file. */
  std::string WriteVariant(const std::string& aName, const std::string& aMore = {}) const
  {
    std::string file = directory_.filePath(QString::fromStdString(aName)).toStdString();
    std::ofstream(file) << deployment_.DocumentText() << aMore << "# " << aName << '\n';
    return file;
  }

  Deployment deployment_;
  QTemporaryDir directory_;
};

BOOST_FIXTURE_TEST_SUITE(Promote, PromoteFixture)

/** A trial must not write: a second one must print the same token, with revision 0. */
BOOST_AUTO_TEST_CASE(Trial_Twice_ChangesNothing)
{
  const std::string first = TokenOf(deployment_.Trial(deployment_.DocumentFile()));
  BOOST_TEST(first.ends_with("@0"));
  BOOST_TEST(TokenOf(deployment_.Trial(deployment_.DocumentFile())) == first);
}

BOOST_AUTO_TEST_CASE(Promote_WithoutTrial_IsRefusedAsNotTried)
{
  const auto result = deployment_.Promote(deployment_.DocumentFile(), "");
  BOOST_TEST(result.output_.starts_with("not-tried"));
  BOOST_TEST(result.exitCode_ == 1);
}

BOOST_AUTO_TEST_CASE(Promote_OtherBytesThanTried_IsRefusedAsNotTried)
{
  const std::string token = TokenOf(deployment_.Trial(deployment_.DocumentFile()));
  const auto result = deployment_.Promote(WriteVariant("changed.yaml"), token);
  BOOST_TEST(result.output_.starts_with("not-tried"));
}

/** Two documents are tried against the same revision. The second promotion must not overwrite the
 * first without a new trial. */
BOOST_AUTO_TEST_CASE(Promote_TwoOperatorsAfterTheSameTrial_OneGetsAConflict)
{
  const std::string one = WriteVariant("one.yaml");
  const std::string two = WriteVariant("two.yaml");
  const std::string tokenOne = TokenOf(deployment_.Trial(one));
  const std::string tokenTwo = TokenOf(deployment_.Trial(two));
  BOOST_TEST(deployment_.Promote(one, tokenOne).output_.starts_with("in-force"));
  BOOST_TEST(deployment_.Promote(two, tokenTwo).output_.starts_with("conflict"));
  BOOST_TEST(
    deployment_.Promote(two, TokenOf(deployment_.Trial(two))).output_.starts_with("in-force"));
}

/** The store carries out the write and its answer is lost. The promotion must read the store, and
 * must not report a conflict with its own write. */
BOOST_AUTO_TEST_CASE(Promote_AnswerLost_FindsOutThatItIsInForce)
{
  const std::string token = TokenOf(deployment_.Trial(deployment_.DocumentFile()));
  deployment_.ControlPlatform("/control/faults", R"({"lose_write_answers": 1})");
  BOOST_TEST(
    deployment_.Promote(deployment_.DocumentFile(), token).output_.starts_with("in-force"));
}

BOOST_AUTO_TEST_CASE(Promote_PromiseAtRisk_IsRefusedAsUnsafe)
{
  const std::string risky = WriteVariant("risky.yaml", "    min_healthy: 1\n");
  const auto trial = deployment_.Trial(risky);
  BOOST_TEST(trial.output_.find("promises at risk: quotes") != std::string::npos);
  BOOST_TEST(deployment_.Promote(risky, TokenOf(trial)).output_.starts_with("unsafe"));
}

BOOST_AUTO_TEST_CASE(Promote_StoreDown_SaysSo)
{
  const std::string token = TokenOf(deployment_.Trial(deployment_.DocumentFile()));
  deployment_.ControlPlatform("/control/faults", R"({"down": true})");
  const auto result = deployment_.Promote(deployment_.DocumentFile(), token);
  BOOST_TEST(result.output_.starts_with("store-unreachable"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
