#include "include/quetzal/cells/PlacementTickets.h"

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

void
PlacementTickets::Request(const std::string& aStep,
                          const std::vector<std::string>& aWorkers,
                          clock::Moment aNow)
{
  StepTickets& entry = steps_[aStep];
  if (port_ == nullptr || entry.requestPending_ || aNow < entry.retryAt_) {
    return;
  }
  if (entry.expiresAt_ < aNow) {
    entry.requestedWorkers_.clear();
    entry.tickets_.clear();
  }
  std::vector<std::string> requested;
  for (const std::string& worker : aWorkers) {
    if (!entry.requestedWorkers_.contains(worker) &&
        requested.size() < workers::kMaxAdviceWorkers) {
      requested.push_back(worker);
    }
  }
  if (requested.empty()) {
    return;
  }
  entry.requestPending_ = true;
  log::Info("tickets", "event=tickets-asked step=", aStep, " workers=", requested.size());
  const QPointer<PlacementTickets> self(this);
  port_->Request(
    aStep, requested, [self, aStep, aNow, requested](const workers::PlacementAdvice& aAdvice) {
      if (!self) {
        return;
      }
      const auto found = self->steps_.find(aStep);
      if (found == self->steps_.end()) {
        return; // The job has ended in the meantime.
      }
      found->second.requestPending_ = false;
      if (aAdvice.answered_) {
        AddAdvice(found->second, requested, aAdvice, aNow);
      } else {
        log::Warn("tickets", "event=tickets-not-answered step=", aStep);
        found->second.retryAt_ = std::chrono::steady_clock::now() + kRetryDelay;
        QTimer::singleShot(kRetryDelay, self, &PlacementTickets::Answered);
      }
      Q_EMIT self->Answered();
    });
}

void
PlacementTickets::AddAdvice(StepTickets& aStepTickets,
                            const std::vector<std::string>& aRequested,
                            const workers::PlacementAdvice& aAdvice,
                            clock::Moment aAskedAt)
{
  const clock::Moment expires = aAskedAt + aAdvice.validity_;
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
