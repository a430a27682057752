#include "include/quetzal/cells/Worker.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/workers/Evidence.h"

#include <sstream>

/** Logs and counters of what happens to a worker and its runs. */

namespace quetzal::cells {

void
Worker::LogChange(const char* aEvent, const std::string& aDetails) const
{
  const workers::RunsThere there = workers::RunsThereOf(state_);
  std::ostringstream text;
  text << "event=" << aEvent << " worker=" << registration_.id_
       << workers::KnownIncarnationOf(state_, clock::Now()) << there << aDetails;
  log::Write(workers::LevelFor(there), "worker", text.str());
}

void
Worker::NoteRestartSign(const char* aBy, std::int64_t aReading)
{
  // The list of workers may show the same registration for long.
  if (MayHaveRestarted() || aReading == notedRestartSign_) {
    return;
  }
  notedRestartSign_ = aReading;
  LogChange("worker-restart-noticed",
            std::string(" by=") + aBy + " reading_ms=" + std::to_string(aReading));
  CountRestartSign(aBy);
}

void
Worker::CountRestartSign(const char* aBy)
{
  Count("quetzal_worker_restarts_noticed_total", 1, { { "by", aBy } });
}

void
Worker::Count(const char* aName, std::size_t aAmount, metrics::Labels aLabels)
{
  if (metrics_ != nullptr && aAmount > 0) {
    aLabels.insert(aLabels.begin(), { "service", registration_.service_ });
    metrics_->Add(aName, aLabels, static_cast<double>(aAmount));
  }
}

} // namespace quetzal::cells
