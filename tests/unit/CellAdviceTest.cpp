#include "tests/unit/CellFixture.h"

#include <QtCore/QTimer>
#include <algorithm>
#include <deque>

namespace {

using namespace quetzal;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** Workers that start tasks only with a ticket, which is granted for "w2" alone. */
struct AdviceFixture : CellFixture
{
  AdviceFixture()
  {
    platformState_.configuration_.queues_[0].terms_.advice_ = jobs::PlacementAdvicePolicy{};
    for (const char* id : { "w1", "w2", "w3" }) {
      AddWorker(id).wantsTicket_ = true;
    }
    advice_.permitted_ = { "w2" };
    cell_ = TakeOver("a");
  }

  std::unique_ptr<Cell> cell_;
};

/** An advice service that handles one call at a time, in turn. */
class SerialAdvice
  : public QObject
  , public FakeAdvice
{
public:
  void Request(const std::string& aStep,
               const std::vector<std::string>& aWorkers,
               std::function<void(const workers::PlacementAdvice&)> aDone) override
  {
    calls_.push_back({ aStep, aWorkers, std::move(aDone) });
    mostCalls_ = std::max(mostCalls_, calls_.size());
    if (calls_.size() == 1) {
      HandleFirst();
    }
  }

  std::chrono::milliseconds decisionTime_{ 20 };
  std::chrono::milliseconds timePerWorker_{ 2 };
  std::size_t mostCalls_ = 0;                      ///< The most calls that were open at once.
  std::map<std::string, clock::Moment> decidedAt_; ///< Of the last answer, by step.

private:
  struct Call
  {
    std::string step_;
    std::vector<std::string> workers_;
    std::function<void(const workers::PlacementAdvice&)> done_;
  };

  void HandleFirst()
  {
    const auto time = decisionTime_ + timePerWorker_ * calls_.front().workers_.size();
    QTimer::singleShot(time, Qt::PreciseTimer, this, [this] {
      const Call call = std::move(calls_.front());
      calls_.pop_front();
      decidedAt_[call.step_] = clock::Now();
      FakeAdvice::Request(call.step_, call.workers_, call.done_);
      if (!calls_.empty()) {
        HandleFirst();
      }
    });
  }

  std::deque<Call> calls_;
};

/** The same workers, with advice that takes its time and permits "w2" until it expires. */
struct SerialAdviceFixture : AdviceFixture
{
  SerialAdviceFixture()
  {
    serial_.permitted_ = { "w2" };
    serial_.validity_ = 200ms;
    advicePort_ = &serial_;
    cell_ = TakeOver("b");
    worker_.onStart_ = [this](const jobs::TaskId& aTask) {
      const std::string step = jobs::StepName(aTask.job_, aTask.occurrence_, aTask.step_);
      expiredStarts_ += clock::Now() - serial_.decidedAt_.at(step) > serial_.validity_ ? 1 : 0;
    };
  }

  void SubmitMany(const std::string& aPrefix, int aJobs, const jobs::JobSpec& aSpec)
  {
    for (int i = 0; i < aJobs; ++i) {
      Submit(*cell_, aPrefix + std::to_string(i), aSpec);
    }
  }

