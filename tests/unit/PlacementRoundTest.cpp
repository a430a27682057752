#include "tests/unit/CellFixture.h"

#include <QtCore/QTimer>

namespace {

using namespace quetzal;
using namespace quetzal::cells;
using namespace quetzal::test;
using namespace std::chrono_literals;

/** A cell with fewer tasks than room, and an event that is due whenever the event loop is reached.
 */
struct PlacementRoundFixture : CellFixture
{
  static constexpr int kWorkers = 20;
  static constexpr int kTasks = 600; ///< Fewer than the workers have room for.
  static constexpr int kMostBetweenEvents = 150;

  PlacementRoundFixture()
  {
    for (int i = 0; i < kWorkers; ++i) {
      AddWorker("w" + std::to_string(i));
    }
    QObject::connect(&otherEvents_, &QTimer::timeout, &otherEvents_, [this] { OnOtherEvent(); });
    otherEvents_.start(0ms);
  }

  int Starts() const
  {
    return static_cast<int>(metrics_.ValueOf("quetzal_starts_total", { { "service", "svc" } }));
  }

  void OnOtherEvent()
  {
    mostBetweenEvents_ = std::max(mostBetweenEvents_, Starts() - startsBefore_);
    startsBefore_ = Starts();
  }

  QTimer otherEvents_;
  int startsBefore_ = 0;
  int mostBetweenEvents_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(PlacementRound, PlacementRoundFixture)

BOOST_AUTO_TEST_CASE(Round_OneJobHasManyTasks_OtherEventsAreServedBetweenStarts)
{
  const auto cell = TakeOver("a");
  BOOST_CHECK(Submit(*cell, "job1", Spec(kTasks)) == AnswerStatus::kAccepted);
  BOOST_TEST(RunUntil([&] { return Starts() == kTasks; }));
  BOOST_TEST(mostBetweenEvents_ <= kMostBetweenEvents);
}

BOOST_AUTO_TEST_CASE(Round_ManyJobsWait_OtherEventsAreServedBetweenStarts)
{
  const auto cell = TakeOver("a");
  for (int i = 0; i < kTasks / 4; ++i) {
    cell->Submit({ "q", "job" + std::to_string(i), Spec(4), {} }, [](const Answer&) {});
  }
  BOOST_TEST(RunUntil([&] { return Starts() == kTasks; }));
  BOOST_TEST(mostBetweenEvents_ <= kMostBetweenEvents);
}

BOOST_AUTO_TEST_CASE(Round_SomeWorkersAnswerNoStart_AllTasksAreStarted)
{
  for (const std::string id : { "w3", "w4", "w5", "w6", "w7", "w8" }) {
    fleet_.At(id).startFates_.assign(kTasks, OrderFate::kDoneUnanswered);
  }
  const auto cell = TakeOver("a");
  BOOST_CHECK(Submit(*cell, "job1", Spec(kTasks)) == AnswerStatus::kAccepted);
  BOOST_TEST(RunUntil([&] { return Starts() == kTasks; }));
  BOOST_TEST(mostBetweenEvents_ <= kMostBetweenEvents);
}

BOOST_AUTO_TEST_CASE(Round_StartsAreUnanswered_FewAreOrderedUntilTheFirstAnswers)
{
  for (int i = 0; i < kWorkers; ++i) {
    fleet_.At("w" + std::to_string(i)).startFates_.assign(kTasks, OrderFate::kDoneUnanswered);
  }
  int answered = 0;
  int mostUnanswered = 0;
  const auto cell = TakeOver("a");
  for (Worker* worker : cell->findChildren<Worker*>()) {
    QObject::connect(worker, &Worker::StartAnswered, worker, [&] {
      mostUnanswered = std::max(mostUnanswered, Starts() - answered);
      ++answered;
    });
  }
  BOOST_CHECK(Submit(*cell, "job1", Spec(kTasks)) == AnswerStatus::kAccepted);
  BOOST_TEST(RunUntil([&] { return Starts() == kTasks; }));
  BOOST_TEST(mostUnanswered <= kMaxUnansweredStarts);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
