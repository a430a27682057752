#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <fstream>

namespace {

using namespace harness;

/** A mistake in a settings file or document must end the program with one line that names the file,
 * the line and the key, and with exit code 2. Otherwise a misspelt key would be ignored silently.
 */
struct SettingsFixture
{
  /** Runs a binary on a file with the given text as its last argument. */
  CommandResult RunOn(const std::string& aBinary,
                      const std::vector<std::string>& aArguments,
                      const std::string& aText)
  {
    std::ofstream(File()) << aText;
    std::vector<std::string> arguments = aArguments;
    arguments.push_back(File());
    return Run(aBinary, arguments);
  }

  std::string File() const { return directory_.filePath("input.yaml").toStdString(); }

  QTemporaryDir directory_;
};

BOOST_FIXTURE_TEST_SUITE(Settings, SettingsFixture)

BOOST_AUTO_TEST_CASE(Entryd_UnknownKey_EndsWithOneLineAndCode2)
{
  const auto result = RunOn("quetzal-entryd", { "-s" }, "name: a\navailabilty_zone: z\n");
  BOOST_TEST(result.exitCode_ == 2);
  BOOST_TEST(result.errors_.starts_with(File() + ":2: availabilty_zone: expected one of the keys"));
  BOOST_TEST(result.errors_.find('\n') == result.errors_.size() - 1);
}

BOOST_AUTO_TEST_CASE(Entryd_BadAddress_ErrorNamesItsPlace)
{
  const auto result = RunOn(
    "quetzal-entryd", { "-s" }, "name: a\navailability_zone: z\nenvironment: e\ncallers: here\n");
  BOOST_TEST(result.exitCode_ == 2);
  BOOST_TEST(result.errors_ ==
             File() + ":4: callers: expected an IP address and a port, such as 10.0.0.1:8080\n");
}

BOOST_AUTO_TEST_CASE(Entryd_NoSuchFile_EndsWithCode2)
{
  const auto result = Run("quetzal-entryd", { "-s", "/nowhere/entry.yaml" });
  BOOST_TEST(result.exitCode_ == 2);
  BOOST_TEST(result.errors_ == "/nowhere/entry.yaml:0: (document): expected a readable file\n");
}

BOOST_AUTO_TEST_CASE(Quetzalctl_BadDocument_EndsWithOneLineAndCode2)
{
  const auto result =
    RunOn("quetzalctl", { "check" }, "environment: e\npools:\n  - {name: p, hosts: [ghost]}\n");
  BOOST_TEST(result.exitCode_ == 2);
  BOOST_TEST(result.errors_ ==
             File() + ":3: pools[0].hosts[0]: expected the name of a host of this document\n");
}

/** Scripts tell an unreachable store by the first word of the output, and by exit code 1 instead of
 * 2. */
BOOST_AUTO_TEST_CASE(Quetzalctl_StoreUnreachable_SaysSoByItsType)
{
  const auto result =
    RunOn("quetzalctl", { "-p", "127.0.0.1:1", "trial" }, "environment: e\npools: []\n");
  BOOST_TEST(result.exitCode_ == 1);
  BOOST_TEST(result.output_.starts_with("store-unreachable"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
