#include "include/quetzal/node/OpenRequests.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <algorithm>
#include <array>

namespace quetzal::node {

const char*
ToString(RequestStage aStage)
{
  static constexpr std::array kNames{ "arrived", "own-cell", "owner", "retry", "store" };
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
  open_[number] = { std::move(aDone),       aRequest.id_, aRequest.kind_,
                    RequestStage::kArrived, clock::Now(), aRequest.timeout_ };
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
    answered.mapped().done_(aAnswer);
  }
}

void
OpenRequests::SetStage(std::uint64_t aNumber, RequestStage aStage)
{
  if (const auto request = open_.find(aNumber); request != open_.end()) {
    request->second.stage_ = aStage;
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
OpenRequests::LogOpen(const OpenRequest& aRequest)
{
  const auto age =
    std::chrono::duration_cast<clock::Milliseconds>(clock::Now() - aRequest.arrivedAt_);
  log::Warn("node",
            "event=request-open job=",
            aRequest.job_,
            " kind=",
            static_cast<int>(aRequest.kind_),
            " stage=",
            ToString(aRequest.stage_),
            " age_ms=",
            age.count(),
            " timeout_ms=",
            aRequest.timeout_.count());
}

} // namespace quetzal::node
