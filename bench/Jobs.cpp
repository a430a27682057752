/** bench-jobs: measures the processor time, memory and store calls of quetzal-jobd under a constant
 * rate of jobs without faults, by numbers of jobs, workers and entry hosts, on the stand-in for the
 * users' platform. */

#include "include/quetzal/process/Application.h"
#include "tests/harness/JobsDeployment.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <algorithm>
#include <iomanip>
#include <iostream>

namespace {

using namespace harness;

constexpr int kTaskMs = 300;
constexpr int kTasksOfJob = 8;
constexpr qint64 kMeasuredMs = 8'000;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

struct Case
{
  int entryHosts_ = 0;
  int workers_ = 0;
  int jobsPerSecond_ = 0;
};

/** Submits jobs at a constant rate. Returns how many were accepted. */
int
Load(JobsDeployment& aJobs, const Case& aCase, int& aNext)
{
  QElapsedTimer timer;
  timer.start();
  int accepted = 0;
  int sent = 0;
  while (timer.elapsed() < kMeasuredMs) {
    if (sent * 1'000 > timer.elapsed() * aCase.jobsPerSecond_) {
      Pause(std::chrono::milliseconds(2));
      continue;
    }
    ++sent;
    const std::string id = JobsDeployment::IdOf(aNext++);
    accepted += aJobs.Submit(sent % aCase.entryHosts_, id, kTasksOfJob) == 200 ? 1 : 0;
  }
  return accepted;
}

void
Measure(const Case& aCase)
{
  JobsDeployment jobs(aCase.entryHosts_, aCase.workers_, kTaskMs);
  for (int i = 0; i < aCase.entryHosts_; ++i) {
    jobs.WaitUntilServing(i);
  }
  int next = 1'000;
  std::vector<std::chrono::milliseconds> before;
  before.reserve(static_cast<std::size_t>(aCase.entryHosts_));
  for (int i = 0; i < aCase.entryHosts_; ++i) {
    before.push_back(jobs.Entry(i).ProcessorTime());
  }
  const std::int64_t callsBefore = jobs.CountOf("store-calls");
  const std::int64_t looksBefore = jobs.CountOf("looks");
  const int accepted = aCase.jobsPerSecond_ > 0 ? Load(jobs, aCase, next) : 0;
  if (aCase.jobsPerSecond_ == 0) {
    Pause(std::chrono::milliseconds(kMeasuredMs));
  }
  const double seconds = static_cast<double>(kMeasuredMs) / 1'000;
  double total = 0;
  double busiest = 0;
  std::int64_t memory = 0;
  for (int i = 0; i < aCase.entryHosts_; ++i) {
    const auto used = jobs.Entry(i).ProcessorTime() - before[static_cast<std::size_t>(i)];
    const double cores = static_cast<double>(used.count()) / static_cast<double>(kMeasuredMs);
    total += cores;
    busiest = std::max(busiest, cores);
    memory = std::max(memory, jobs.Entry(i).ResidentBytes());
  }
  std::cout << std::fixed << std::setprecision(3) << std::setw(5) << aCase.entryHosts_
            << std::setw(8) << aCase.workers_ << std::setw(7) << aCase.jobsPerSecond_
            << std::setw(9) << accepted << std::setw(9) << total / aCase.entryHosts_ << std::setw(9)
            << busiest << std::setprecision(1) << std::setw(8)
            << static_cast<double>(memory) / kBytesPerMegabyte << std::setw(10)
            << static_cast<double>(jobs.CountOf("store-calls") - callsBefore) / seconds
            << std::setw(10) << static_cast<double>(jobs.CountOf("looks") - looksBefore) / seconds
            << std::endl;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  quetzal::process::Application application(aCount, aArguments);
  std::cout << "hosts workers jobs/s accepted  mean_cpu  max_cpu  max_MB  calls/s  looks/s\n";
  for (const Case& one : { Case{ 4, 20, 0 },
                           Case{ 4, 20, 10 },
                           Case{ 4, 20, 20 },
                           Case{ 4, 20, 40 },
                           Case{ 4, 80, 0 },
                           Case{ 4, 80, 20 },
                           Case{ 4, 320, 0 },
                           Case{ 4, 320, 20 },
                           Case{ 8, 80, 20 },
                           Case{ 16, 80, 20 } }) {
    Measure(one);
  }
  return 0;
}
