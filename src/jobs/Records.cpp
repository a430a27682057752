#include "include/quetzal/jobs/Records.h"

namespace quetzal::jobs {

JobRecord
MakeJobRecord(const std::string& aCell,
              const std::string& aQueue,
              const JobSpec& aSpec,
              std::int64_t aAcceptedMs)
{
  JobRecord record;
  record.cell_ = aCell;
  record.queue_ = aQueue;
  record.state_ = static_cast<int>(JobState::kQueued);
  record.timestampMs_ = aAcceptedMs;
  record.payload_ = aSpec.payload_;
  for (const StepSpec& step : aSpec.steps_) {
    record.steps_.push_back({ step });
  }
  record.repetitions_ = aSpec.repetitions_;
  record.firstMs_ = aSpec.firstMs_;
  record.intervalMs_ = aSpec.intervalMs_;
  return record;
}

JobRecord
MakeEndRecord(const std::string& aCell,
              const std::string& aQueue,
              JobState aState,
              std::int64_t aEndedMs)
{
  JobRecord record;
  record.cell_ = aCell;
  record.queue_ = aQueue;
  record.state_ = static_cast<int>(aState);
  record.timestampMs_ = aEndedMs;
  return record;
}

JobSpec
SpecOf(const JobRecord& aRecord)
{
  JobSpec spec;
  spec.payload_ = aRecord.payload_;
  for (const StepRecord& step : aRecord.steps_) {
    spec.steps_.push_back(step.step_);
  }
  spec.repetitions_ = aRecord.repetitions_;
  spec.firstMs_ = aRecord.firstMs_;
  spec.intervalMs_ = aRecord.intervalMs_;
  return spec;
}

std::optional<JobState>
ReadJobState(int aState)
{
  if (aState < 0 || aState > static_cast<int>(JobState::kCancelled)) {
    return std::nullopt;
  }
  return static_cast<JobState>(aState);
}

bool
IsValid(const JobRecord& aRecord, std::string& aWhy)
{
  const auto state = ReadJobState(aRecord.state_);
  if (!state) {
    aWhy = "there is no state " + std::to_string(aRecord.state_);
    return false;
  }
  if (aRecord.timestampMs_ < 0 || aRecord.timestampMs_ > kMaxUnixMs) {
    aWhy = "the timestamp is out of range";
    return false;
  }
  return IsFinal(*state) || IsValid(SpecOf(aRecord), aWhy);
}

} // namespace quetzal::jobs
