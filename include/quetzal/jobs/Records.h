#pragma once

#include "include/quetzal/jobs/Job.h"
#include "include/quetzal/wire/UnpackLimit.h"

#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

/** Records of jobs and of their owners in the platform's store, encoded as msgpack. */
namespace quetzal::jobs {

/** A step as stored; see StepSpec for the meaning of each field. */
struct StepRecord
{
  StepSpec step_;

  /** @param aStep a StepSpec, const or not. */
  template<typename Step>
  static auto FieldsOf(Step& aStep)
  {
    return msgpack::type::make_define_array(aStep.count_,
                                            aStep.cpu_,
                                            aStep.memory_,
                                            aStep.accelerators_,
                                            aStep.estimateMs_,
                                            aStep.after_,
                                            aStep.checkpointing_,
                                            aStep.gang_,
                                            aStep.sameRack_,
                                            aStep.requiredLabel_,
                                            aStep.dataRack_,
                                            aStep.maxPerWorker_,
                                            aStep.speculative_,
                                            aStep.longRunning_,
                                            aStep.image_,
                                            aStep.latencyTargetMs_,
                                            aStep.bestEffort_,
                                            aStep.maxUnavailable_);
  }

  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const // NOLINT: msgpack requires this name.
  {
    FieldsOf(step_).msgpack_pack(aPacker);
  }
  void msgpack_unpack(const msgpack::object& aObject) // NOLINT: msgpack requires this name.
  {
    FieldsOf(step_).msgpack_unpack(aObject);
  }
};

/** A queue's terms as stored; see QueueTerms for the meaning of each field. */
struct TermsRecord
{
  int priority_ = 0;
  int maxAttempts_ = 0;
  double stretch_ = 1;
  std::int64_t objectiveMs_ = 0;
  bool hasAdvice_ = false;
  std::int64_t decisionMs_ = 0;
  std::int64_t perWorkerMs_ = 0;
  std::int64_t validityMs_ = 0;

  MSGPACK_DEFINE_ARRAY(priority_,
                       maxAttempts_,
                       stretch_,
                       objectiveMs_,
                       hasAdvice_,
                       decisionMs_,
                       perWorkerMs_,
                       validityMs_)
};

/** An accepted job, or the final state of one that has ended. Stored under the job's id. */
struct JobRecord
{
  std::string cell_;  ///< The cell that runs it.
  std::string queue_; ///< The queue's name.
  int state_ = 0;     ///< A JobState; if final, only the cell, queue and timestamp are set.
  std::int64_t timestampMs_ = 0; ///< Unix milliseconds at which the job was accepted, or ended.
  std::string payload_;
  std::vector<StepRecord> steps_;
  int repetitions_ = 0;
  std::int64_t firstMs_ = 0;
  std::int64_t intervalMs_ = 0;
  std::optional<TermsRecord> terms_; ///< Earlier versions of this program stored none.
  std::string organisation_;         ///< The organisation that submitted it; empty: none.

  MSGPACK_DEFINE_ARRAY(cell_,
                       queue_,
                       state_,
                       timestampMs_,
                       payload_,
                       steps_,
                       repetitions_,
                       firstMs_,
                       intervalMs_,
                       terms_,
                       organisation_)
};

/** A cancel of a job of which the store held no record. Stored under the job's id in place of a
 * JobRecord, until its lease ends: a submission of the id is refused while it exists. Neither kind
 * of record can be decoded as the other, so that earlier versions of this program, which know
 * JobRecord only, answer that there is no such job. */
struct TombstoneRecord
{
  std::string noCell_;           ///< Empty: the record belongs to no cell; see CellOf.
  std::int64_t cancelledMs_ = 0; ///< Unix milliseconds.
  std::string organisation_;     ///< Of the caller that cancelled; empty: none.

  MSGPACK_DEFINE_ARRAY(noCell_, cancelledMs_, organisation_)
};

/** Failed runs or the checkpoint of one task. */
struct TaskProgress
{
  int occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;
  std::set<std::int64_t> failedRuns_;
  std::string checkpoint_;

