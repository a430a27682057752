#include "include/quetzal/jobs/Records.h"

#include <cmath>

namespace quetzal::jobs {
namespace {

TermsRecord
MakeTermsRecord(const QueueTerms& aTerms)
{
  const PlacementAdvicePolicy advice = aTerms.advice_.value_or(PlacementAdvicePolicy{});
  return { aTerms.priority_,    aTerms.maxAttempts_,        aTerms.stretch_,
           aTerms.objectiveMs_, aTerms.advice_.has_value(), advice.decisionMs_,
           advice.perWorkerMs_, advice.validityMs_ };
}

bool
AreUsable(const QueueTerms& aTerms)
{
  return aTerms.maxAttempts_ >= 0 && std::isfinite(aTerms.stretch_) && aTerms.objectiveMs_ >= 0 &&
         aTerms.objectiveMs_ <= kMaxUnixMs;
}

} // namespace

JobRecord
MakeJobRecord(const std::string& aCell, const Submission& aJob, std::int64_t aAcceptedMs)
{
  JobRecord record;
  record.cell_ = aCell;
  record.queue_ = aJob.queue_;
  record.state_ = static_cast<int>(JobState::kQueued);
  record.timestampMs_ = aAcceptedMs;
  record.organisation_ = aJob.organisation_;
  record.payload_ = aJob.spec_.payload_;
  for (const StepSpec& step : aJob.spec_.steps_) {
    record.steps_.push_back({ step });
  }
  record.repetitions_ = aJob.spec_.repetitions_;
  record.firstMs_ = aJob.spec_.firstMs_;
  record.intervalMs_ = aJob.spec_.intervalMs_;
  if (aJob.terms_) {
    record.terms_ = MakeTermsRecord(*aJob.terms_);
  }
  return record;
}

JobRecord
MakeEndRecord(const std::string& aCell,
              const std::string& aQueue,
              JobState aState,
              std::int64_t aEndedMs,
              const std::string& aOrganisation)
{
  JobRecord record;
  record.cell_ = aCell;
  record.queue_ = aQueue;
  record.state_ = static_cast<int>(aState);
  record.timestampMs_ = aEndedMs;
  record.organisation_ = aOrganisation;
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

std::optional<QueueTerms>
TermsOf(const JobRecord& aRecord)
{
  if (!aRecord.terms_) {
    return std::nullopt;
  }
  const TermsRecord& stored = *aRecord.terms_;
  QueueTerms terms;
  terms.priority_ = stored.priority_;
  terms.maxAttempts_ = stored.maxAttempts_;
  terms.stretch_ = stored.stretch_;
  terms.objectiveMs_ = stored.objectiveMs_;
  if (stored.hasAdvice_) {
    terms.advice_ =
      PlacementAdvicePolicy{ stored.decisionMs_, stored.perWorkerMs_, stored.validityMs_ };
  }
  return terms;
}

std::optional<TombstoneRecord>
ReadTombstone(const std::string& aBytes)
{
  TombstoneRecord record;
  // Fields that a shorter record lacks are left as they are.
  const bool isTombstone =
    Decode(aBytes, record) && record.noCell_.empty() && record.cancelledMs_ > 0;
  return isTombstone ? std::optional(record) : std::nullopt;
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
  const auto terms = TermsOf(aRecord);
  if (terms && !AreUsable(*terms)) {
    aWhy = "the terms of its queue are out of range";
    return false;
  }
  return IsFinal(*state) || IsValid(SpecOf(aRecord), aWhy);
}

} // namespace quetzal::jobs
