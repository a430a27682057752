#include "include/quetzal/http/Status.h"
#include "include/quetzal/node/TombstoneBudget.h"
#include "tests/harness/JobsDeployment.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

using namespace harness;
using namespace std::chrono_literals;

constexpr int kEntryHosts = 3;
constexpr int kJobsOfARound = 8;
/** Longer than any submission is attempted. */
constexpr auto kLastAttempt = 5s;
constexpr auto kCancelTimeout = 20s;

std::size_t
CountOf(const std::string& aText, const std::string& aWord)
{
  std::size_t count = 0;
  for (auto at = aText.find(aWord); at != std::string::npos; at = aText.find(aWord, at + 1)) {
    ++count;
  }
  return count;
}

/** Three entry hosts. Callers hand jobs in, leave without an answer and cancel the jobs at another
 * entry host. Whatever happens to the owner, a job whose cancel was answered with "no such job" may
 * not run after that. */
struct JobsCancelFixture
{
  struct Submission
  {
    std::string id_;
    std::unique_ptr<RawCaller> caller_;
  };

  JobsCancelFixture()
    : jobs_(kEntryHosts, 6, 150)
  {
    for (int entry = 0; entry < kEntryHosts; ++entry) {
      BOOST_REQUIRE(jobs_.WaitUntilServing(entry));
    }
  }

  static int After(int aEntry, int aSteps) { return (aEntry + aSteps) % kEntryHosts; }

  /** Submits jobs at the two entry hosts other than the given one, and leaves once that host has
   * had a signal. @return the jobs' ids. */
  std::vector<std::string> SubmitAndLeave(int aEntry, int aSignal)
  {
    std::vector<Submission> submissions;
    for (int i = 0; i < kJobsOfARound; ++i) {
      const std::string id = JobsDeployment::IdOf(next_++);
      submissions.push_back(
        { id, std::make_unique<RawCaller>(jobs_.Callers(After(aEntry, 1 + i % 2))) });
      submissions.back().caller_->Send(JobsDeployment::SubmitBytes(id));
    }
    Pause(4ms);
    jobs_.Entry(aEntry).Signal(aSignal);
    Pause(60ms);
    std::vector<std::string> left;
    for (const Submission& submission : submissions) {
      if (!submission.caller_->IsAnswered()) {
        left.push_back(submission.id_);
      }
    }
    return left;
  }

  void Cancel(int aEntry, const std::vector<std::string>& aIds)
  {
    const auto cancelled = jobs_.CancelUntilDecided(aEntry, aIds, kCancelTimeout);
    BOOST_TEST(cancelled.undecided_.empty());
    gone_.insert(gone_.end(), cancelled.gone_.begin(), cancelled.gone_.end());
  }

  void CheckNoneOfTheGoneRuns()
  {
    Pause(kLastAttempt);
    for (const std::string& id : gone_) {
      BOOST_TEST(jobs_.StartsOf(id) == 0, "job " << id << " runs after its cancel got 410");
      BOOST_TEST(jobs_.StateOf(0, id) == "status " + std::to_string(quetzal::http::status::kGone));
    }
  }

  JobsDeployment jobs_;
  int next_ = 1'000;
  std::vector<std::string> gone_;
};

BOOST_FIXTURE_TEST_SUITE(JobsCancelledWhileOwnersChange, JobsCancelFixture)

/** Guards against the submission that waits in its entry host for the next owner. */
BOOST_AUTO_TEST_CASE(Owner_IsKilled_NoJobRunsThatItsCallerWasToldNotToExist)
{
  for (int entry = 0; entry < kEntryHosts; ++entry) {
    const auto left = SubmitAndLeave(entry, SIGKILL);
    jobs_.Entry(entry).Wait();
    jobs_.StartEntry(entry);
    Cancel(After(entry, 2), left);
  }
  CheckNoneOfTheGoneRuns();
}

/** Guards against the submission that lies unread at an owner that is paused. */
BOOST_AUTO_TEST_CASE(Owner_IsPausedAndGoesOn_NoJobRunsThatItsCallerWasToldNotToExist)
{
  for (int entry = 0; entry < kEntryHosts; ++entry) {
    const auto left = SubmitAndLeave(entry, SIGSTOP);
    // The pause outlasts the owner's lease in one round of two.
    const bool isLong = entry % 2 == 0;
    Pause(isLong ? 4'500ms : 1'000ms);
    jobs_.Entry(entry).Signal(SIGCONT);
    Cancel(After(entry, 2), left);
  }
  CheckNoneOfTheGoneRuns();
}

/** Guards against the submission that meets an owner which hands its cells over. */
BOOST_AUTO_TEST_CASE(Owner_IsStopped_NoJobRunsThatItsCallerWasToldNotToExist)
{
  for (int entry = 0; entry < kEntryHosts; ++entry) {
    const auto left = SubmitAndLeave(entry, SIGTERM);
    Cancel(After(entry, 2), left);
    BOOST_TEST(jobs_.Entry(entry).Wait() == 0);
    jobs_.StartEntry(entry);
    BOOST_REQUIRE(jobs_.WaitUntilServing(entry));
  }
  CheckNoneOfTheGoneRuns();
}

/** Guards against a crowd that fills the store with cancels of random ids: each host that claims a
 * cell reads them. Other callers must be served meanwhile, and accepted jobs be cancelled. */
BOOST_AUTO_TEST_CASE(Crowd_CancelsJobsThatDoNotExist_IsBoundedAndOthersAreServed)
{
  constexpr std::size_t kCallers = 30;
  constexpr std::size_t kCancelsOfACaller = 80;
  std::vector<std::unique_ptr<RawCaller>> crowd;
  int nextUnknown = 1'000'000;
  for (std::size_t i = 0; i < kCallers; ++i) {
    std::string cancels;
    for (std::size_t cancel = 0; cancel < kCancelsOfACaller; ++cancel) {
      cancels += JobsDeployment::CancelBytes(JobsDeployment::IdOf(nextUnknown++));
    }
    crowd.push_back(std::make_unique<RawCaller>(jobs_.Callers(0)));
    crowd.back()->Send(cancels);
  }
  const std::string id = JobsDeployment::IdOf(next_++);
  BOOST_TEST(jobs_.Submit(0, id, 1, true) == quetzal::http::status::kOk);
  BOOST_TEST(jobs_.Cancel(0, id) == quetzal::http::status::kOk);
  std::size_t gone = 0;
  std::size_t refused = 0;
  for (const auto& caller : crowd) {
    BOOST_TEST(WaitUntil([&] {
      return caller->IsClosed() || CountOf(caller->Received(), "HTTP/1.1 ") == kCancelsOfACaller;
    }));
    gone += CountOf(caller->Received(), "HTTP/1.1 410");
    refused += CountOf(caller->Received(), "HTTP/1.1 503");
  }
  BOOST_TEST(gone + refused == kCallers * kCancelsOfACaller);
  // The budget refills while the crowd is served.
  BOOST_TEST(gone < 2 * static_cast<std::size_t>(quetzal::node::kMaxTombstones));
  BOOST_TEST(jobs_.Submit(0, JobsDeployment::IdOf(next_++), 1) == quetzal::http::status::kOk);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