  MSGPACK_DEFINE_ARRAY(occurrence_, step_, index_, failedRuns_, checkpoint_)
};

/** The tasks of one step that are done: character i is '1' if task i is done. */
struct StepProgress
{
  int occurrence_ = 0;
  int step_ = 0;
  std::string doneMask_;

  MSGPACK_DEFINE_ARRAY(occurrence_, step_, doneMask_)
};

/** A job's progress. Stored under the job's cell, separately from the job. */
struct ProgressRecord
{
  std::vector<int> occurrencesDone_;
  std::vector<StepProgress> doneTasks_;
  std::vector<TaskProgress> failures_;
  std::vector<TaskProgress> checkpoints_;

  MSGPACK_DEFINE_ARRAY(occurrencesDone_, doneTasks_, failures_, checkpoints_)
};

/** A worker to which an owner may have given orders. */
struct RosterEntry
{
  std::string id_;
  std::string address_;
  int port_ = 0;

  MSGPACK_DEFINE_ARRAY(id_, address_, port_)
};

/** The owner of a cell. Every write of the owner also rewrites this record, so that each write
 * expects the revision of the one before. */
struct OwnerRecord
{
  std::string owner_;
  std::string address_; ///< IP address at which other entry hosts reach the owner.
  int port_ = 0;
  std::string incarnation_;   ///< Unique to each start of the owner's process.
  std::int64_t sequence_ = 0; ///< Counts this owner's writes.
  std::vector<RosterEntry> roster_;

  MSGPACK_DEFINE_ARRAY(owner_, address_, port_, incarnation_, sequence_, roster_)
};

/** The record that the fleet's owner stores when it hands over the fleet. */
struct FleetHandOver
{
  std::int64_t fence_ = 0;                          ///< Fence of the owner that wrote this record.
  std::map<std::string, std::int64_t> lastOrderMs_; ///< By host, Unix milliseconds.

  MSGPACK_DEFINE_ARRAY(fence_, lastOrderMs_)
};

/** A live entry host. Further fields go to the end: processes of other versions read the record. */
struct HostRecord
{
  std::string address_;
  int port_ = 0;
  std::string availabilityZone_;
  bool stopping_ = false;
  double processorShare_ = 1; ///< Cores that its process may use.
  std::string incarnation_;   ///< Unique to each start of its process; empty if not known.
  /** Workers and live jobs of each cell that it owns, by cell. Rewritten when they have changed
   * much, and at the stop. */
  std::map<std::string, std::size_t> cellWidths_;

  MSGPACK_DEFINE_ARRAY(address_,
                       port_,
                       availabilityZone_,
                       stopping_,
                       processorShare_,
                       incarnation_,
                       cellWidths_)
};

/** Returns a record encoded as msgpack. */
template<typename Record>
std::string
Encode(const Record& aRecord)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aRecord);
  return { buffer.data(), buffer.size() };
}

/** Decodes a record. @return whether the bytes were valid. */
template<typename Record>
bool
Decode(const std::string& aBytes, Record& aRecord)
{
  try {
    const auto limit = wire::LimitFor(aBytes.size());
    msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limit).get().convert(aRecord);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

/** Returns the record of an accepted job. */
JobRecord
MakeJobRecord(const std::string& aCell, const Submission& aJob, std::int64_t aAcceptedMs);

/** Returns the record of a job that has ended. */
JobRecord
MakeEndRecord(const std::string& aCell,
              const std::string& aQueue,
              JobState aState,
              std::int64_t aEndedMs,
              const std::string& aOrganisation = {});

/** Returns the specification of the job in a record. */
JobSpec
SpecOf(const JobRecord& aRecord);

/** Returns the terms of the job in a record; std::nullopt if it has none. */
std::optional<QueueTerms>
TermsOf(const JobRecord& aRecord);

/** Returns the tombstone that a stored record is; std::nullopt if it is another record. */
std::optional<TombstoneRecord>
ReadTombstone(const std::string& aBytes);

/** Returns the state of a stored or received record; std::nullopt if there is no such state. */
std::optional<JobState>
ReadJobState(int aState);

/** Returns whether a record can be used: its state exists, and the job can be run under its terms
 * if it has not ended. @param aWhy set to the reason if the record is invalid. */
bool
IsValid(const JobRecord& aRecord, std::string& aWhy);

} // namespace quetzal::jobs
