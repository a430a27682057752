#pragma once

#include "platform/Body.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** What a minion knows of the tasks of one step: in the real system, their image says it. */
struct StepModel
{
  int count_ = 1;
  std::int64_t cpu_ = 0;
  std::int64_t memory_ = 0;
  std::int64_t workMs_ = 0;
  bool gang_ = false;
  bool checkpointing_ = false;
};

/** The steps of every job that a caller has sent, by the job's id. */
class JobBook
{
public:
  /** Adds the job of a caller's request body. */
  void Add(const std::string& aId, const std::string& aBody);

  /** Returns the step of a task, whose name has the form ID.K.STEP.INDEX. */
  const StepModel* StepOf(const std::string& aTask) const;

private:
  std::map<std::string, std::vector<StepModel>> jobs_;
};

/** Returns the name of a task's step: ID.K.STEP. */
std::string
StepNameOf(const std::string& aTask);

/** Returns the checkpoint that stands for some work, and the work that a checkpoint stands for. */
std::string
CheckpointFor(std::int64_t aWorkMs);
std::int64_t
WorkOf(const std::string& aCheckpoint);

} // namespace review
