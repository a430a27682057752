#include "include/quetzal/jobs/Job.h"

#include <algorithm>
#include <array>

namespace quetzal::jobs {
namespace {

constexpr int kMaxTasks = 4'096;
constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr std::int64_t kMaxDurationMs = 7LL * 24 * 3'600 * 1'000;
constexpr std::size_t kMaxPayloadBytes = 16 * 1024;
constexpr int kMaxRepetitions = 100'000;
constexpr std::int64_t kMaxIntervalMs = 366LL * 24 * 3'600 * 1'000;
/** Duration that is assumed for tasks without an estimate. */
constexpr std::int64_t kDefaultEstimateMs = 600;
constexpr double kMillicoreMsPerCoreSecond = 1e6;

bool
IsAmount(std::int64_t aValue, std::int64_t aMax = kMaxAmount)
{
  return aValue >= 0 && aValue <= aMax;
}

std::int64_t
EstimateOf(const StepSpec& aStep)
{
  return aStep.estimateMs_ > 0 ? aStep.estimateMs_ : kDefaultEstimateMs;
}

bool
HasValidAmounts(const StepSpec& aStep)
{
  return IsAmount(aStep.cpu_) && IsAmount(aStep.memory_) && IsAmount(aStep.accelerators_) &&
         IsAmount(aStep.estimateMs_, kMaxDurationMs) &&
         IsAmount(aStep.latencyTargetMs_, kMaxDurationMs) && aStep.maxPerWorker_ >= 0 &&
         aStep.maxUnavailable_ >= 0;
}

bool
DependsOnEarlierStepsOnly(const StepSpec& aStep, int aIndex)
{
  return std::all_of(aStep.after_.begin(), aStep.after_.end(), [aIndex](int aEarlier) {
    return aEarlier >= 0 && aEarlier < aIndex;
  });
}

} // namespace

const char*
ToString(JobState aState)
{
  static constexpr std::array kNames{ "queued", "running", "completed", "failed", "cancelled" };
  return kNames.at(static_cast<std::size_t>(aState));
}

const char*
ToString(EndKind aKind)
{
  static constexpr std::array kNames{ "done", "failed", "stopped", "lapsed", "broken", "alone" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

std::string
ToString(const TaskId& aTask)
{
  return aTask.job_ + "." + std::to_string(aTask.occurrence_) + "." + std::to_string(aTask.step_) +
         "." + std::to_string(aTask.index_);
}

std::string
StepName(const std::string& aJob, int aOccurrence, int aStep)
{
  return aJob + "." + std::to_string(aOccurrence) + "." + std::to_string(aStep);
}

bool
IsValid(const JobSpec& aSpec, std::string& aWhy)
{
  if (aSpec.steps_.empty() || aSpec.steps_.size() > kMaxSteps) {
    aWhy = "the number of steps is out of range";
    return false;
  }
  if (aSpec.payload_.size() > kMaxPayloadBytes) {
    aWhy = "the payload is too long";
    return false;
  }
  if (aSpec.repetitions_ < 0 || aSpec.repetitions_ > kMaxRepetitions ||
      (aSpec.repetitions_ > 1 && aSpec.intervalMs_ <= 0) || !IsAmount(aSpec.firstMs_, kMaxUnixMs) ||
      !IsAmount(aSpec.intervalMs_, kMaxIntervalMs)) {
    aWhy = "the repetitions are out of range";
    return false;
  }
  int tasks = 0;
  for (int i = 0; i < static_cast<int>(aSpec.steps_.size()); ++i) {
    const StepSpec& step = aSpec.steps_[static_cast<std::size_t>(i)];
    if (step.count_ < 1 || step.count_ > kMaxTasks || !HasValidAmounts(step)) {
      aWhy = "an amount of step " + std::to_string(i) + " is out of range";
      return false;
    }
    if (!DependsOnEarlierStepsOnly(step, i)) {
      aWhy = "step " + std::to_string(i) + " depends on a step that is not earlier";
      return false;
    }
    tasks += step.count_;
  }
  if (tasks > kMaxTasks) {
    aWhy = "there are too many tasks";
    return false;
  }
  return true;
}

bool
IsLongRunning(const JobSpec& aSpec)
{
  return std::any_of(aSpec.steps_.begin(), aSpec.steps_.end(), [](const StepSpec& aStep) {
    return aStep.longRunning_;
  });
}

double
EstimatedCoreSeconds(const JobSpec& aSpec)
{
  double work = 0;
  for (const StepSpec& step : aSpec.steps_) {
    const auto cpu = static_cast<double>(step.cpu_) * step.count_;
    work += cpu * static_cast<double>(EstimateOf(step)) / kMillicoreMsPerCoreSecond;
  }
  return work;
}

std::chrono::milliseconds
EstimatedCriticalPath(const JobSpec& aSpec)
{
  std::vector<std::int64_t> ends;
  for (const StepSpec& step : aSpec.steps_) {
    std::int64_t begin = 0;
    for (const int earlier : step.after_) {
      begin = std::max(begin, ends.at(static_cast<std::size_t>(earlier)));
    }
    ends.push_back(begin + EstimateOf(step));
  }
  return std::chrono::milliseconds(ends.empty() ? 0 : *std::max_element(ends.begin(), ends.end()));
}

} // namespace quetzal::jobs
