#pragma once

#include "include/quetzal/cells/Cell.h"
#include "include/quetzal/clock/Time.h"

#include <string>

namespace quetzal::node {

enum class RequestKind : int
{
  kSubmit = 1,
  kGetState = 2,
  kCancel = 3,
  kCountPending = 4,
};

/** A caller's request, once its queue is known. */
struct JobRequest
{
  RequestKind kind_ = RequestKind::kGetState;
  std::string cell_;
  std::string queue_;
  std::string id_;                       ///< Empty with kCount.
  jobs::JobSpec spec_;                   ///< With kSubmit.
  clock::Milliseconds timeout_{ 3'000 }; ///< How long the caller waits.
  bool outcomeUnknown_ = false;          ///< An owner may have stored it, and has not said so.
};

/** Answers callers' requests about jobs, wherever the job's cell is. */
class JobRequestHandler
{
public:
  virtual ~JobRequestHandler() = default;

  /** The callback comes once, within the caller's patience. */
  virtual void Handle(const JobRequest& aRequest, cells::AnswerCallback aDone) = 0;

  /** Returns the configuration in force; null while there is none. */
  virtual const jobs::Configuration* Configuration() const = 0;

  virtual bool IsReady() const = 0;
};

} // namespace quetzal::node
