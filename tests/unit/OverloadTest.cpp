#include "include/quetzal/jobs/JobRegistry.h"
#include "include/quetzal/placement/JobOrder.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

namespace {

using namespace quetzal;
using namespace quetzal::jobs;
using namespace std::chrono_literals;

/** Plays more jobs than the workers have room for, in time steps of 20 ms. Jobs have two steps of
 * eight tasks; a task takes its estimate of a second, give or take a third. Callers want a job
 * within 2.9 s. The workers hold 600 tasks at once, and twice as many are asked for. */
struct OverloadFixture
{
  using Order = std::function<bool(const Job&, const Job&, double, clock::Moment)>;

  struct Outcome
  {
    int submitted_ = 0;
    int inTime_ = 0;
    double pathFactor_ = 1;
  };

  struct Run
  {
    TaskId task_;
    clock::Moment endsAt_;
  };

  OverloadFixture()
  {
    terms_.stretch_ = 1;
    terms_.objectiveMs_ = 900;
  }

  static JobSpec Spec()
  {
    StepSpec step;
    step.count_ = 8;
    step.estimateMs_ = 1'000;
    JobSpec spec;
    spec.steps_ = { step, step };
    spec.steps_[1].after_ = { 0 };
    return spec;
  }

  Outcome Play(const Order& aOrder)
  {
    constexpr int kRoom = 600;
    constexpr auto kTick = 20ms;
    constexpr auto kLoadTime = 8s;
    const clock::Moment start = clock::Moment{} + 1h;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> spread(0.67, 1.33);
    JobRegistry registry;
    std::vector<Run> runs;
    Outcome outcome;
    for (clock::Moment now = start; now < start + 20s; now += kTick) {
      if (now < start + kLoadTime && (now - start) / kTick % 2 == 0) {
        for (int i = 0; i < 3; ++i) {
          Submit(registry, outcome, now);
        }
      }
      EndRuns(registry, runs, outcome, now);
      std::vector<Job*> waiting;
      for (const auto& [id, job] : registry.Waiting()) {
        waiting.push_back(job);
      }
      std::sort(waiting.begin(), waiting.end(), [&](const Job* aLeft, const Job* aRight) {
        return aOrder(*aLeft, *aRight, outcome.pathFactor_, now);
      });
      for (Job* job : waiting) {
        PlaceAll(*job, runs, kRoom, now, [&] {
          return std::chrono::milliseconds(static_cast<int>(1'000 * spread(random)));
        });
        registry.Update(*job);
      }
    }
    return outcome;
  }

  void Submit(JobRegistry& aRegistry, Outcome& aOutcome, clock::Moment aNow) const
  {
    Job job = MakeJob("job" + std::to_string(aOutcome.submitted_++), "q", Spec());
    job.arrivedAt_ = aNow;
    job.stored_ = true;
    OpenDueOccurrences(job, 0);
    aRegistry.Add(std::move(job));
  }

  static void PlaceAll(Job& aJob,
                       std::vector<Run>& aRuns,
                       std::size_t aRoom,
                       clock::Moment aNow,
                       const std::function<std::chrono::milliseconds()>& aDuration)
  {
    for (int step = 0; step < 2; ++step) {
      const Occurrence& occurrence = aJob.liveOccurrences_.at(0);
      for (int i = 0; IsUnblocked(aJob, occurrence, step) && i < 8; ++i) {
        const TaskId task{ aJob.id_, 0, step, i };
        if (aRuns.size() < aRoom && FindTask(aJob, task)->phase_ == TaskPhase::kWaiting) {
          Place(aJob, task, "w", 1, aNow);
          aRuns.push_back({ task, aNow + aDuration() });
        }
      }
    }
  }

  void EndRuns(JobRegistry& aRegistry,
               std::vector<Run>& aRuns,
               Outcome& aOutcome,
               clock::Moment aNow) const
  {
    std::vector<Run> ended;
    std::erase_if(aRuns, [&](const Run& aRun) {
      const bool hasEnded = aRun.endsAt_ <= aNow;
      if (hasEnded) {
        ended.push_back(aRun);
      }
      return hasEnded;
    });
    for (const Run& run : ended) {
      Job& job = *aRegistry.Find(run.task_.job_);
      const EndEffect effect = ApplyEnd(job, run.task_, 1, EndKind::kDone, {}, 0);
      if (effect.jobCompleted_) {
        aOutcome.inTime_ += aNow <= ObjectiveOf(job, terms_) ? 1 : 0;
        aOutcome.pathFactor_ = placement::NextPathFactor(aOutcome.pathFactor_, job, aNow);
        aRegistry.End(job.id_, { JobState::kCompleted, 1 });
      } else {
        aRegistry.Update(job);
      }
    }
  }

  QueueTerms terms_;
};

BOOST_FIXTURE_TEST_SUITE(Overload, OverloadFixture)

BOOST_AUTO_TEST_CASE(TwiceAsManyJobsAsRoom_OrderLearnsHowLongJobsTake_ServesMoreInTime)
{
  const Outcome arrival = Play([](const Job& aLeft, const Job& aRight, double, clock::Moment) {
    return aLeft.arrivedAt_ < aRight.arrivedAt_;
  });
  const auto byRank = [this](double aFactor) {
    return
      [this, aFactor](const Job& aLeft, const Job& aRight, double aLearned, clock::Moment aNow) {
        const double factor = aFactor > 0 ? aFactor : aLearned;
        return placement::RankOf(aLeft, terms_, factor, aNow) <
               placement::RankOf(aRight, terms_, factor, aNow);
      };
  };
  const Outcome estimated = Play(byRank(1));
  const Outcome learned = Play(byRank(0));
  BOOST_TEST_MESSAGE("in time of " << learned.submitted_ << ": by arrival " << arrival.inTime_
                                   << ", by estimates " << estimated.inTime_ << ", learned "
                                   << learned.inTime_ << " at factor " << learned.pathFactor_);
  BOOST_TEST(learned.inTime_ >= estimated.inTime_ * 5 / 4);
  BOOST_TEST(learned.inTime_ >= arrival.inTime_ * 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
