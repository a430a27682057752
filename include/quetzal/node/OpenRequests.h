#pragma once

#include "include/quetzal/node/JobRequestHandler.h"

#include <QtCore/QObject>
#include <map>
#include <string>

namespace quetzal::node {

/** Subtracted from a caller's timeout so that the answer arrives in time. */
inline constexpr clock::Milliseconds kAnswerMargin{ 100 };

/** What an open request waits for. */
enum class RequestStage : std::uint8_t
{
  kArrived,
  kOwnCell, ///< A cell of this process.
  kOwner,   ///< Another entry host, which owns the cell.
  kRetry,   ///< The next attempt, since the last one left the outcome unknown.
  kStore,
  kTombstone, ///< The store, which refuses later submissions of a job that does not exist.
};

const char*
ToString(RequestStage aStage);

/** Callers' requests that have no answer yet. Each gets one answer: the first that arrives, or
 * kUnknownOutcome once its time is over. */
class OpenRequests : public QObject
{
  Q_OBJECT

public:
  explicit OpenRequests(QObject* aParent);

  /** Adds a request, and sets its number. @return a callback that passes on the first answer and
   * ignores any other. */
  cells::AnswerCallback Add(JobRequest& aRequest, cells::AnswerCallback aDone);

  /** Records what a request waits for. @param aNumber as set by Add(); @param aHost the entry host
   * that has it, if that is another one. */
  void SetStage(std::uint64_t aNumber, RequestStage aStage, const std::string& aHost = {});

  /** Forgets a submission whose caller has left, so that it is not attempted again: nobody waits
   * for the job, and the caller may cancel it. Cancels go on, as they may have to be carried out.
   */
  void OnCallerLeft(std::uint64_t aNumber);

  /** Returns whether a request may be attempted again: it has no answer, and time is left. */
  bool IsOpen(std::uint64_t aNumber) const;
  std::size_t Count() const { return open_.size(); }

  /** Answers each open request with kUnknownOutcome, and logs what it waited for. */
  void AnswerAll();

private:
  struct OpenRequest
  {
    cells::AnswerCallback done_;
    std::string job_;
    RequestKind kind_ = RequestKind::kGetState;
    RequestStage stage_ = RequestStage::kArrived;
    clock::Moment arrivedAt_{};
    clock::Milliseconds timeout_{ 0 };
    std::string host_; ///< See SetStage().
  };

  static void LogOpen(const OpenRequest& aRequest);
  /** Logs what became of a cancel, and who decided it. */
  static void LogCancel(const OpenRequest& aRequest, const cells::Answer& aAnswer);
  void Answer(std::uint64_t aNumber, const cells::Answer& aAnswer);

  std::map<std::uint64_t, OpenRequest> open_;
  std::uint64_t nextNumber_ = 1;
};

} // namespace quetzal::node
