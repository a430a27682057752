#include "tests/harness/JobsDeployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;
using namespace std::chrono_literals;

/** More tasks than fit on one worker, so that worker 0 gets some. */
constexpr int kTasks = 40;
/** The clock of worker 0 after its restart, far below the one that it started with. */
constexpr int kClockMs = 1'000;
/** Longer than the longest lease of a worker. */
constexpr auto kLongestLease = 7'000ms;

/** One entry host and the workers 0, 2 and 4 of queue "alpha". Worker 0 restarts under its id and
 * is cut off until the end of the check. */
struct RestartFixture
{
  RestartFixture()
    : jobs_(1, 6, 150)
  {
    BOOST_REQUIRE(jobs_.WaitUntilServing(0));
    // Right after a poll, so that the next one, which would tell of the restart, is far away.
    const auto polls = jobs_.CountOf("polled i-0");
    BOOST_REQUIRE(WaitUntil([&] { return jobs_.CountOf("polled i-0") > polls; }));
  }

  /** Restarts worker 0, which the store shows only much later. */
  void RestartUnseen()
  {
    jobs_.Control("/reboot?worker=0&register-ms=60000&clock=" + std::to_string(kClockMs));
  }

  void SubmitLongRunning() { BOOST_TEST(jobs_.SubmitUntilAccepted(id_, kTasks, true)); }

  /** Waits until each task runs, and checks that none had two runs at once. */
  void CheckTasksRunOnce()
  {
    for (auto waited = 0ms; waited < kLongestLease; waited += 100ms) {
      Pause(100ms);
      const auto violations = jobs_.Record("violation");
      BOOST_REQUIRE_MESSAGE(violations.empty(), violations.front());
    }
    BOOST_TEST(jobs_.CountOf("started i-0") > 0);
    jobs_.Control("/silence?worker=0&on=0");
    BOOST_TEST(WaitUntil([&] { return RunningTasks() == kTasks; }, 60s));
    for (const std::string& violation : jobs_.Record("violation")) {
      BOOST_ERROR(violation);
    }
  }

  int RunningTasks()
  {
    int running = 0;
    for (const std::string& line : jobs_.Record("task " + id_)) {
      running += line.ends_with(" 1") ? 1 : 0;
    }
    return running;
  }

  JobsDeployment jobs_;
  const std::string id_ = JobsDeployment::IdOf(2);
};

BOOST_FIXTURE_TEST_SUITE(JobsOnRestartedWorkers, RestartFixture)

/** The new incarnation takes orders whose deadlines are of the clock before, so that their runs
 * last for the longest lease, and answers them, but no poll. The owner must not count on the short
 * lease that it meant to give. */
BOOST_AUTO_TEST_CASE(Worker_RestartedAndSilentAfterAnOrder_ItsTasksRunOnce)
{
  jobs_.Control("/silence?worker=0&on=1&answer-starts=1");
  RestartUnseen();
  SubmitLongRunning();
  CheckTasksRunOnce();
}

/** Orders to the incarnation before get no answer, and the new one carries them out after the lease
 * that they were to give has lapsed. */
BOOST_AUTO_TEST_CASE(Worker_RestartedWhileOrdersAreLate_ItsTasksRunOnce)
{
  jobs_.Control("/silence?worker=0&on=1&late-ms=3000");
  SubmitLongRunning();
  Pause(1'000ms);
  RestartUnseen();
  CheckTasksRunOnce();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
