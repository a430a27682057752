#include "include/quetzal/cells/PlacementTickets.h"

#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <algorithm>

namespace quetzal::cells {
namespace {

/** After a question that was not answered, or named no worker. */
constexpr clock::Milliseconds kAskAgainPause{ 250 };

} // namespace

PlacementTickets::PlacementTickets(workers::PlacementAdvicePort* aPort, QObject* aParent)
  : QObject(aParent)
  , port_(aPort)
{
}

const PlacementTickets::ByWorker*
PlacementTickets::Find(const std::string& aStep, clock::Moment aNow) const
{
  const auto row = steps_.find(aStep);
  if (row == steps_.end() || row->second.expiresAt_ < aNow) {
    return nullptr;
  }
  return &row->second.tickets_;
}

void
PlacementTickets::Request(const std::string& aStep,
                          const std::vector<std::string>& aWorkers,
                          clock::Moment aNow)
{
  StepTickets& row = steps_[aStep];
  if (port_ == nullptr || row.requestPending_ || aNow < row.retryAt_) {
    return;
  }
  if (row.expiresAt_ < aNow) {
    row.requestedWorkers_.clear();
    row.tickets_.clear();
  }
  std::vector<std::string> unknown;
  for (const std::string& worker : aWorkers) {
    if (!row.requestedWorkers_.contains(worker) && unknown.size() < workers::kMaxAdviceWorkers) {
      unknown.push_back(worker);
    }
  }
  if (unknown.empty()) {
    return;
  }
  row.requestPending_ = true;
  log::Info("tickets", "event=tickets-asked step=", aStep, " workers=", unknown.size());
  const QPointer<PlacementTickets> self(this);
  port_->Request(
    aStep, unknown, [self, aStep, aNow, unknown](const workers::PlacementAdvice& aAdvice) {
      if (!self) {
        return;
      }
      const auto asked = self->steps_.find(aStep);
      if (asked == self->steps_.end()) {
        return; // The job has ended meanwhile.
      }
      asked->second.requestPending_ = false;
      if (aAdvice.answered_) {
        AddAdvice(asked->second, unknown, aAdvice, aNow);
      } else {
        log::Warn("tickets", "event=tickets-not-answered step=", aStep);
        asked->second.retryAt_ = std::chrono::steady_clock::now() + kAskAgainPause;
        QTimer::singleShot(kAskAgainPause, self, &PlacementTickets::Answered);
      }
      Q_EMIT self->Answered();
    });
}

void
PlacementTickets::AddAdvice(StepTickets& aRow,
                            const std::vector<std::string>& aNamed,
                            const workers::PlacementAdvice& aAdvice,
                            clock::Moment aAskedAt)
{
  const clock::Moment expires = aAskedAt + aAdvice.validity_;
  aRow.expiresAt_ = aRow.requestedWorkers_.empty() ? expires : std::min(aRow.expiresAt_, expires);
  aRow.requestedWorkers_.insert(aNamed.begin(), aNamed.end());
  for (const workers::PlacementTicket& ticket : aAdvice.tickets_) {
    aRow.tickets_[ticket.worker_] = ticket.ticket_;
  }
}

void
PlacementTickets::Expire(const std::string& aStep)
{
  if (const auto row = steps_.find(aStep); row != steps_.end()) {
    row->second.expiresAt_ = {};
  }
}

void
PlacementTickets::RemoveJob(const std::string& aJob)
{
  const std::string prefix = aJob + ".";
  auto row = steps_.lower_bound(prefix);
  while (row != steps_.end() && row->first.starts_with(prefix)) {
    row = steps_.erase(row);
  }
}

} // namespace quetzal::cells
