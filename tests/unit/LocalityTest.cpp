#include "include/quetzal/placement/Locality.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

namespace {

using namespace quetzal;
using namespace quetzal::placement;
using namespace std::chrono_literals;

/** A task of 400 ms near its data, three times as long away from it, and a slot
 * in 300 ms. */
struct LocalityFixture
{
  LocalityFixture()
  {
    wait_.farFactor_ = 3;
    wait_.expected_ = 400ms;
    wait_.slotAt_ = now_ + 300ms;
    wait_.endLimit_ = now_ + 10s;
  }

  bool Waits() const { return NearWaitEnd(wait_, now_).has_value(); }

  clock::Moment now_ = clock::Moment{} + 1h;
  NearWait wait_;
};

BOOST_FIXTURE_TEST_SUITE(LocalityDecision, LocalityFixture)

// Guards against tasks that run far for long although a near slot is about to
// become free.
BOOST_AUTO_TEST_CASE(Task_NearRunWouldEndEarlier_WaitsForAtMostTheTimeSaved)
{
  BOOST_TEST((NearWaitEnd(wait_, now_) == now_ + 800ms));
}

// Guards against waits that cost more than the far run.
BOOST_AUTO_TEST_CASE(Task_FarRunWouldEndFirst_StartsFar)
{
  wait_.slotAt_ = now_ + 800ms;
  BOOST_TEST(!Waits());
  wait_.slotAt_ = now_ + 799ms;
  BOOST_TEST(Waits());
}

BOOST_AUTO_TEST_CASE(Task_NoSlotIsExpected_StartsFar)
{
  wait_.slotAt_ = std::nullopt;
  BOOST_TEST(!Waits());
}

// Guards against a change of placement where the deployment has no far factor.
BOOST_AUTO_TEST_CASE(Task_FarRunsAreNotSlower_StartsFar)
{
  wait_.farFactor_ = 1;
  BOOST_TEST(!Waits());
}

BOOST_AUTO_TEST_CASE(Task_RunsUntilCancelled_StartsFar)
{
  wait_.longRunning_ = true;
  BOOST_TEST(!Waits());
}

// Guards against waits of seconds, in which a task with room for it has nothing
// running.
BOOST_AUTO_TEST_CASE(Task_LongRunWithSlotSoon_WaitsForLessThanASecond)
{
  wait_.expected_ = 60s;
  BOOST_TEST((NearWaitEnd(wait_, now_) == now_ + kMaxNearWait));
  BOOST_TEST((kMaxNearWait < 1s));
  wait_.slotAt_ = now_ + kMaxNearWait + 1ms;
  BOOST_TEST(!Waits());
}

// Guards against a wait that starts anew each time that the task is considered.
BOOST_AUTO_TEST_CASE(Task_HasWaitedBefore_TimeLimitCountsFromItsFirstWait)
{
  wait_.since_ = now_ - 400ms;
  BOOST_TEST((NearWaitEnd(wait_, now_) == now_ + 400ms));
  wait_.since_ = now_ - 800ms;
  wait_.slotAt_ = now_;
  BOOST_TEST(!Waits());
}

// Guards against a job that misses its objective because of the wait.
BOOST_AUTO_TEST_CASE(Task_FarRunWouldMeetTheObjective_WaitEndsWhileItStillDoes)
{
  wait_.endLimit_ = now_ + 1'500ms;
  wait_.slotAt_ = now_ + 100ms;
  BOOST_TEST((NearWaitEnd(wait_, now_) == now_ + 300ms));
  wait_.slotAt_ = now_ + 301ms;
  BOOST_TEST(!Waits());
}

BOOST_AUTO_TEST_CASE(Task_FarRunWouldMissTheObjective_ObjectiveDoesNotLimitTheWait)
{
  wait_.endLimit_ = now_ + 1s;
  BOOST_TEST((NearWaitEnd(wait_, now_) == now_ + 800ms));
}

// Guards against waits that let others wait: with more demand, a task may wait
// for less.
BOOST_AUTO_TEST_CASE(Task_RackIsInDemand_WaitsForLess)
{
  wait_.slots_ = 12;
  wait_.slotAt_ = now_ + 1ms;
  const auto calm = NearWaitEnd(wait_, now_);
  wait_.demand_ = 0.9;
  const auto busy = NearWaitEnd(wait_, now_);
  wait_.demand_ = 1.5;
  const auto hot = NearWaitEnd(wait_, now_);
  BOOST_TEST((calm == now_ + 800ms));
  BOOST_REQUIRE((busy && hot));
  BOOST_TEST((*busy < *calm));
  BOOST_TEST((*hot < *busy));
}

BOOST_AUTO_TEST_CASE(Demand_TasksStartAtASteadyRate_IsTheirMeanUse)
{
  jobs::StepSpec step;
  step.cpu_ = 1'000;
  RackDemand demand;
  demand.at_ = now_;
  for (int i = 0; i < 200; ++i) {
    now_ += 100ms;
    AddDemand(demand, step, 400ms, now_);
  }
  BOOST_TEST(WantedMillicores(demand, now_) > 3'600);
  BOOST_TEST(WantedMillicores(demand, now_) < 4'400);
  BOOST_TEST(WantedMillicores(demand, now_ + 1min) < 1);
}

BOOST_AUTO_TEST_SUITE_END()

/** A rack of one worker with one core, which is in use for another 200 ms. */
struct RackForecastFixture
{
  RackForecastFixture()
  {
    step_.cpu_ = 1'000;
    step_.count_ = 2;
    use_.taskCounts_ = { 0, 0 };
    rack_.workers_.push_back(Worker(0, 200ms));
  }

  WorkerForecast Worker(std::size_t aCandidate, std::chrono::milliseconds aFreeIn) const
  {
    WorkerForecast worker;
    worker.candidate_ = aCandidate;
    worker.labels_ = &labels_;
    worker.changes_ = { { now_ + aFreeIn, { 1'000, 0, 0 } } };
    return worker;
  }

  std::optional<clock::Moment> SlotAt() const
  {
    const auto slot = FindSlot(rack_, step_, use_, now_);
    return slot ? std::optional(slot->at_) : std::nullopt;
  }

  const std::vector<std::string> labels_{ "kind", "r1" };
  clock::Moment now_ = clock::Moment{} + 1h;
  RackForecast rack_;
  StepUse use_;
  jobs::StepSpec step_;
};

BOOST_FIXTURE_TEST_SUITE(LocalityForecast, RackForecastFixture)

BOOST_AUTO_TEST_CASE(Slot_RunEndsLater_IsExpectedAtItsEnd)
{
  BOOST_TEST((SlotAt() == now_ + 200ms));
  BOOST_TEST(!HasRoom(rack_, step_, use_));
}

// Guards against an expected slot in the past while a run takes longer than
// expected.
BOOST_AUTO_TEST_CASE(Slot_RunIsOverdue_IsExpectedNow)
{
  rack_.workers_[0].changes_[0].at_ = now_ - 1s;
  BOOST_TEST((SlotAt() == now_));
}

BOOST_AUTO_TEST_CASE(Slot_TaskIsLargerThanAllThatBecomesFree_IsNotExpected)
{
  step_.cpu_ = 1'001;
  BOOST_TEST((SlotAt() == std::nullopt));
}

// Guards against many tasks that all wait for the same slot.
BOOST_AUTO_TEST_CASE(Slot_IsReservedForAnotherTask_IsExpectedAtTheEndOfThatTask)
{
  ReserveSlot(rack_, *FindSlot(rack_, step_, use_, now_), step_, 500ms);
  BOOST_TEST((SlotAt() == now_ + 700ms));
  ReserveSlot(rack_, *FindSlot(rack_, step_, use_, now_), step_, 500ms);
  BOOST_TEST((SlotAt() == now_ + 1'200ms));
  BOOST_TEST(rack_.reservations_ == 2);
}

// Guards against a wait for a worker that placement may not use.
BOOST_AUTO_TEST_CASE(Slot_PlacementRulesForbidTheWorker_IsNotExpected)
{
  step_.requiredLabel_ = "other";
  BOOST_TEST((SlotAt() == std::nullopt));
  step_.requiredLabel_ = "kind";
  BOOST_TEST(SlotAt().has_value());
  step_.maxPerWorker_ = 1;
  use_.taskCounts_[0] = 1;
  BOOST_TEST((SlotAt() == std::nullopt));
  step_.maxPerWorker_ = 0;
  use_.excluded_ = { true, false };
  BOOST_TEST((SlotAt() == std::nullopt));
}

BOOST_AUTO_TEST_CASE(Gang_RackHasSlotsForAllTasks_IsExpectedWithTheLastSlot)
{
  rack_.workers_.push_back(Worker(1, 350ms));
  BOOST_TEST((ReserveGang(rack_, step_, use_, now_, 100ms) == now_ + 350ms));
}

// Guards against members that are expected to use the same slot one after the
// other.
BOOST_AUTO_TEST_CASE(Gang_RackHasFewerSlotsThanTasks_IsNotExpected)
{
  BOOST_TEST((ReserveGang(rack_, step_, use_, now_, 100ms) == std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()

enum class Rule : std::uint8_t
{
  kDecision,
  kNever,
  kAlways,
};

struct PlayResult
{
  double meanMs_ = 0;
  double p95Ms_ = 0;
  std::chrono::milliseconds longestWait_{ 0 }; ///< Of a task with room away from its data.
};

/** Plays tasks on eight racks of three workers with four cores, in time steps
 * of 5 ms. 60% of the tasks want the first rack, the others one of the rest. A
 * task takes its estimate of 600 ms, give or take a third, and the far factor
 * times as long away from its rack. */
struct HotRackPlay
{
  static constexpr int kRacks = 8;
  static constexpr int kWorkersPerRack = 3;
  static constexpr int kCores = 4;
  static constexpr workers::Capacity kCapacity{ kCores * 1'000, 64'000, 0 };
  static constexpr auto kEstimate = 600ms;
  static constexpr auto kTick = 5ms;
  static constexpr auto kLoadTime = 20s;

  struct Task
  {
    int rack_ = 0;
    clock::Moment arrivedAt_{};
    double length_ = 1; ///< Of its run, as a multiple of the estimate.
    std::optional<clock::Moment> since_;
  };

  struct Run
  {
    std::size_t worker_ = 0;
    clock::Moment expectedEnd_{};
    clock::Moment end_{};
  };

  HotRackPlay(Rule aRule, double aFarFactor, double aLoad)
    : rule_(aRule)
    , farFactor_(aFarFactor)
    , arrivalsPerTick_(aLoad * kRacks * kWorkersPerRack * kCores * kTick / kEstimate)
  {
    for (int rack = 0; rack < kRacks; ++rack) {
      labels_.push_back({ "kind", "r" + std::to_string(rack) });
    }
    for (int i = 0; i < kRacks * kWorkersPerRack; ++i) {
      Candidate candidate;
      candidate.labels_ = &labels_[static_cast<std::size_t>(i / kWorkersPerRack)];
      candidate.rack_ = candidate.labels_->back();
      candidate.free_ = kCapacity;
      candidates_.push_back(candidate);
    }
    use_.taskCounts_.assign(candidates_.size(), 0);
  }

  static jobs::StepSpec Spec(int aRack)
  {
    jobs::StepSpec spec;
    spec.cpu_ = 1'000;
    spec.estimateMs_ = kEstimate.count();
    spec.dataRack_ = "r" + std::to_string(aRack);
    return spec;
  }

  PlayResult Play()
  {
    const clock::Moment start = clock::Moment{} + 1h;
    std::mt19937 random(20'261'206);
    std::poisson_distribution<int> arrivals(arrivalsPerTick_);
    for (now_ = start; now_ < start + kLoadTime || !waiting_.empty(); now_ += kTick) {
      EndRuns();
      for (int left = now_ < start + kLoadTime ? arrivals(random) : 0; left > 0; --left) {
        waiting_.push_back(MakeTask(random));
      }
      PlaceAll();
    }
    std::sort(times_.begin(), times_.end());
    double sum = 0;
    for (const double time : times_) {
      sum += time;
    }
    result_.meanMs_ = sum / static_cast<double>(times_.size());
    result_.p95Ms_ = times_[times_.size() * 95 / 100];
    return result_;
  }

private:
  Task MakeTask(std::mt19937& aRandom) const
  {
    std::uniform_real_distribution<double> unit(0, 1);
    Task task;
    task.rack_ = unit(aRandom) < 0.6 ? 0 : 1 + static_cast<int>(unit(aRandom) * (kRacks - 1));
    task.arrivedAt_ = now_;
    task.length_ = 0.67 + 0.66 * unit(aRandom);
    return task;
  }

  bool HasNearRoom(int aRack) const
  {
    const auto first = candidates_.begin() + aRack * kWorkersPerRack;
    return std::any_of(first, first + kWorkersPerRack, [](const Candidate& aCandidate) {
      return aCandidate.free_.cpu_ >= 1'000;
    });
  }

  void EndRuns()
  {
    std::erase_if(runs_, [this](const Run& aRun) {
      const bool hasEnded = aRun.end_ <= now_;
      candidates_[aRun.worker_].free_.cpu_ += hasEnded ? 1'000 : 0;
      return hasEnded;
    });
  }

  void PlaceAll()
  {
    forecasts_.clear();
    std::erase_if(waiting_, [this](Task& aTask) { return PlaceTask(aTask); });
  }

  bool PlaceTask(Task& aTask)
  {
    const jobs::StepSpec spec = Spec(aTask.rack_);
    if (rule_ == Rule::kAlways && !HasNearRoom(aTask.rack_)) {
      return false;
    }
    const auto chosen = ChooseWorker(spec, candidates_, use_);
    if (!chosen) {
      return false;
    }
    const bool isNear = IsNearData(spec, *candidates_[*chosen].labels_);
    if (!isNear && Waits(aTask, spec)) {
      result_.longestWait_ =
        std::max(result_.longestWait_,
                 std::chrono::duration_cast<clock::Milliseconds>(now_ - *aTask.since_));
      return false;
    }
    const double expected = kEstimate.count() * (isNear ? 1 : farFactor_);
    const auto length = std::chrono::duration_cast<clock::Milliseconds>(
      std::chrono::duration<double, std::milli>(expected * aTask.length_));
    AddDemand(demand_[aTask.rack_], spec, kEstimate, now_);
    Reserve(candidates_[*chosen], spec);
    runs_.push_back(
      { *chosen, now_ + clock::Milliseconds(static_cast<int>(expected)), now_ + length });
    times_.push_back(
      std::chrono::duration<double, std::milli>(now_ + length - aTask.arrivedAt_).count());
    return true;
  }

  bool Waits(Task& aTask, const jobs::StepSpec& aSpec)
  {
    if (rule_ != Rule::kDecision) {
      return false;
    }
    RackForecast& forecast = ForecastOf(aTask.rack_);
    const auto slot = FindSlot(forecast, aSpec, use_, now_);
    NearWait wait;
    wait.farFactor_ = farFactor_;
    wait.expected_ = kEstimate;
    wait.since_ = aTask.since_;
    wait.slots_ = SlotsOf(forecast, aSpec);
    wait.demand_ =
      WantedMillicores(demand_[aTask.rack_], now_) / static_cast<double>(forecast.capacity_.cpu_);
    wait.slotAt_ = slot ? std::optional(slot->at_) : std::nullopt;
    if (!NearWaitEnd(wait, now_)) {
      return false;
    }
    ReserveSlot(forecast, *slot, aSpec, kEstimate);
    aTask.since_ = aTask.since_.value_or(now_);
    return true;
  }

  RackForecast& ForecastOf(int aRack)
  {
    const auto [entry, added] = forecasts_.try_emplace(aRack);
    RackForecast& forecast = entry->second;
    const std::size_t first = static_cast<std::size_t>(aRack) * kWorkersPerRack;
    for (std::size_t i = first; added && i < first + kWorkersPerRack; ++i) {
      WorkerForecast worker;
      worker.candidate_ = i;
      worker.labels_ = candidates_[i].labels_;
      for (const Run& run : runs_) {
        if (run.worker_ == i) {
          AddChange(worker, { run.expectedEnd_, { 1'000, 0, 0 } });
        }
      }
      AddWorker(forecast, worker, kCapacity);
    }
    for (WorkerForecast& worker : forecast.workers_) {
      worker.free_ = candidates_[worker.candidate_].free_;
    }
    return forecast;
  }

  Rule rule_;
  double farFactor_;
  double arrivalsPerTick_;
  clock::Moment now_{};
  std::vector<std::vector<std::string>> labels_;
  std::vector<Candidate> candidates_;
  StepUse use_;
  std::deque<Task> waiting_;
  std::vector<Run> runs_;
  std::map<int, RackForecast> forecasts_;
  std::map<int, RackDemand> demand_;
  std::vector<double> times_;
  PlayResult result_;
};

struct HotRackFixture
{
  /** Above the better of both other rules by at most this at full demand for
   * the hot rack, and in proportion below: the less often the rack is full, the
   * fewer tasks depend on expectations. */
  static constexpr double kTolerance = 0.025;
  /** The 95th percentile varies more, as it depends on fewer tasks. */
  static constexpr double kTailTolerance = 0.05;

  static void Compare(double aFarFactor, double aLoad)
  {
    const PlayResult decision = HotRackPlay(Rule::kDecision, aFarFactor, aLoad).Play();
    const PlayResult never = HotRackPlay(Rule::kNever, aFarFactor, aLoad).Play();
    const PlayResult always = HotRackPlay(Rule::kAlways, aFarFactor, aLoad).Play();
    BOOST_TEST_MESSAGE("far factor " << aFarFactor << ", load " << aLoad << ", mean/p95 ms: "
                                     << "decision " << decision.meanMs_ << '/' << decision.p95Ms_
                                     << ", never " << never.meanMs_ << '/' << never.p95Ms_
                                     << ", always " << always.meanMs_ << '/' << always.p95Ms_
                                     << ", longest wait " << decision.longestWait_.count());
    const double demand = std::min(0.6 * aLoad * HotRackPlay::kRacks, 1.0);
    BOOST_TEST(decision.meanMs_ <=
               std::min(never.meanMs_, always.meanMs_) * (1 + kTolerance * demand));
    BOOST_TEST(decision.p95Ms_ <= std::min(never.p95Ms_, always.p95Ms_) * (1 + kTailTolerance));
    BOOST_TEST(decision.longestWait_.count() < 1'000);
  }
};

// Both guard against a rule that is worse than no rule: one that lets near
// slots stand idle, or one whose waiting tasks only delay each other on a rack
// with more demand than slots.
BOOST_FIXTURE_TEST_SUITE(HotRack, HotRackFixture)

BOOST_AUTO_TEST_CASE(LightLoad_AnyFarFactor_DecisionIsAsGoodAsTheBetterOfNeverAndAlways)
{
  for (const double farFactor : { 1.5, 2.0, 3.0 }) {
    Compare(farFactor, 0.05);
    Compare(farFactor, 0.15);
  }
}

BOOST_AUTO_TEST_CASE(HeavyLoad_AnyFarFactor_DecisionIsAsGoodAsTheBetterOfNeverAndAlways)
{
  for (const double farFactor : { 1.5, 2.0, 3.0 }) {
    Compare(farFactor, 0.25);
    Compare(farFactor, 0.35);
    Compare(farFactor, 0.5);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
