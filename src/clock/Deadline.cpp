#include "include/quetzal/clock/Deadline.h"

namespace quetzal::clock {

Deadline::Deadline(QObject* aParent)
  : QObject(aParent)
{
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  connect(&timer_, &QTimer::timeout, this, &Deadline::OnTimeout);
}

void
Deadline::Set(Milliseconds aSpan)
{
  const Moment now = std::chrono::steady_clock::now();
  deadline_ = now + aSpan;
  set_ = true;
  if (!timer_.isActive() || deadline_ < armedFor_) {
    Arm(now);
  }
}

void
Deadline::Arm(Moment aNow)
{
  armedFor_ = deadline_;
  timer_.start(std::chrono::ceil<Milliseconds>(deadline_ - aNow));
}

void
Deadline::OnTimeout()
{
  if (!set_) {
    return;
  }
  const Moment now = std::chrono::steady_clock::now();
  if (now < deadline_) {
    Arm(now);
    return;
  }
  set_ = false;
  Q_EMIT Passed();
}

} // namespace quetzal::clock
