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

/** A caller's request about a job or queue, after the queue has been determined. */
struct JobRequest
{
  RequestKind kind_ = RequestKind::kGetState;
  std::string cell_;
  std::string queue_;
  std::string id_;           ///< Empty for kCountPending.
  std::string organisation_; ///< The caller's; see organisations::MayAccess.
  jobs::JobSpec spec_;       ///< Set for kSubmit.
  /** Set for kSubmit: of the queue on the host that the caller reached. An earlier version of that
   * host's process sets none. */
  std::optional<jobs::QueueTerms> terms_;
  clock::Milliseconds timeout_{ 3'000 }; ///< How long the caller waits for an answer.
  bool outcomeUnknown_ = false; ///< An owner may have stored the change without confirming it.
  /** The incarnation of the last owner that may still carry out an earlier attempt; empty: none. */
  std::string doubtfulOwner_;
  std::uint64_t number_ = 0; ///< Set by OpenRequests; 0 for a request of another entry host.
  std::string entryHost_;    ///< The host that the caller reached; empty: unknown.
  int attempt_ = 1;          ///< Counts the times that the cell's owner has been looked up for it.
};

/** Answers callers' requests about jobs, whichever entry host owns the job's cell. */
class JobRequestHandler
{
public:
  virtual ~JobRequestHandler() = default;

  /** Calls @p aDone once, within the request's timeout, unless OnCallerLeft() ends the request.
   * @return the request's number; 0 if it has been answered. */
  virtual std::uint64_t Handle(const JobRequest& aRequest, cells::AnswerCallback aDone) = 0;

  /** Tells that the caller of an unanswered request has closed its connection. @param aNumber as
   * returned by Handle(). */
  virtual void OnCallerLeft(std::uint64_t aNumber) = 0;

  /** Returns the current configuration; null until one has been read. */
  virtual const jobs::Configuration* Configuration() const = 0;

  virtual bool IsReady() const = 0;
};

} // namespace quetzal::node
