#include "review/standin-2/MemoryGuard.h"

#include <algorithm>

namespace review {
namespace {

constexpr Milliseconds kCheckInterval{ 10 };
constexpr Milliseconds kRestartDelay{ 1'000 };
constexpr int kManyEnds = 3;

} // namespace

MemoryGuard::MemoryGuard(Deployment& aDeployment)
  : deployment_(aDeployment)
{
  QObject::connect(&timer_, &QTimer::timeout, [this] { Check(); });
  timer_.start(kCheckInterval);
}

int
MemoryGuard::MachinesWithThreeEnds() const
{
  return static_cast<int>(std::count_if(
    ends_.begin(), ends_.end(), [](const auto& aEntry) { return aEntry.second >= kManyEnds; }));
}

void
MemoryGuard::Check()
{
  for (const auto& host : deployment_.Hosts()) {
    if (const auto ended = endedAt_.find(host.get()); ended != endedAt_.end()) {
      if (Clock::now() - ended->second >= kRestartDelay) {
        endedAt_.erase(ended);
        host->Start();
      }
      continue;
    }
    const double memory = host->MemoryMb();
    const bool isOver = memory > kMemoryLimitMb;
    if (!isOver && host->IsRunning()) {
      continue;
    }
    if (isOver) {
      deployment_.GetRecord().Write(
        host->Name(), " holds ", memory, " MB of ", kMemoryLimitMb, ": the platform kills it");
      host->Kill();
    }
    ++ends_[host.get()];
    endedAt_[host.get()] = Clock::now();
  }
}

} // namespace review
