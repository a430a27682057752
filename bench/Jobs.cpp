/** bench-jobs: measures the processor time, memory and store calls of quetzal-jobd under a constant
 * rate of jobs without faults, by numbers of jobs, workers and entry hosts, on the stand-in for the
 * users' platform. */

#include "include/quetzal/http/Status.h"
#include "include/quetzal/process/Application.h"
#include "tests/harness/JobsDeployment.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace harness;

constexpr int kTaskMs = 300;
constexpr int kTasksOfJob = 8;
constexpr int kFirstJob = 1'000;
constexpr qint64 kMeasuredMs = 8'000;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

struct Case
{
  int entryHosts_ = 0;
  int workers_ = 0;
  int jobsPerSecond_ = 0;
};

/** Submits jobs of one queue at a constant rate, so that one cell owns all of them, and waits for
 * all answers. Returns how many were accepted. */
int
Load(JobsDeployment& aJobs, const Case& aCase)
{
  QElapsedTimer timer;
  timer.start();
  std::vector<std::unique_ptr<Call>> calls;
  while (timer.elapsed() < kMeasuredMs) {
    const auto sent = static_cast<qint64>(calls.size());
    if (sent * 1'000 > timer.elapsed() * aCase.jobsPerSecond_) {
      Pause(std::chrono::milliseconds(2));
      continue;
    }
    const int entry = static_cast<int>(sent) % aCase.entryHosts_;
    const int number = kFirstJob + 2 * static_cast<int>(sent);
    calls.push_back(aJobs.BeginSubmit(entry, JobsDeployment::IdOf(number), kTasksOfJob));
  }
  return static_cast<int>(std::count_if(calls.begin(), calls.end(), [](const auto& aCall) {
    const auto& answer = aCall->Wait();
    return answer && answer->status_ == quetzal::http::status::kOk;
  }));
}

void
Measure(const Case& aCase)
{
  JobsDeployment jobs(aCase.entryHosts_, aCase.workers_, kTaskMs);
  for (int i = 0; i < aCase.entryHosts_; ++i) {
    jobs.WaitUntilServing(i);
  }
  std::vector<std::chrono::milliseconds> before;
  before.reserve(static_cast<std::size_t>(aCase.entryHosts_));
  for (int i = 0; i < aCase.entryHosts_; ++i) {
    before.push_back(jobs.Entry(i).ProcessorTime());
  }
  const std::int64_t callsBefore = jobs.CountOf("store-calls");
  const std::int64_t looksBefore = jobs.CountOf("looks");
  const int accepted = aCase.jobsPerSecond_ > 0 ? Load(jobs, aCase) : 0;
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
  TCLAP::CmdLine line("Measures what jobs cost each process.", ' ', "0.1.0");
  TCLAP::ValueArg<int> only("w", "workers", "Only cases with this many", false, 0, "count", line);
  line.parse(aCount, aArguments);
  std::cout
    << "hosts workers jobs/s accepted  mean_cpu  max_cpu  max_MB  calls/s  looks/s  ms/start\n";
  const std::vector<Case> cases{ { 4, 20, 0 },   { 4, 20, 40 },   { 4, 80, 0 },  { 4, 80, 40 },
                                 { 4, 80, 120 }, { 4, 266, 120 }, { 4, 600, 0 }, { 4, 600, 120 },
                                 { 8, 80, 40 },  { 16, 80, 40 } };
  for (const Case& one : cases) {
    if (only.getValue() == 0 || only.getValue() == one.workers_) {
      Measure(one);
    }
  }
  return 0;
}