  SerialAdvice serial_;
  FakeWorker& worker_ = fleet_.At("w2");
  int expiredStarts_ = 0; ///< Starts with a ticket that had expired.
};

BOOST_FIXTURE_TEST_SUITE(CellAdvice, AdviceFixture)

BOOST_AUTO_TEST_CASE(Step_OneWorkerIsPermitted_RunsThereAfterOneRequest)
{
  Submit(*cell_, "job1", Spec(5));
  BOOST_TEST(RunUntil([&] { return fleet_.At("w2").running_.size() == 5; }));
  BOOST_TEST(advice_.requests_.size() == 1U);
  BOOST_TEST(advice_.requests_.front().first == "job1.0.0");
  BOOST_TEST(advice_.requests_.front().second.size() == 3U);
}

BOOST_AUTO_TEST_CASE(Tickets_QueueIsRemoved_AreStillRequested)
{
  Submit(*cell_, "job1", Spec(2));
  platformState_.configuration_.queues_.clear();
  BOOST_TEST(RunUntil([&] { return fleet_.At("w2").running_.size() == 2; }));
}

BOOST_AUTO_TEST_CASE(Tickets_StillValid_AreUsedForTheNextRun)
{
  Submit(*cell_, "job1", Spec(1));
  FakeWorker& worker = fleet_.At("w2");
  BOOST_TEST(WaitForRun(worker, first_));
  worker.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(RunUntil([&] { return worker.starts_.size() == 2; }));
  BOOST_TEST(advice_.requests_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Tickets_Expired_AreRequestedAgain)
{
  advice_.validity_ = 300ms;
  Submit(*cell_, "job1", Spec(1));
  FakeWorker& worker = fleet_.At("w2");
  BOOST_TEST(WaitForRun(worker, first_));
  RunFor(350ms);
  worker.End(first_, jobs::EndKind::kFailed);
  BOOST_TEST(RunUntil([&] { return worker.starts_.size() == 2; }));
  BOOST_TEST(advice_.requests_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(Advice_NoAnswer_IsRequestedAgainAfterADelay)
{
  advice_.answers_ = false;
  Submit(*cell_, "job1", Spec(1));
  RunFor(700ms);
  const std::size_t requests = advice_.requests_.size();
  BOOST_TEST(requests >= 2U);
  BOOST_TEST(requests <= 4U);
  advice_.answers_ = true;
  BOOST_TEST(WaitForRun(fleet_.At("w2"), first_));
}

BOOST_AUTO_TEST_CASE(Worker_RegistersAfterTheRequest_IsRequestedSeparately)
{
  advice_.permitted_ = { "w4" };
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(RunUntil([&] { return !advice_.requests_.empty(); }));
  FakeWorker& late = AddWorker("w4");
  BOOST_TEST(WaitForRun(late, first_));
  BOOST_REQUIRE(advice_.requests_.size() == 2U);
  BOOST_TEST(advice_.requests_.back().second.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Gang_TwoWorkersArePermitted_RunsOnThemAfterOneRequest)
{
  advice_.permitted_ = { "w2", "w3" };
  jobs::JobSpec spec = Spec(3);
  spec.steps_[0].gang_ = true;
  spec.steps_[0].cpu_ = 16'000;
  Submit(*cell_, "job1", spec);
  BOOST_TEST(RunUntil(
    [&] { return fleet_.At("w2").running_.size() + fleet_.At("w3").running_.size() == 3; }, 5'000));
  BOOST_TEST(advice_.requests_.size() == 1U);
  BOOST_TEST(fleet_.At("w1").starts_.empty());
}

BOOST_AUTO_TEST_CASE(Gang_HasNoRoomOnPermittedWorkers_WaitsForOneThatRegisters)
{
  advice_.permitted_ = { "w2", "w4" };
  jobs::JobSpec spec = Spec(3);
  spec.steps_[0].gang_ = true;
  spec.steps_[0].cpu_ = 16'000;
  Submit(*cell_, "job1", spec);
  RunFor(300ms);
  BOOST_TEST(fleet_.At("w2").starts_.empty());
  FakeWorker& late = AddWorker("w4");
  late.wantsTicket_ = true;
  BOOST_TEST(
    RunUntil([&] { return fleet_.At("w2").running_.size() + late.running_.size() == 3; }, 5'000));
}

BOOST_FIXTURE_TEST_CASE(Burst_AdviceTakesLongerThanAValidity_EachJobStartsAfterOneRequest,
                        SerialAdviceFixture)
{
  SubmitMany("job", 24, Spec(1));
  BOOST_TEST(RunUntil([&] { return worker_.starts_.size() == 24; }, 8'000));
  BOOST_TEST(serial_.requests_.size() == 24U);
  BOOST_TEST(serial_.mostCalls_ == 1U);
  BOOST_TEST(expiredStarts_ == 0);
}

BOOST_FIXTURE_TEST_CASE(Tickets_ExpireUnusedBecauseNothingHasRoom_LaterJobsGetTheirs,
                        SerialAdviceFixture)
{
  jobs::JobSpec tooLarge = Spec(1);
  tooLarge.steps_[0].cpu_ = 64'000;
  SubmitMany("large", 15, tooLarge);
  RunFor(300ms);
  SubmitMany("job", 2, Spec(1));
  BOOST_TEST(RunUntil([&] { return worker_.starts_.size() == 2; }, 8'000));
  BOOST_TEST(expiredStarts_ == 0);
}

BOOST_FIXTURE_TEST_CASE(Job_CancelledWhileItsRequestIsOpen_LaterJobsGetTickets, SerialAdviceFixture)
{
  Submit(*cell_, "job0", Spec(1));
  BOOST_TEST(RunUntil([&] { return serial_.mostCalls_ == 1; }));
  cell_->Cancel("job0", {}, [](const Answer& /*aAnswer*/) {});
  Submit(*cell_, "job1", Spec(1));
  BOOST_TEST(WaitForRun(worker_, first_));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
