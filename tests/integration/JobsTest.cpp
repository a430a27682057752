#include "include/quetzal/http/Status.h"
#include "tests/harness/JobsDeployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;
using namespace std::chrono_literals;

/** Three entry hosts and six workers, with tasks of 150 ms. Whatever fails, no accepted job may be
 * lost and no task may have two runs at once or run again after its end. */
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

/** Each job is submitted again at another entry host after it has completed. The second submission
 * must be accepted and must not start its tasks again. */
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

/** Unreadable or oversized bodies, a job without tasks, an id that is too short and an unknown job
 * must each be answered with status 400, 413 or 410, and must not start a task. */
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

/** A job is cancelled at another entry host than it was submitted to. All its tasks must stop, and
 * a third entry host must show it as cancelled. */
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

/** Each kill takes away the owner of some cells. The next owner must find all accepted jobs in the
 * store, and must not start tasks again that its predecessor has started. */
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

/** No entry host is left that knows the running tasks. The restarted ones must adopt these tasks
 * from the store and the workers, instead of starting them again. */
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

/** A planned stop must hand cells over without a restart of their tasks, and jobs must be accepted
 * during the stop. */
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

/** SIGHUP ends a process that does not handle it. */
BOOST_AUTO_TEST_CASE(Entry_ToldThatSettingsChanged_GoesOn)
{
  jobs_.Entry(0).Signal(SIGHUP);
  BOOST_TEST(jobs_.SubmitUntilAccepted(JobsDeployment::IdOf(2), 2));
  BOOST_TEST(jobs_.WaitForState(0, JobsDeployment::IdOf(2), "completed"));
  BOOST_TEST(jobs_.Entry(0).IsRunning());
}

/** While the store refuses all calls, an entry host cannot store a job and must not accept it. An
 * outage of 1.5 s must not stop or restart running tasks. */
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

/** The store carries out writes and closes the connection without an answer, so the entry host does
 * not know whether a job was stored. A later submission must not run the job a second time. */
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

/** A worker answers nothing and carries out start orders 2.5 s late. Its tasks are started on other
 * workers, and a late start must not make one of them run twice. */
BOOST_AUTO_TEST_CASE(Worker_SilentAndLate_ItsTasksRunElsewhereAndNeverTwice)
{
  jobs_.Control("/silence?worker=0&on=1&late-ms=2500");
  SubmitAll(6, 12);
  Pause(3'000ms);
  jobs_.Control("/silence?worker=0&on=0");
  WaitForAll(6, 0);
  CheckNothingRanTwice();
}

/** A worker answers polls with status 200 and a body that cannot be read. The owner once took
 * this for a worker that runs nothing and started its tasks elsewhere: two runs at once. */
BOOST_AUTO_TEST_CASE(Worker_LookCannotBeRead_ItsTasksAreNotTakenForGone)
{
  // More tasks than fit on one worker, so that there are other workers to start them on.
  constexpr int kTasks = 60;
  const std::string id = JobsDeployment::IdOf(2);
  BOOST_TEST(jobs_.Submit(0, id, kTasks, true) == quetzal::http::status::kOk);
  BOOST_TEST(WaitUntil([&] { return jobs_.StartsOf(id) == kTasks; }));
  Pause(500ms); // A start gives only a short lease; wait until a poll has renewed it.
  for (int worker = 0; worker < 6; worker += 2) {
    jobs_.Control("/garble?on=1&worker=" + std::to_string(worker));
    Pause(700ms);
    jobs_.Control("/garble?on=0&worker=" + std::to_string(worker));
    Pause(300ms);
  }
  BOOST_TEST(jobs_.StartsOf(id) == kTasks);
  CheckNothingRanTwice();
}

/** The restarted workers run nothing any more. The owner must notice the new incarnation and start
 * the lost tasks again. Workers with even numbers serve the queue of jobs with even ids. */
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
