#include "include/quetzal/cells/Tickets.h"

#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <algorithm>

namespace quetzal::cells {
namespace {

/** After a question that was not answered, or named no worker. */
constexpr clock::Milliseconds kAskAgainPause{ 250 };

} // namespace

Tickets::Tickets(workers::AdvicePort* aPort, QObject* aParent)
  : QObject(aParent)
  , port_(aPort)
{
}

const Tickets::ByWorker*
Tickets::Find(const std::string& aStep, clock::Moment aNow) const
{
  const auto row = rows_.find(aStep);
  if (row == rows_.end() || row->second.expires_ < aNow) {
    return nullptr;
  }
  return &row->second.tickets_;
}

void
Tickets::Ask(const std::string& aStep, const std::vector<std::string>& aWorkers, clock::Moment aNow)
{
  Row& row = rows_[aStep];
  if (port_ == nullptr || row.asked_ || aNow < row.askAgainAt_) {
    return;
  }
  if (row.expires_ < aNow) {
    row.named_.clear();
    row.tickets_.clear();
  }
  std::vector<std::string> unknown;
  for (const std::string& worker : aWorkers) {
    if (!row.named_.contains(worker) && unknown.size() < workers::kMostAdviceWorkers) {
      unknown.push_back(worker);
    }
  }
  if (unknown.empty()) {
    return;
  }
  row.asked_ = true;
  log::Info("tickets", "event=tickets-asked step=", aStep, " workers=", unknown.size());
  const QPointer<Tickets> self(this);
  port_->Ask(aStep, unknown, [self, aStep, aNow, unknown](const workers::Advice& aAdvice) {
    if (!self) {
      return;
    }
    const auto asked = self->rows_.find(aStep);
    if (asked == self->rows_.end()) {
      return; // The job has ended meanwhile.
    }
    asked->second.asked_ = false;
    if (aAdvice.answered_) {
      Take(asked->second, unknown, aAdvice, aNow);
    } else {
      log::Warn("tickets", "event=tickets-not-answered step=", aStep);
      asked->second.askAgainAt_ = std::chrono::steady_clock::now() + kAskAgainPause;
      QTimer::singleShot(kAskAgainPause, self, &Tickets::Answered);
    }
    Q_EMIT self->Answered();
  });
}

void
Tickets::Take(Row& aRow,
              const std::vector<std::string>& aNamed,
              const workers::Advice& aAdvice,
              clock::Moment aAskedAt)
{
  const clock::Moment expires = aAskedAt + aAdvice.validity_;
  aRow.expires_ = aRow.named_.empty() ? expires : std::min(aRow.expires_, expires);
  aRow.named_.insert(aNamed.begin(), aNamed.end());
  for (const workers::Ticket& ticket : aAdvice.tickets_) {
    aRow.tickets_[ticket.worker_] = ticket.ticket_;
  }
}

void
Tickets::Expire(const std::string& aStep)
{
  if (const auto row = rows_.find(aStep); row != rows_.end()) {
    row->second.expires_ = {};
  }
}

void
Tickets::ForgetJob(const std::string& aJob)
{
  const std::string prefix = aJob + ".";
  auto row = rows_.lower_bound(prefix);
  while (row != rows_.end() && row->first.starts_with(prefix)) {
    row = rows_.erase(row);
  }
}

} // namespace quetzal::cells
