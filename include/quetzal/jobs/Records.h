#pragma once

#include "include/quetzal/jobs/Job.h"

#include <map>
#include <msgpack.hpp>
#include <set>
#include <string>
#include <vector>

/** What the platform's store keeps of a job, in msgpack. */
namespace quetzal::jobs {

/** A step as stored; see StepSpec for the meaning of each field. */
struct StepRecord
{
  StepSpec step_;

  /** @param aStep a StepSpec, constant or not. */
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
  void msgpack_pack(Packer& aPacker) const // NOLINT: the library calls it by this name.
  {
    FieldsOf(step_).msgpack_pack(aPacker);
  }
  void msgpack_unpack(const msgpack::object& aObject) // NOLINT: likewise.
  {
    FieldsOf(step_).msgpack_unpack(aObject);
  }
};

/** A job as accepted, or what remains of one that has ended. Kept under the job's id. */
struct JobRecord
{
  std::string cell_;  ///< The cell that runs it.
  std::string queue_; ///< The queue's name.
  int state_ = 0;     ///< A JobState; anything final means that the other fields are empty.
  std::int64_t timestampMs_ = 0; ///< Unix milliseconds at which it was accepted, or ended.
  std::string payload_;
  std::vector<StepRecord> steps_;
  int repetitions_ = 0;
  std::int64_t firstMs_ = 0;
  std::int64_t intervalMs_ = 0;

  MSGPACK_DEFINE_ARRAY(cell_,
                       queue_,
                       state_,
                       timestampMs_,
                       payload_,
                       steps_,
                       repetitions_,
                       firstMs_,
                       intervalMs_)
};

/** A value of one task. */
struct TaskProgress
{
  int occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;
  std::set<std::int64_t> failedRuns_; ///< Runs that failed.
  std::string checkpoint_;            ///< A checkpoint.

  MSGPACK_DEFINE_ARRAY(occurrence_, step_, index_, failedRuns_, checkpoint_)
};

/** Which tasks of one step are done: character i is '1' for task i. */
struct StepProgress
{
  int occurrence_ = 0;
  int step_ = 0;
  std::string doneMask_;

  MSGPACK_DEFINE_ARRAY(occurrence_, step_, doneMask_)
};

/** How far a job has come. Kept by its cell, apart from the job itself. */
struct ProgressRecord
{
  std::vector<int> occurrencesDone_;
  std::vector<StepProgress> doneTasks_;
  std::vector<TaskProgress> failures_;
  std::vector<TaskProgress> checkpoints_;

  MSGPACK_DEFINE_ARRAY(occurrencesDone_, doneTasks_, failures_, checkpoints_)
};

/** A worker that an owner may have given orders to. */
struct RosterEntry
{
  std::string id_;
  std::string address_;
  int port_ = 0;

  MSGPACK_DEFINE_ARRAY(id_, address_, port_)
};

/** Who owns a cell. Rewritten with every write of the owner, which thereby depend on each other. */
struct OwnerRecord
{
  std::string owner_;
  std::string address_; ///< Where peers reach the owner.
  int port_ = 0;
  std::string incarnation_;   ///< Tells lives of the owner's process apart.
  std::int64_t sequence_ = 0; ///< Counts this owner's writes.
  std::vector<RosterEntry> roster_;

  MSGPACK_DEFINE_ARRAY(owner_, address_, port_, incarnation_, sequence_, roster_)
};

/** What the fleet's owner leaves when it hands the fleet over by itself. */
struct FleetHandOver
{
  std::int64_t fence_ = 0; ///< Of the owner that wrote this.
  std::map<std::string, std::int64_t>
    lastOrderMs_; ///< Unix milliseconds of the last order, by host.

  MSGPACK_DEFINE_ARRAY(fence_, lastOrderMs_)
};

/** A live entry host. */
struct HostRecord
{
  std::string address_;
  int port_ = 0;
  std::string availabilityZone_;
  bool stopping_ = false;
  double processorShare_ = 1; ///< Cores that its process may use.

  MSGPACK_DEFINE_ARRAY(address_, port_, availabilityZone_, stopping_, processorShare_)
};

/** Returns a record's bytes. */
template<typename Record>
std::string
Encode(const Record& aRecord)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aRecord);
  return { buffer.data(), buffer.size() };
}

/** Reads a record. @return whether the bytes were one. */
template<typename Record>
bool
Decode(const std::string& aBytes, Record& aRecord)
{
  try {
    msgpack::unpack(aBytes.data(), aBytes.size()).get().convert(aRecord);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

/** Returns the record of an accepted job. */
JobRecord
MakeJobRecord(const std::string& aCell,
              const std::string& aQueue,
              const JobSpec& aSpec,
              std::int64_t aAcceptedMs);

/** Returns the record of a job that has ended. */
JobRecord
MakeEndRecord(const std::string& aCell,
              const std::string& aQueue,
              JobState aState,
              std::int64_t aEndedMs);

/** Returns the job that a record holds. */
JobSpec
SpecOf(const JobRecord& aRecord);

} // namespace quetzal::jobs
