#include "tests/harness/Process.h"

#include <QtCore/QTemporaryDir>
#include <boost/test/unit_test.hpp>
#include <fstream>

namespace {

using namespace harness;

/** Log files of two entry hosts, as an operator has collected them. */
struct ExplainFixture
{
  std::string WriteLog(const std::string& aName, const std::string& aText) const
  {
    std::string file = directory_.filePath(QString::fromStdString(aName)).toStdString();
    std::ofstream(file) << aText;
    return file;
  }

  QTemporaryDir directory_;
};

BOOST_FIXTURE_TEST_SUITE(ExplainCommand, ExplainFixture)

BOOST_AUTO_TEST_CASE(Explain_LogsOfTwoHosts_PrintsTheJobsHistoryAndConclusion)
{
  const std::string a =
    WriteLog("a.log",
             "1789313308.000000 a info cell: event=job-accepted cell=c job=0123456789abcdef\n"
             "1789313308.100000 a info node: event=released key=quetzal/live/cell/c\n");
  const std::string b =
    WriteLog("b.log",
             "1789313310.000000 b info cell: event=cell-begun cell=c fence=2\n"
             "not a line of a log\n"
             "1789313310.500000 b info cell: event=job-ended job=0123456789abcdef state=completed "
             "after_ms=2500\n");
  const CommandResult result = Run("quetzalctl", { "explain", "0123456789abcdef", a, b });
  BOOST_TEST(result.exitCode_ == 0);
  BOOST_TEST(result.output_ ==
             "    0.000    0.000  a                job-accepted cell=c job=0123456789abcdef\n"
             "    0.100    0.100  a                released key=quetzal/live/cell/c\n"
             "    2.000    1.900  b                cell-begun cell=c fence=2\n"
             "    2.500    0.500  b                job-ended job=0123456789abcdef state=completed "
             "after_ms=2500\n"
             "The job ended as completed after 2500 ms. Its longest wait, 2500 ms from "
             "job-accepted, has this likely cause: its cell c changed its owner.\n");
}

BOOST_AUTO_TEST_CASE(Explain_SubjectInNoLog_EndsWithAFailure)
{
  const CommandResult result = Run("quetzalctl", { "explain", "unknown-host", WriteLog("a", "") });
  BOOST_TEST(result.exitCode_ == 1);
  BOOST_TEST(result.output_ == "No line of these logs names unknown-host.\n");
}

BOOST_AUTO_TEST_CASE(Explain_LogThatCannotBeRead_IsNamed)
{
  const CommandResult result = Run("quetzalctl", { "explain", "a-1", "/no/such/log" });
  BOOST_TEST(result.exitCode_ == 2);
  BOOST_TEST(result.errors_.find("/no/such/log") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Check_WithTwoFiles_IsRefused)
{
  const CommandResult result = Run("quetzalctl", { "check", "one.yaml", "two.yaml" });
  BOOST_TEST(result.exitCode_ == 2);
  BOOST_TEST(result.errors_.find("two.yaml") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
