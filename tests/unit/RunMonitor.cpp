#include "tests/unit/RunMonitor.h"

#include <utility>

namespace quetzal::test {

void
RunMonitor::Watch(FakeWorker& aWorker, std::function<void(const jobs::TaskId&)> aOnStart)
{
  aWorker.onStart_ = [this, &aWorker, onStart = std::move(aOnStart)](const jobs::TaskId& aTask) {
    OnStart(aWorker, aTask);
    if (onStart) {
      onStart(aTask);
    }
  };
  aWorker.onEnded_ = [this, &aWorker](const auto& aEnd) { OnEnded(aWorker, aEnd); };
  aWorker.onAcknowledged_ = [this, &aWorker](const auto& aEnd) { OnAcknowledged(aWorker, aEnd); };
}

void
RunMonitor::OnStart(const FakeWorker& aWorker, const jobs::TaskId& aTask)
{
  lastStarts_[aTask] = nextEvent_++;
  if (fleet_.RunsOf(aTask) > 1) {
    violations_.push_back("two runs at once of " + jobs::ToString(aTask) + ", run " +
                          std::to_string(aWorker.starts_.back().second) + " on " + aWorker.id_);
  }
  if (recorded_.contains(aTask)) {
    violations_.push_back("a run after the recorded end of " + jobs::ToString(aTask) + " on " +
                          aWorker.id_);
  }
}

void
RunMonitor::OnEnded(const FakeWorker& aWorker, const workers::EndedTask& aEnd)
{
  if (aEnd.kind_ == jobs::EndKind::kDone) {
    done_[{ aWorker.id_, aWorker.restarts_, aEnd.number_ }] = nextEvent_++;
  }
}

void
RunMonitor::OnAcknowledged(const FakeWorker& aWorker, const workers::EndedTask& aEnd)
{
  if (aEnd.kind_ != jobs::EndKind::kDone) {
    return;
  }
  recorded_.insert(aEnd.task_);
  const int done = done_.at({ aWorker.id_, aWorker.restarts_, aEnd.number_ });
  // Once the lease has lapsed, the owner may start the task again without a look at its end.
  if (aEnd.number_ > aWorker.lapsedEnds_ && lastStarts_[aEnd.task_] > done) {
    violations_.push_back("a run began after the end, recorded later, of " +
                          jobs::ToString(aEnd.task_) + " on " + aWorker.id_);
  }
}

} // namespace quetzal::test
