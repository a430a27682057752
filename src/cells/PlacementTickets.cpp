#include "include/quetzal/cells/PlacementTickets.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <algorithm>

namespace quetzal::cells {
namespace {

/** Time until tickets are requested again after a request that was not answered. */
constexpr clock::Milliseconds kRetryDelay{ 250 };

} // namespace

PlacementTickets::PlacementTickets(workers::PlacementAdvicePort* aPort, QObject* aParent)
  : QObject(aParent)
  , port_(aPort)
{
}

const PlacementTickets::ByWorker*
PlacementTickets::Find(const std::string& aStep, clock::Moment aNow) const
{
  const auto step = steps_.find(aStep);
  if (step == steps_.end() || step->second.expiresAt_ < aNow) {
    return nullptr;
  }
  return &step->second.tickets_;
}

std::vector<std::string>
PlacementTickets::WorkersToRequest(const StepTickets& aStepTickets, clock::Moment aNow)
{
  const bool expired = aStepTickets.expiresAt_ < aNow;
  std::vector<std::string> named;
  for (const std::string& worker : aStepTickets.wantedWorkers_) {
    if (named.size() == workers::kMaxAdviceWorkers) {
      break;
    }
    if (expired || !aStepTickets.requestedWorkers_.contains(worker)) {
      named.push_back(worker);
    }
  }
  return named;
}

void
PlacementTickets::Request(const std::string& aStep,
                          const std::vector<std::string>& aWorkers,
                          clock::Moment aNow)
{
  if (port_ == nullptr) {
    return;
  }
  StepTickets& entry = steps_[aStep];
  entry.wantedWorkers_ = aWorkers;
  if (!entry.requestPending_ && !WorkersToRequest(entry, aNow).empty()) {
    entry.requestPending_ = true;
    queue_.push_back(aStep);
  }
  SendNext();
}

void
PlacementTickets::SendNext()
{
  const clock::Moment now = clock::Now();
  while (!callOpen_ && now >= retryAt_ && !queue_.empty()) {
    const std::string step = std::move(queue_.front());
    queue_.pop_front();
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
      continue; // The job has ended in the meantime.
    }
    const std::vector<std::string> workers = WorkersToRequest(found->second, now);
    if (workers.empty()) {
      found->second.requestPending_ = false;
      continue;
    }
    if (found->second.expiresAt_ < now) {
      found->second.requestedWorkers_.clear();
      found->second.tickets_.clear();
    }
    Send(step, workers, now);
  }
}

void
PlacementTickets::Send(const std::string& aStep,
                       const std::vector<std::string>& aWorkers,
                       clock::Moment aNow)
{
  callOpen_ = true;
  log::Info("tickets",
            "event=tickets-asked step=",
            aStep,
            " workers=",
            aWorkers.size(),
            " waiting=",
            queue_.size());
  const QPointer<PlacementTickets> self(this);
  port_->Request(
    aStep, aWorkers, [self, aStep, aNow, aWorkers](const workers::PlacementAdvice& aAdvice) {
      if (self) {
        self->OnAnswer(aStep, aWorkers, aNow, aAdvice);
      }
    });
}

void
PlacementTickets::OnAnswer(const std::string& aStep,
                           const std::vector<std::string>& aRequested,
                           clock::Moment aSentAt,
                           const workers::PlacementAdvice& aAdvice)
{
  callOpen_ = false;
  if (const auto found = steps_.find(aStep); found != steps_.end()) {
    found->second.requestPending_ = false;
    if (aAdvice.answered_) {
      AddAdvice(found->second, aRequested, aAdvice, aSentAt);
    }
  }
  if (!aAdvice.answered_) {
    log::Warn("tickets", "event=tickets-not-answered step=", aStep);
    retryAt_ = clock::Now() + kRetryDelay;
    QTimer::singleShot(kRetryDelay, this, [this] {
      SendNext();
      Q_EMIT Answered();
    });
  }
  SendNext();
  Q_EMIT Answered();
}

void
PlacementTickets::AddAdvice(StepTickets& aStepTickets,
                            const std::vector<std::string>& aRequested,
                            const workers::PlacementAdvice& aAdvice,
                            clock::Moment aSentAt)
{
  const clock::Moment expires = aSentAt + aAdvice.validity_;
  aStepTickets.expiresAt_ =
    aStepTickets.requestedWorkers_.empty() ? expires : std::min(aStepTickets.expiresAt_, expires);
  aStepTickets.requestedWorkers_.insert(aRequested.begin(), aRequested.end());
  for (const workers::PlacementTicket& ticket : aAdvice.tickets_) {
    aStepTickets.tickets_[ticket.worker_] = ticket.ticket_;
  }
}

void
PlacementTickets::Expire(const std::string& aStep)
{
  if (const auto step = steps_.find(aStep); step != steps_.end()) {
    step->second.expiresAt_ = {};
  }
}

void
PlacementTickets::RemoveJob(const std::string& aJob)
{
  const std::string prefix = aJob + ".";
  auto step = steps_.lower_bound(prefix);
  while (step != steps_.end() && step->first.starts_with(prefix)) {
    step = steps_.erase(step);
  }
}

} // namespace quetzal::cells
