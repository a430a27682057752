#include "include/quetzal/http/Status.h"
#include "tests/harness/JobsDeployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;
using namespace std::chrono_literals;

struct JobsFixture
{
  JobsFixture()
    : jobs_(3, 6, 150)
  {
    for (int i = 0; i < 3; ++i) {
      BOOST_REQUIRE(jobs_.WaitUntilServing(i));
    }
  }

  void CheckNothingRanTwice()
  {
    for (const std::string& violation : jobs_.Record("violation")) {
      BOOST_ERROR(violation);
    }
  }

  void SubmitAll(int aCount, int aTasks)
  {
    for (int i = 1; i <= aCount; ++i) {
      BOOST_TEST(jobs_.SubmitUntilAccepted(JobsDeployment::IdOf(i), aTasks));
    }
  }

  void WaitForAll(int aCount, int aEntry)
  {
    for (int i = 1; i <= aCount; ++i) {
      BOOST_TEST(jobs_.WaitForState(aEntry, JobsDeployment::IdOf(i), "completed"), "job " << i);
    }
  }

  JobsDeployment jobs_;
};

BOOST_FIXTURE_TEST_SUITE(JobsOnThePlatform, JobsFixture)

BOOST_AUTO_TEST_CASE(Jobs_HandedInAnywhere_CompleteOnceEach)
{
  for (int i = 1; i <= 8; ++i) {
    BOOST_TEST(jobs_.Submit(i % 3, JobsDeployment::IdOf(i), 5) == quetzal::http::status::kOk);
  }
  WaitForAll(8, 0);
  for (int i = 1; i <= 8; ++i) {
    BOOST_TEST(jobs_.StartsOf(JobsDeployment::IdOf(i)) == 5);
    BOOST_TEST(jobs_.Submit((i + 1) % 3, JobsDeployment::IdOf(i), 5) == quetzal::http::status::kOk);
  }
  Pause(300ms);
  BOOST_TEST(jobs_.StartsOf(JobsDeployment::IdOf(1)) == 5);
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(Requests_ThatMakeNoSense_GetAClearAnswerAndStoreNothing)
{
  const std::string id = JobsDeployment::IdOf(2);
  BOOST_TEST(jobs_.SubmitBody(0, id, "") == quetzal::http::status::kBadRequest);
  BOOST_TEST(jobs_.SubmitBody(0, id, "\xc1\xff garbage") == quetzal::http::status::kBadRequest);
  BOOST_TEST(jobs_.SubmitBody(0, id, std::string(600 * 1024, 'x')) ==
             quetzal::http::status::kBodyTooLarge);
  BOOST_TEST(jobs_.Submit(0, id, 0) == quetzal::http::status::kBadRequest);
  BOOST_TEST(jobs_.Submit(0, "short2", 1) == quetzal::http::status::kBadRequest);
  BOOST_TEST(jobs_.StateOf(0, id) == "status " + std::to_string(quetzal::http::status::kGone));
  BOOST_TEST(jobs_.Cancel(0, id) == quetzal::http::status::kGone);
  Request nowhere;
  nowhere.method_ = "GET";
  nowhere.target_ = "/nowhere/";
  BOOST_TEST(jobs_.Record("task").empty());
}

BOOST_AUTO_TEST_CASE(Job_Cancelled_StopsAndStaysSo)
{
  const std::string id = JobsDeployment::IdOf(2);
  BOOST_TEST(jobs_.Submit(0, id, 3, true) == quetzal::http::status::kOk);
  BOOST_TEST(WaitUntil([&] { return jobs_.StartsOf(id) == 3; }));
  BOOST_TEST(jobs_.Cancel(1, id) == quetzal::http::status::kOk);
  BOOST_TEST(jobs_.StateOf(2, id) == "cancelled");
  BOOST_TEST(WaitUntil([&] {
    Pause(50ms);
    const auto lines = jobs_.Record("task " + id);
    return std::all_of(
      lines.begin(), lines.end(), [](const std::string& aLine) { return aLine.ends_with(" 0"); });
  }));
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(EntryHosts_KilledInTurn_LoseNoJobAndRunNoneTwice)
{
  SubmitAll(6, 8);
  for (int entry = 0; entry < 3; ++entry) {
    jobs_.Entry(entry).Signal(SIGKILL);
    jobs_.Entry(entry).Wait();
    BOOST_TEST(jobs_.SubmitUntilAccepted(JobsDeployment::IdOf(10 + entry), 4));
    jobs_.StartEntry(entry);
  }
  WaitForAll(6, 1);
  for (int entry = 0; entry < 3; ++entry) {
    BOOST_TEST(jobs_.WaitForState(0, JobsDeployment::IdOf(10 + entry), "completed"));
  }
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(EntryHosts_AllKilledAtOnce_GoOnWhereTheyWere)
{
  SubmitAll(4, 6);
  BOOST_TEST(jobs_.Submit(0, JobsDeployment::IdOf(20), 3, true) == quetzal::http::status::kOk);
  BOOST_TEST(WaitUntil([&] { return jobs_.StartsOf(JobsDeployment::IdOf(20)) == 3; }));
  for (int entry = 0; entry < 3; ++entry) {
    jobs_.Entry(entry).Signal(SIGKILL);
  }
  for (int entry = 0; entry < 3; ++entry) {
    jobs_.Entry(entry).Wait();
    jobs_.StartEntry(entry);
  }
  WaitForAll(4, 0);
  BOOST_TEST(jobs_.StateOf(1, JobsDeployment::IdOf(20)) == "running");
  BOOST_TEST(jobs_.StartsOf(JobsDeployment::IdOf(20)) == 3);
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(EntryHosts_StoppedInTurn_HandTheirCellsOver)
{
  BOOST_TEST(jobs_.Submit(0, JobsDeployment::IdOf(20), 3, true) == quetzal::http::status::kOk);
  BOOST_TEST(WaitUntil([&] { return jobs_.StartsOf(JobsDeployment::IdOf(20)) == 3; }));
  for (int entry = 0; entry < 3; ++entry) {
    jobs_.Entry(entry).Signal(SIGTERM);
    BOOST_TEST(jobs_.SubmitUntilAccepted(JobsDeployment::IdOf(30 + entry), 4));
    BOOST_TEST(jobs_.Entry(entry).Wait() == 0);
    jobs_.StartEntry(entry);
  }
  for (int entry = 0; entry < 3; ++entry) {
    BOOST_TEST(jobs_.WaitForState(entry, JobsDeployment::IdOf(30 + entry), "completed"));
  }
  BOOST_TEST(jobs_.StartsOf(JobsDeployment::IdOf(20)) == 3);
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(Entry_ToldThatSettingsChanged_GoesOn)
{
  jobs_.Entry(0).Signal(SIGHUP);
  BOOST_TEST(jobs_.SubmitUntilAccepted(JobsDeployment::IdOf(2), 2));
  BOOST_TEST(jobs_.WaitForState(0, JobsDeployment::IdOf(2), "completed"));
  BOOST_TEST(jobs_.Entry(0).IsRunning());
}

BOOST_AUTO_TEST_CASE(Store_Away_JobsAreRefusedAndRunningOnesGoOn)
{
  BOOST_TEST(jobs_.Submit(0, JobsDeployment::IdOf(2), 3, true) == quetzal::http::status::kOk);
  BOOST_TEST(WaitUntil([&] { return jobs_.StartsOf(JobsDeployment::IdOf(2)) == 3; }));
  jobs_.Control("/store?mood=refusing");
  BOOST_TEST(WaitUntil([&] {
    return jobs_.Submit(0, JobsDeployment::IdOf(4), 1) ==
           quetzal::http::status::kServiceUnavailable;
  }));
  Pause(1'500ms);
  jobs_.Control("/store?mood=well");
  BOOST_TEST(jobs_.SubmitUntilAccepted(JobsDeployment::IdOf(6), 2));
  BOOST_TEST(jobs_.WaitForState(0, JobsDeployment::IdOf(6), "completed"));
  BOOST_TEST(jobs_.StartsOf(JobsDeployment::IdOf(2)) == 3);
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(Store_CarriesOutAndDoesNotAnswer_JobsAreStoredOnce)
{
  jobs_.Control("/store?mood=forgetful");
  for (int i = 1; i <= 4; ++i) {
    jobs_.Submit(i % 3, JobsDeployment::IdOf(i), 3);
  }
  jobs_.Control("/store?mood=well");
  SubmitAll(4, 3);
  WaitForAll(4, 0);
  for (int i = 1; i <= 4; ++i) {
    BOOST_TEST(jobs_.StartsOf(JobsDeployment::IdOf(i)) == 3);
  }
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(Worker_SilentAndLate_ItsTasksRunElsewhereAndNeverTwice)
{
  jobs_.Control("/silence?worker=0&on=1&late-ms=2500");
  SubmitAll(6, 12);
  Pause(3'000ms);
  jobs_.Control("/silence?worker=0&on=0");
  WaitForAll(6, 0);
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(Worker_LookCannotBeRead_ItsTasksAreNotTakenForGone)
{
  // More than one worker holds, so that there is another one to start them on.
  constexpr int kTasks = 60;
  const std::string id = JobsDeployment::IdOf(2);
  BOOST_TEST(jobs_.Submit(0, id, kTasks, true) == quetzal::http::status::kOk);
  BOOST_TEST(WaitUntil([&] { return jobs_.StartsOf(id) == kTasks; }));
  Pause(500ms); // A look has renewed the leases, which begin with the start's own short time.
  for (int worker = 0; worker < 6; worker += 2) {
    jobs_.Control("/garble?on=1&worker=" + std::to_string(worker));
    Pause(700ms);
    jobs_.Control("/garble?on=0&worker=" + std::to_string(worker));
    Pause(300ms);
  }
  BOOST_TEST(jobs_.StartsOf(id) == kTasks);
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_CASE(Worker_Reborn_ItsTasksStartAgain)
{
  const std::string id = JobsDeployment::IdOf(2);
  BOOST_TEST(jobs_.Submit(0, id, 3, true) == quetzal::http::status::kOk);
  BOOST_TEST(WaitUntil([&] { return jobs_.StartsOf(id) == 3; }));
  for (int worker = 0; worker < 6; worker += 2) {
    jobs_.Control("/reboot?worker=" + std::to_string(worker));
  }
  BOOST_TEST(WaitUntil([&] {
    Pause(50ms);
    return jobs_.StartsOf(id) == 6;
  }));
  CheckNothingRanTwice();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
