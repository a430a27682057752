#include "include/quetzal/node/OpenRequests.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <algorithm>
#include <array>

namespace quetzal::node {
namespace {

std::int64_t
AgeMs(clock::Moment aSince)
{
  return std::chrono::duration_cast<clock::Milliseconds>(clock::Now() - aSince).count();
}

} // namespace

const char*
ToString(RequestStage aStage)
{
  static constexpr std::array kNames{
    "arrived", "own-cell", "owner", "retry", "store", "tombstone"
  };
  return kNames.at(static_cast<std::size_t>(aStage));
}

OpenRequests::OpenRequests(QObject* aParent)
  : QObject(aParent)
{
}

cells::AnswerCallback
OpenRequests::Add(JobRequest& aRequest, cells::AnswerCallback aDone)
{
  const std::uint64_t number = nextNumber_++;
  aRequest.number_ = number;
  open_[number] = { std::move(aDone),
                    aRequest.id_,
                    aRequest.kind_,
                    RequestStage::kArrived,
                    clock::Now(),
                    aRequest.timeout_,
                    {} };
  const auto time = std::max(aRequest.timeout_ - kAnswerMargin, clock::Milliseconds(1));
  QTimer::singleShot(
    time, this, [this, number] { Answer(number, { cells::AnswerStatus::kUnknownOutcome }); });
  const QPointer<OpenRequests> self(this);
  return [self, number](const cells::Answer& aAnswer) {
    if (self) {
      self->Answer(number, aAnswer);
    }
  };
}

void
OpenRequests::Answer(std::uint64_t aNumber, const cells::Answer& aAnswer)
{
  if (const auto answered = open_.extract(aNumber); !answered.empty()) {
    if (answered.mapped().kind_ == RequestKind::kCancel) {
      LogCancel(answered.mapped(), aAnswer);
    }
    answered.mapped().done_(aAnswer);
  }
}

void
OpenRequests::SetStage(std::uint64_t aNumber, RequestStage aStage, const std::string& aHost)
{
  if (const auto request = open_.find(aNumber); request != open_.end()) {
    request->second.stage_ = aStage;
    request->second.host_ = aHost;
  }
}

void
OpenRequests::AnswerAll()
{
  while (!open_.empty()) {
    LogOpen(open_.begin()->second);
    Answer(open_.begin()->first, { cells::AnswerStatus::kUnknownOutcome });
  }
}

void
OpenRequests::OnCallerLeft(std::uint64_t aNumber)
{
  const auto request = open_.find(aNumber);
  if (request == open_.end()) {
    return;
  }
  log::Info("node",
            "event=caller-left job=",
            request->second.job_,
            " kind=",
            static_cast<int>(request->second.kind_),
            " stage=",
            ToString(request->second.stage_),
            " age_ms=",
            AgeMs(request->second.arrivedAt_));
  if (request->second.kind_ == RequestKind::kSubmit) {
    open_.erase(request);
  }
}

bool
OpenRequests::IsOpen(std::uint64_t aNumber) const
{
  // A process that was paused runs the timer of the next attempt before that of the answer.
  const auto request = open_.find(aNumber);
  return request != open_.end() &&
         clock::Now() - request->second.arrivedAt_ < request->second.timeout_;
}

void
OpenRequests::LogOpen(const OpenRequest& aRequest)
{
  log::Warn("node",
            "event=request-open job=",
            aRequest.job_,
            " kind=",
            static_cast<int>(aRequest.kind_),
            " stage=",
            ToString(aRequest.stage_),
            " age_ms=",
            AgeMs(aRequest.arrivedAt_),
            " timeout_ms=",
            aRequest.timeout_.count());
}

void
OpenRequests::LogCancel(const OpenRequest& aRequest, const cells::Answer& aAnswer)
{
  log::Info("node",
            "event=cancel-answered job=",
            aRequest.job_,
            " verdict=",
            cells::ToString(aAnswer.status_),
            " decided_by=",
            ToString(aRequest.stage_),
            aRequest.host_.empty() ? "" : " host=",
            aRequest.host_,
            " age_ms=",
            AgeMs(aRequest.arrivedAt_));
}

} // namespace quetzal::node
